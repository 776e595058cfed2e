"""Data types in the words of the brief: configuration, instances, verdicts."""
