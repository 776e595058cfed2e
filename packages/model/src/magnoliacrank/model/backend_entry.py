"""BackendEntry and LoadReport: what backend servers say of themselves."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendEntry:
    """One registered backend server."""

    server_id: str
    """Identity of this start of the server."""

    service: str
    """Service that it serves."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre in which it stands."""

    version: str
    """Version of its software."""

    slots: int
    """Requests that it processes concurrently."""

    is_draining: bool
    """Whether it has announced a planned shutdown."""

    warmup_left_s: float
    """Seconds for which it stays cold, as of the entry."""

    born_ms: int
    """Unix millisecond of its start; 0 when it is not stated."""

    def without_warmup(self) -> BackendEntry:
        """Returns the entry with the time of its warm-up left out.

        That time changes with each entry and says nothing new.
        """
        return attrs.evolve(self, warmup_left_s=min(self.warmup_left_s, 0.0))


@attrs.frozen
class LoadReport:
    """Answer of a backend server's health path."""

    server_id: str
    """Identity of the server that answered."""

    is_healthy: bool
    """Whether it considers itself healthy and is not leaving."""

    running: int
    """Requests that it is processing."""

    waiting: int
    """Requests in its queue."""

    slots: int
    """Requests that it processes concurrently; 0 when it tells no load."""

    slowdown: float
    """How long work takes at this moment; 1.0 is as usual."""

    cold_s: float
    """Seconds for which it stays cold."""

    @property
    def tells_load(self) -> bool:
        """Whether the answer reported load."""
        return self.slots > 0
