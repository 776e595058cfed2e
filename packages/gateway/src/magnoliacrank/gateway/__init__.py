"""The request path: HTTP on both sides and connection pools."""
