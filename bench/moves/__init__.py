"""Simulates moves: gradual rollouts of a new version with automatic rollback.

Shows how often and how fast they end correctly.
"""
