"""Seeded moves of versions: how often and how fast they end rightly."""
