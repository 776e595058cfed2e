"""Slopes for the capacity page, each module run by itself."""
