"""Measures how cost grows with size, for docs/CAPACITY.md."""
