"""Dispatch: what is known after a request was sent to one server."""

from __future__ import annotations

import enum

from aiohttp import hdrs
import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.platform import request_wire

FailureKind = exchange_failure.FailureKind

_NOT_SENT = frozenset(
    {
        FailureKind.CONNECT_FAILED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.POOL_CLOSED,
    }
)
"""Failures after which a request was not sent."""


class Verdict(enum.Enum):
    """What is known about the execution of one dispatch."""

    ANSWERED = "answered"
    """A server ran it and its whole answer is here."""

    FAILED = "failed"
    """A server ran it and answered with a failure."""

    NOT_RUN = "not-run"
    """No server ran it."""

    MAY_HAVE_RUN = "may-have-run"
    """It was sent, and nothing certain came back."""


@attrs.frozen
class DispatchResult:
    """One dispatch of a request and its end."""

    verdict: Verdict
    """Whether it ran."""

    reason: str
    """Why, for logs and callers."""

    answer: backend_link.WholeAnswer | None = None
    """The answer, where there is one."""


def classify(
    outcome: backend_link.WholeAnswer | exchange_failure.ExchangeFailure,
) -> DispatchResult:
    """Says what is known after one exchange with a server.

    Args:
        outcome: The answer, or why there is none.
    """
    if isinstance(outcome, exchange_failure.ExchangeFailure):
        if outcome.kind in _NOT_SENT:
            return DispatchResult(Verdict.NOT_RUN, outcome.kind.value)
        return DispatchResult(Verdict.MAY_HAVE_RUN, outcome.kind.value)
    status, headers = outcome.status, outcome.headers
    if request_wire.is_not_executed(status, headers):
        return DispatchResult(Verdict.NOT_RUN, "server-refused")
    is_intact = (
        request_wire.SIGNATURE in headers
        and hdrs.CONTENT_ENCODING not in headers
    )
    if status in request_wire.PROMISES or not is_intact:
        # Such a status without the statement promises what nobody knows.
        return DispatchResult(Verdict.MAY_HAVE_RUN, f"status-{status}-unstated")
    if status >= 500:
        return DispatchResult(Verdict.FAILED, f"status-{status}", outcome)
    return DispatchResult(Verdict.ANSWERED, f"status-{status}", outcome)


_VERDICT_PRECEDENCE = (
    Verdict.ANSWERED,
    Verdict.FAILED,
    Verdict.MAY_HAVE_RUN,
    Verdict.NOT_RUN,
)
"""Which verdict of several dispatches says most about the request."""


def combine(first: DispatchResult, second: DispatchResult) -> DispatchResult:
    """Returns the dispatch that speaks for a request that had both.

    A request that may have run at one server is not "not run" because another
    refused it.
    """
    order = (
        _VERDICT_PRECEDENCE.index(first.verdict),
        _VERDICT_PRECEDENCE.index(second.verdict),
    )
    return first if order[0] <= order[1] else second
