"""Benches, on virtual time and on sockets."""
