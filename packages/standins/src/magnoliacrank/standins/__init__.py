"""Stand-ins for development: servers, log, instance list and caller."""
