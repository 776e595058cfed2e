"""Limits and timeouts for callers' connections."""

from __future__ import annotations

import attrs


@attrs.frozen
class FrontLimits:
    """Limits and timeouts for callers' connections."""

    max_connections: int = 4096
    """Connections that callers may have open at once; others are refused."""

    max_line_bytes: int = 8190
    """Maximum length of the request line."""

    max_field_bytes: int = 8190
    """Maximum length of one header, name and value."""

    max_headers: int = 100
    """Maximum number of headers in one request."""

    max_head_bytes: int = 32768
    """Maximum length of a request's head, that is, request line and headers."""

    body_buffer_bytes: int = 65536
    """Unread body bytes after which reading from the caller pauses."""

    head_timeout_s: float = 10.0
    """Timeout for receiving a whole head, from its first byte; for the first
    head on a connection, from the opening of the connection."""

    idle_timeout_s: float = 75.0
    """Seconds that a connection may wait for its next request before it is
    closed."""

    body_window_s: float = 20.0
    """Period in which at least `body_window_bytes` of a body have to arrive;
    slower bodies fail."""

    body_window_bytes: int = 1024
    """Minimum of received bytes in each `body_window_s` of a body."""

    write_timeout_s: float = 30.0
    """Time that writing an answer may be blocked by a caller that doesn't
    read, before the connection is aborted."""

    linger_timeout_s: float = 2.0
    """Time after the last answer on a connection in which received bytes are
    still read and discarded, before the connection is closed."""
