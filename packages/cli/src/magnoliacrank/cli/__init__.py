"""Command line, settings, start-up and shutdown order."""
