"""ExchangeFailure: why an exchange with a backend server has no full answer."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from magnoliacrank.model import verdict as verdicts

if TYPE_CHECKING:
    from collections.abc import Mapping

_NO_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())


class FailureKind(enum.Enum):
    """How an exchange between this instance and a backend server failed."""

    POOL_EXHAUSTED = "pool-exhausted"
    POOL_CLOSED = "pool-closed"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMEOUT = "connect-timeout"
    REFUSED = "refused"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    MALFORMED = "malformed"
    TRUNCATED = "truncated"
    BODY_FAILED = "body-failed"


_VERDICTS: Mapping[FailureKind, verdicts.Verdict] = {
    FailureKind.POOL_EXHAUSTED: verdicts.not_run(verdicts.Reason.OVERLOADED),
    FailureKind.POOL_CLOSED: verdicts.not_run(verdicts.Reason.NO_SERVER),
    FailureKind.CONNECT_FAILED: verdicts.not_run(
        verdicts.Reason.CONNECT_FAILED
    ),
    FailureKind.CONNECT_TIMEOUT: verdicts.not_run(
        verdicts.Reason.DEADLINE_EXPIRED
    ),
    FailureKind.REFUSED: verdicts.not_run(verdicts.Reason.SERVER_REFUSED),
    FailureKind.CONNECTION_LOST: verdicts.may_have_run(
        verdicts.Reason.CONNECTION_LOST
    ),
    FailureKind.TIMEOUT: verdicts.may_have_run(
        verdicts.Reason.DEADLINE_EXPIRED
    ),
    FailureKind.MALFORMED: verdicts.may_have_run(
        verdicts.Reason.ANSWER_MALFORMED
    ),
    FailureKind.TRUNCATED: verdicts.may_have_run(
        verdicts.Reason.ANSWER_TRUNCATED
    ),
    FailureKind.BODY_FAILED: verdicts.may_have_run(verdicts.Reason.CALLER_GONE),
}
"""Verdict on the request for each kind of failure."""


@attrs.frozen
class ExchangeFailure:
    """Returned in place of an answer when an exchange failed."""

    kind: FailureKind
    """How the exchange failed."""

    headers: CIMultiDictProxy[str] = _NO_HEADERS
    """Headers of a refusal, which may hold the server's load report."""

    detail: str = ""
    """Error text of the operating system, for the log."""

    @property
    def verdict(self) -> verdicts.Verdict:
        """Verdict on the request: whether it may have run, and the reason."""
        return _VERDICTS[self.kind]


class ExchangeFailureError(Exception):
    """Raised by the reader of an answer's body when the exchange failed.

    Args:
        failure: The failure.
    """

    def __init__(self, failure: ExchangeFailure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure
