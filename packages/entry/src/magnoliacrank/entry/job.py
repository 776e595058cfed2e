"""Job: a request that is ready to be carried."""

from __future__ import annotations

import attrs

from magnoliacrank.entry import request_trace
from magnoliacrank.model import route_plan


@attrs.frozen
class Job:
    """A request that is ready to be carried."""

    request_id: str
    """Identity of the caller's attempt."""

    rule: route_plan.RouteRule
    """Its route."""

    service: str
    """Service that runs it."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: tuple[tuple[str, str], ...]
    """Headers that travel on, without deadline and target."""

    body: bytes
    """The whole body."""

    arrived_s: float
    """Clock time at which its head arrived."""

    deadline_s: float
    """Clock time until which its caller waits."""

    fingerprint: str
    """Identity of its content and caller."""

    trace: request_trace.RequestTrace
    """Where its time was spent."""

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.rule.kind is route_plan.RequestKind.IDEMPOTENT
