"""PlacementRequest: input of the placer; Rejection: its negative result."""

from __future__ import annotations

from collections.abc import Callable
import enum
import math

import attrs

from magnoliacrank.policy import wait_policy


class RejectionReason(enum.Enum):
    """Why the placer found no backend server for a request."""

    NO_SERVER = "no-server"
    """No known server may get the request."""

    OVERLOADED = "overloaded"
    """All servers are busy for longer than the request may wait."""


@attrs.frozen
class Rejection:
    """Result of a placement that found no backend server."""

    reason: RejectionReason
    """Why no server was found."""

    retry_after_s: float
    """Seconds after which a retry is expected to find a server."""

    decision: wait_policy.Decision | None = None
    """What decided; None without a known server."""


@attrs.frozen
class PlacementRequest:
    """Requirements of a request that needs a backend server."""

    service: str
    """Name of the service that executes the request."""

    customer: str
    """Name of the customer that the caller belongs to; empty if unknown."""

    priority: int
    """Priority of the request; 0 is the highest."""

    asked_s: float
    """Clock time in seconds of the caller's first attempt."""

    wait_deadline_s: float
    """Clock time in seconds until which the request may wait for a server."""

    may_wait: bool
    """Whether the request may queue if no server is free now."""

    transfer_bytes: int
    """Size of its body plus the expected size of its answer."""

    excluded: frozenset[str]
    """Ids of the servers that the request was already sent to."""

    wants_new_version: bool
    """While a rollout runs, whether to use servers of the new version instead
    of the old one."""

    work_s: float
    """Expected execution time on a server at its usual speed, in seconds."""

    objective_s: float
    """Clock time in seconds up to which an answer meets the latency
    objective."""

    deadline_s: float = math.inf
    """Clock time in seconds until which the caller waits for an answer."""

    body_bytes: int = 0
    """Size of its body."""

    server_order: Callable[[str], int] | None = None
    """Sort key of server ids; if set, only the first server that is in good
    health may get the request."""

    def is_late(self, now_s: float) -> bool:
        """Whether an answer can no longer meet the latency objective.

        Args:
            now_s: Clock time in seconds.
        """
        return now_s + self.work_s > self.objective_s
