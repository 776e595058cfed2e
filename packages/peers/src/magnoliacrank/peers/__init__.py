"""Messages between entry instances over gRPC."""
