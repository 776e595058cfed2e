"""Folds of the log: configuration, terms, moves, notices, snapshots."""
