"""Observations of backend servers on which routing decisions are based."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.model import verdict


class AnswerStatus(enum.Enum):
    """Kind of a complete answer of a backend server."""

    OK = "ok"
    """The request was served, with any HTTP status below 500."""

    ERROR = "error"
    """The server failed to serve the request (HTTP status 500 and above)."""

    SHED = "shed"
    """The server refused the request for overload without running it."""


class FailureKind(enum.Enum):
    """How a dispatch ended without a complete answer."""

    CONNECT_FAILED = "connect-failed"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    CALLER_GONE = "caller-gone"
    """The caller left or a hedge was cancelled; not a fault of the server."""


@attrs.frozen
class AnswerSample:
    """One complete answer of a backend server."""

    latency_s: float
    """Seconds from dispatch to the first byte of the answer."""

    status: AnswerStatus = AnswerStatus.OK
    """Kind of the answer."""

    report: server.LoadReport | None = None
    """Load report that the answer carried, or None."""


@attrs.define(eq=False)
class Dispatch:
    """One request in flight on a backend server."""

    server_id: ids.ServerId
    """Server that the request was sent to."""

    route: str
    """Route of the request."""

    started_s: float
    """Monotonic time in seconds at which the request was sent."""

    expected_s: float
    """Usual latency of the route in seconds."""

    late_s: float
    """Age in seconds above which the request counts as late."""


@attrs.frozen
class NoServer:
    """Result of routing when no backend server can take a request now."""

    reason: verdict.Reason
    """OVERLOADED when waiting may help, else NO_SERVER."""


@attrs.frozen
class ServerStateUpdate:
    """State of a backend server that one instance shares with its crew.

    The crew of a service is the group of entry instances that send to its
    backend servers.
    """

    server_id: ids.ServerId
    """Server that the state belongs to."""

    incarnation: int
    """Start number of the server's process, or 0 when unknown."""

    limit: int
    """Requests that the server can run at once, over all instances."""

    is_cold: bool
    """Whether the server was not seen warm since its last known start."""
