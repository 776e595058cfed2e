"""Compares ways to share the slots of backend servers between members."""
