"""The entry instance: accepts callers' requests and load balances them."""
