"""Slopes for the capacity page: what one more of each thing costs."""
