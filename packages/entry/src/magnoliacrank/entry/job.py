"""Job: a fully received request with its route, ready for dispatch."""

from __future__ import annotations

import attrs

from magnoliacrank.entry import request_trace
from magnoliacrank.model import route_plan


@attrs.frozen
class Job:
    """A fully received request with its route, ready for dispatch."""

    request_id: str
    """Id that the caller gave to this attempt; empty if it gave none."""

    rule: route_plan.RouteRule
    """Route that matches the request."""

    service: str
    """Name of the service that executes the request."""

    customer: str
    """Name of the customer that the caller belongs to; empty if unknown."""

    priority: int
    """Priority of the request; 0 is the most urgent."""

    method: str
    """HTTP method."""

    target: str
    """Request target: path and query."""

    headers: tuple[tuple[str, str], ...]
    """Headers to forward; those that say who the caller is, and the deadline
    and target headers, which differ for each dispatch, are left out."""

    body: bytes
    """The complete body."""

    arrived_s: float
    """Clock time in seconds at which the request's head arrived."""

    asked_s: float
    """Clock time in seconds of the caller's first attempt, as estimated; the
    arrival of the request unless its caller was refused before."""

    deadline_s: float
    """Clock time in seconds until which the caller waits for an answer."""

    fingerprint: str
    """Digest of method, target and body; equal for repeats of a request."""

    trace: request_trace.RequestTrace
    """Spans of time that the request has spent so far."""

    api_key: str | None = attrs.field(default=None, repr=False)
    """API key that the caller sent; None if it sent none."""

    credentials: tuple[tuple[str, str], ...] = attrs.field(
        default=(), repr=False
    )
    """Headers with which the caller says who it is. They are forwarded only
    while the configuration has no customers."""

    @property
    def objective_s(self) -> float:
        """Clock time in seconds up to which an answer is in time."""
        return self.asked_s + self.rule.target_latency_s

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.rule.kind is route_plan.RequestKind.IDEMPOTENT
