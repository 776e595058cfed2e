"""Interfaces to the platform: store, log, instance list, settings, wire."""
