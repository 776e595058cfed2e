"""Stand-ins for tests and demos: backend servers, store, log and callers."""
