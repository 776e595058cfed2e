"""Command line, settings, and the start and stop order of an instance."""
