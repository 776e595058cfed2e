"""Measures the latency and processor time that a hop adds to a call."""
