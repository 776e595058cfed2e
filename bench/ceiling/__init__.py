"""What a scheduler that knew every slot and arrival could have served."""
