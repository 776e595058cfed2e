"""PlacementRequest: what a request asks of a server; why it may get none."""

from __future__ import annotations

import enum

import attrs


class RejectionReason(enum.Enum):
    """Why there is no server for a request."""

    NO_SERVER = "no-server"
    """No server is known that may get it."""

    OVERLOADED = "overloaded"
    """All servers are busy for longer than the request can wait."""


@attrs.frozen
class Rejection:
    """Sentinel in place of a server."""

    reason: RejectionReason
    """Why there is none."""

    retry_after_s: float
    """When room is expected, in seconds."""


@attrs.frozen
class PlacementRequest:
    """What a request asks of a server."""

    service: str
    """Service that runs it."""

    priority: int
    """Rank; 0 is the highest."""

    arrived_s: float
    """Clock time at which it arrived."""

    wait_deadline_s: float
    """Clock time until which it may wait."""

    transfer_bytes: int
    """Size of its body."""

    excluded: frozenset[str]
    """Identities of servers that it was sent to before."""

    wants_new_version: bool
    """Whether it goes to the version on trial, if that has room."""

    work_s: float
    """Expected work at usual speed, in seconds."""

    objective_s: float
    """Clock time by which its answer is in time."""

    @property
    def may_wait(self) -> bool:
        """Whether it waits in the queue, or is placed now or not at all."""
        return self.wait_deadline_s > self.arrived_s
