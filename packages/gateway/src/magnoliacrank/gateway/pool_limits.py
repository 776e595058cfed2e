"""Limits on the connections to one backend server."""

from __future__ import annotations

import attrs


@attrs.frozen
class PoolLimits:
    """Bounds and times of a pool of connections."""

    max_connections: int = 16
    """Connections open at once from this instance."""

    connect_timeout_s: float = 1.0
    """Longest time to open a connection."""

    idle_timeout_s: float = 60.0
    """Idle time after which a connection is closed rather than used."""

    alive_within_s: float = 1.0
    """Within this time an answer counts as showing a connection alive."""

    silence_s: float = 0.2
    """Least time without an answer after which silence is looked into."""

    silence_factor: float = 8.0
    """The same as a multiple of the usual time to an answer."""

    probe_timeout_s: float = 0.2
    """Time in which a probe on a fresh connection is to be answered."""

    probe_interval_s: float = 1.0
    """Least time between two probes."""

    probe_target: str = "/health"
    """Target of a probe."""
