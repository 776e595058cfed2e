"""Classifies the outcome of sending a request to one backend server."""

from __future__ import annotations

import enum

from aiohttp import hdrs
import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.platform import request_wire

FailureKind = exchange_failure.FailureKind

_GATEWAY_TIMEOUT = 504

_NOT_SENT = frozenset(
    {
        FailureKind.CONNECT_FAILED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.POOL_CLOSED,
    }
)
"""Failures that occur before any byte of the request is sent."""


class Verdict(enum.Enum):
    """Whether a backend server executed a request that was sent to it."""

    ANSWERED = "answered"
    """The server executed the request and its complete answer arrived."""

    FAILED = "failed"
    """The server executed the request and answered with a status of 500 or
    above."""

    NOT_RUN = "not-run"
    """The server did not execute the request, so it is safe to retry."""

    MAY_HAVE_RUN = "may-have-run"
    """The request was sent, but no answer shows whether it ran."""


@attrs.frozen
class DispatchResult:
    """Outcome of sending a request to one backend server."""

    verdict: Verdict
    """Whether the server executed the request."""

    reason: str
    """Short code of the cause, for log lines and refusals."""

    answer: backend_link.WholeAnswer | None = None
    """The server's answer; set for `ANSWERED` and `FAILED`."""

    is_timeout: bool = False
    """Whether time ran out, here or at the server, which said so."""


def classify(
    outcome: backend_link.WholeAnswer | exchange_failure.ExchangeFailure,
) -> DispatchResult:
    """Classifies the outcome of one exchange with a backend server.

    Args:
        outcome: The server's answer, or the failure of the exchange.
    """
    if isinstance(outcome, exchange_failure.ExchangeFailure):
        if outcome.kind in _NOT_SENT:
            return DispatchResult(Verdict.NOT_RUN, outcome.kind.value)
        return DispatchResult(
            Verdict.MAY_HAVE_RUN,
            outcome.kind.value,
            is_timeout=outcome.kind is FailureKind.TIMEOUT,
        )
    status, headers = outcome.status, outcome.headers
    if request_wire.is_not_executed(status, headers):
        return DispatchResult(Verdict.NOT_RUN, "server-refused")
    is_intact = (
        request_wire.SIGNATURE in headers
        and hdrs.CONTENT_ENCODING not in headers
    )
    if status in request_wire.NOT_RUN_STATUSES or not is_intact:
        # A status that promises that the request didn't run counts only with
        # the header `request_wire.NOT_EXECUTED`, and an answer only if it is
        # signed and not re-encoded.
        return DispatchResult(Verdict.MAY_HAVE_RUN, f"status-{status}-unstated")
    if status >= 500:
        return DispatchResult(
            Verdict.FAILED,
            f"status-{status}",
            outcome,
            is_timeout=status == _GATEWAY_TIMEOUT,
        )
    return DispatchResult(Verdict.ANSWERED, f"status-{status}", outcome)


_VERDICT_PRECEDENCE = (
    Verdict.ANSWERED,
    Verdict.FAILED,
    Verdict.MAY_HAVE_RUN,
    Verdict.NOT_RUN,
)
"""Verdicts in order of precedence for a request that was dispatched twice."""


def combine(first: DispatchResult, second: DispatchResult) -> DispatchResult:
    """Returns the result that counts for a request that was dispatched twice.

    A request that may have run on one server is not reported as "not run"
    because another server refused it.
    """
    order = (
        _VERDICT_PRECEDENCE.index(first.verdict),
        _VERDICT_PRECEDENCE.index(second.verdict),
    )
    return first if order[0] <= order[1] else second
