"""Clients for the log service and the instance list."""
