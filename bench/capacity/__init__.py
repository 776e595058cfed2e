"""Slopes of cost by size, for docs/CAPACITY.md."""
