"""Measures what one hop through an entry instance adds to a call."""
