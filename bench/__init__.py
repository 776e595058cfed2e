"""Benchmarks, some on simulated time and some over real sockets."""
