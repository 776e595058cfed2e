"""Decisions without I/O: routing, limits, admission, retries, rollouts."""
