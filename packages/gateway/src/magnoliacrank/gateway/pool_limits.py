"""Limits and timeouts of the connections to one backend server."""

from __future__ import annotations

import attrs


@attrs.frozen
class PoolLimits:
    """Limits and timeouts of a connection pool.

    The fields on silence control the search for silent connections: those
    that bring no answer although the server answers on newer ones.
    """

    max_connections: int = 16
    """Connections that this instance may have open at once."""

    connect_timeout_s: float = 1.0
    """Timeout for opening a connection."""

    idle_timeout_s: float = 60.0
    """Time since the last received bytes after which an idle connection is
    not reused."""

    alive_within_s: float = 1.0
    """Time since the last received bytes within which a connection counts as
    alive, for requests that may only be sent on such a connection."""

    silence_s: float = 0.2
    """Lower bound of the time without an answer after which a connection is
    suspected to be silent."""

    silence_factor: float = 8.0
    """Time without an answer after which a connection is suspected, as a
    multiple of the smoothed time to an answer; at least `silence_s`."""

    probe_timeout_s: float = 0.2
    """Timeout for opening a new connection for a probe, and again for the
    answer to the probe."""

    probe_interval_s: float = 1.0
    """Least time between the starts of two probes."""

    probe_target: str = "/health"
    """Request target of a probe, which is a GET request."""
