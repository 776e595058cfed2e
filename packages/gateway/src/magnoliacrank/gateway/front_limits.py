"""Limits on callers' connections."""

from __future__ import annotations

import attrs


@attrs.frozen
class FrontLimits:
    """Bounds on what one caller's connection may use."""

    max_connections: int = 4096
    """Connections open at once; further ones are refused."""

    max_line_bytes: int = 8190
    """Length of the request line."""

    max_field_bytes: int = 8190
    """Length of one header, name and value."""

    max_headers: int = 100
    """Number of headers in one head."""

    max_head_bytes: int = 32768
    """Length of a whole head."""

    body_buffer_bytes: int = 65536
    """Unread body bytes after which reading from the caller pauses."""

    head_timeout_s: float = 10.0
    """From the first byte of a head, or the opening, to its end."""

    idle_timeout_s: float = 75.0
    """Between two requests on one connection."""

    body_window_s: float = 20.0
    """Period in which at least `body_window_bytes` of a body arrive."""

    body_window_bytes: int = 1024
    """Fewest bytes of a body in one period."""

    write_timeout_s: float = 30.0
    """Longest time for which the caller reads none of the answer."""

    linger_timeout_s: float = 2.0
    """For reading and dropping what still comes after a last answer."""
