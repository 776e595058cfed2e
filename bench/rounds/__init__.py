"""Compares reports of days played before and after a change."""
