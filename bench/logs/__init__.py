"""Measures the event log of an entry instance: its volume and its cost."""
