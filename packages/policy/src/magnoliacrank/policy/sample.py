"""Observations of backend servers that the routing decisions take in."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.model import verdict


class AnswerStatus(enum.Enum):
    """What kind of whole answer a backend server gave."""

    OK = "ok"
    """The request was served, whatever its HTTP status below 500."""

    ERROR = "error"
    """The server failed to serve it (HTTP status 500 and above)."""

    SHED = "shed"
    """The server refused it for load and ran nothing."""


class FailureKind(enum.Enum):
    """How a dispatch ended without a whole answer."""

    CONNECT_FAILED = "connect-failed"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    CALLER_GONE = "caller-gone"
    """The caller left or a hedge was cancelled; no fault of the server."""


@attrs.frozen
class AnswerSample:
    """One whole answer of a backend server."""

    latency_s: float
    """Seconds from dispatch to the first byte of the answer."""

    status: AnswerStatus = AnswerStatus.OK
    """Kind of answer."""

    report: server.LoadReport | None = None
    """Load report on the answer, or None."""


@attrs.define(eq=False)
class Dispatch:
    """One request in flight on a backend server."""

    server_id: ids.ServerId
    """Server that runs it."""

    route: str
    """Route of the request."""

    started_s: float
    """Monotonic time of the dispatch in seconds."""

    expected_s: float
    """Usual latency of the route in seconds."""

    late_s: float
    """Age in seconds from which it counts as late."""


@attrs.frozen
class NoServer:
    """Says why no backend server can take a request now."""

    reason: verdict.Reason
    """OVERLOADED when waiting may help, else NO_SERVER."""


@attrs.frozen
class ServerSign:
    """What one instance learned of a backend server, for its crew."""

    server_id: ids.ServerId
    """The server."""

    incarnation: int
    """Start number of the server's process, or 0 when unknown."""

    limit: int
    """Concurrency that it bears."""

    is_cold: bool
    """Whether it started lately and still warms up."""
