"""Bench of the instance's log: volume, cost, and a stopped reader."""
