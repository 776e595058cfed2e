"""The request path: HTTP towards callers and backend servers, and pools."""
