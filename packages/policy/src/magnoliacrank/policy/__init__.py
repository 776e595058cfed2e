"""Pure decisions: routing, limits, admission, retries, moves."""
