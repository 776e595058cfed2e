"""Generated from peer.proto by `make generate`."""
