"""Data types of the domain: configuration, instances, requests, verdicts."""
