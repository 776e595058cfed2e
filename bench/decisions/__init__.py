"""Compares the policy library with plain load balancers on virtual time."""
