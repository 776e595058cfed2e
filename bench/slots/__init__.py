"""Compares schemes for sharing slots of backend servers in a crew."""
