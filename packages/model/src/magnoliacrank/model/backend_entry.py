"""BackendEntry and HealthReport: what backend servers say about themselves."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendEntry:
    """A backend server's entry in the platform's store."""

    server_id: str
    """Name of the server; the key of its entry in the store."""

    service: str
    """Name of the service that the server runs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre that the server runs in."""

    version: str
    """Software version that the server runs."""

    slots: int
    """Number of requests that the server processes concurrently."""

    is_draining: bool
    """Whether the server has announced a planned shutdown."""

    warmup_left_s: float
    """Seconds until the server is warm, counted from when it wrote the entry.

    A server is cold, and can take little work, for a while after its start.
    """

    born_ms: int | None
    """Start of the server process, in Unix milliseconds; None if not stated."""

    def without_warmup(self) -> BackendEntry:
        """Returns a copy whose remaining warm-up time is zero.

        The remaining time differs in each renewed entry, so entries are
        compared without it.
        """
        return attrs.evolve(self, warmup_left_s=min(self.warmup_left_s, 0.0))


@attrs.frozen
class HealthReport:
    """Health and load from one response of a backend server's health path."""

    server_id: str
    """Name of the server that answered; empty if not stated."""

    is_healthy: bool
    """Whether the response had status 200.

    A server sends that status while it is healthy and not shutting down.
    """

    running: int
    """Number of requests that the server is processing."""

    waiting: int
    """Number of requests in the server's queue."""

    slots: int
    """Number of requests that the server processes concurrently.

    0 if the response stated no load.
    """

    slowdown: float
    """Current duration of work as a multiple of its usual duration."""

    cold_s: float
    """Seconds until the server is warm; 0 if not stated."""

    has_load: bool = True
    """Whether the response had a load header, readable or not."""

    @property
    def tells_load(self) -> bool:
        """Whether the response stated the server's load."""
        return self.slots > 0
