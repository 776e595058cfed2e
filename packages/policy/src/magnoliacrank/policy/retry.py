"""Decides whether a failed attempt is followed by a retry.

In a chain of nested calls, the level nearest to the fault retries. A level
above it gets an answer and passes it on. A retry carries a header that forbids
retries below it, so that retries at several levels do not multiply.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from magnoliacrank.policy import retry_budget

_MAX_ATTEMPTS = 3

_INITIAL_BACKOFF_S = 0.2
"""Backoff of a deferrable request after its first attempt, then doubled."""

_MAX_BACKOFF_S = 10.0

_RETRIES_FORBIDDEN = "no"
"""Value of the retry header that forbids retries."""


class Fault(enum.Enum):
    """Kind of failure of an attempt, as far as retries are concerned."""

    NOT_SENT = "not-sent"
    """No byte reached a backend server."""

    REFUSED = "refused"
    """A backend server refused the request explicitly."""

    UNKNOWN = "unknown"
    """The request was sent and its outcome is unknown."""

    FINAL = "final"
    """Another attempt would not help."""


class Permission(enum.Enum):
    """Whether a class of request may be retried after a kind of fault."""

    NEVER = "never"
    """No retry."""

    WITHIN_BUDGET = "within-budget"
    """Immediate retry, limited in number and by the retry budget."""

    UNTIL_DEADLINE = "until-deadline"
    """Retries with exponential backoff until the deadline."""


class Denial(enum.Enum):
    """Reason against another attempt."""

    NOT_ALLOWED = "not-allowed"
    """The class of the request allows no retry after this fault."""

    FORBIDDEN_ABOVE = "forbidden-above"
    """A level above forbade retries by the retry header."""

    CRASH_SUSPECT = "crash-suspect"
    """The request is suspected of crashing backend servers."""

    TOO_MANY_ATTEMPTS = "too-many-attempts"
    """The number of attempts has reached its bound."""

    DEADLINE = "deadline"
    """The deadline would pass before the attempt."""

    NO_BUDGET = "no-budget"
    """The retry budget is used up."""


@attrs.frozen
class Retry:
    """Decision to make another attempt on another backend server."""

    pause_s: float
    """Seconds to wait before the attempt."""

    excluded: frozenset[ids.ServerId]
    """Backend servers to avoid, since earlier attempts failed there."""


@attrs.frozen
class GiveUp:
    """Decision against another attempt."""

    reason: Denial
    """Why there is no other attempt."""


@attrs.frozen
class FailedAttempt:
    """A failed attempt with everything that decides on a retry."""

    request: request_model.Request
    """Request of the attempt."""

    verdict: verdict.Verdict
    """How the attempt ended."""

    attempts: int
    """Number of attempts so far, this one included."""

    tried: frozenset[ids.ServerId]
    """Backend servers tried so far."""

    is_suspect: bool = False
    """Whether the request is suspected of crashing backend servers."""

    is_forbidden: bool = False
    """Whether a level above forbade retries."""


_FAULTS = {
    verdict.Reason.CONNECT_FAILED: Fault.NOT_SENT,
    verdict.Reason.NO_SERVER: Fault.NOT_SENT,
    verdict.Reason.SERVER_REFUSED: Fault.REFUSED,
    verdict.Reason.CONNECTION_LOST: Fault.UNKNOWN,
    verdict.Reason.ANSWER_TRUNCATED: Fault.UNKNOWN,
    verdict.Reason.ANSWER_MALFORMED: Fault.UNKNOWN,
}

_NEVER = Permission.NEVER
_BUDGET = Permission.WITHIN_BUDGET
_DEADLINE = Permission.UNTIL_DEADLINE
_IDEMPOTENT = request_model.RequestClass.IDEMPOTENT
_AT_MOST_ONCE = request_model.RequestClass.AT_MOST_ONCE
_DEFERRABLE = request_model.RequestClass.DEFERRABLE

_PERMISSIONS = {
    (_IDEMPOTENT, Fault.NOT_SENT): _BUDGET,
    (_IDEMPOTENT, Fault.REFUSED): _BUDGET,
    (_IDEMPOTENT, Fault.UNKNOWN): _BUDGET,
    (_IDEMPOTENT, Fault.FINAL): _NEVER,
    (_AT_MOST_ONCE, Fault.NOT_SENT): _BUDGET,
    (_AT_MOST_ONCE, Fault.REFUSED): _NEVER,
    (_AT_MOST_ONCE, Fault.UNKNOWN): _NEVER,
    (_AT_MOST_ONCE, Fault.FINAL): _NEVER,
    (_DEFERRABLE, Fault.NOT_SENT): _DEADLINE,
    (_DEFERRABLE, Fault.REFUSED): _DEADLINE,
    (_DEFERRABLE, Fault.UNKNOWN): _DEADLINE,
    (_DEFERRABLE, Fault.FINAL): _NEVER,
}


def fault_of(outcome: verdict.Verdict) -> Fault:
    """Returns the kind of failure of an attempt."""
    if outcome.is_done:
        return Fault.FINAL
    fault = _FAULTS.get(outcome.reason, Fault.FINAL)
    if outcome.may_have_run and fault is not Fault.FINAL:
        return Fault.UNKNOWN
    return fault


def decide(
    failed: FailedAttempt, budget: retry_budget.RetryBudget, now_s: float
) -> Retry | GiveUp:
    """Decides whether to retry, and charges the retry budget for it.

    Args:
        failed: The attempt that failed.
        budget: Retry budget of this instance.
        now_s: Current monotonic time in seconds.

    Returns:
        The retry, or the reason against one.
    """
    permission = _PERMISSIONS[
        failed.request.request_class, fault_of(failed.verdict)
    ]
    backoff_s = _backoff_s(permission, failed.attempts)
    denial = _find_denial(failed, permission, now_s + backoff_s)
    if denial is not None:
        return GiveUp(denial)
    if permission is Permission.WITHIN_BUDGET and not budget.try_spend(now_s):
        return GiveUp(Denial.NO_BUDGET)
    return Retry(backoff_s, failed.tried)


def header_below(*, is_forbidden: bool, is_retry: bool) -> str | None:
    """Returns the retry header to send with an attempt, or None for no header.

    Args:
        is_forbidden: Whether a level above forbade retries.
        is_retry: Whether the attempt is a retry by this level.
    """
    return _RETRIES_FORBIDDEN if is_forbidden or is_retry else None


def is_forbidden(header: str | None) -> bool:
    """Returns whether a received retry header forbids retries."""
    return header is not None and header.strip().lower() == _RETRIES_FORBIDDEN


def _backoff_s(permission: Permission, attempts: int) -> float:
    """Returns the seconds to wait before the next attempt."""
    if permission is not Permission.UNTIL_DEADLINE:
        return 0.0
    doublings = min(attempts - 1, 16)
    return min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0**doublings)


def _find_denial(
    failed: FailedAttempt, permission: Permission, start_s: float
) -> Denial | None:
    """Returns what forbids another attempt apart from the budget, or None."""
    is_budgeted = permission is Permission.WITHIN_BUDGET
    rules = (
        (permission is Permission.NEVER, Denial.NOT_ALLOWED),
        (failed.is_suspect, Denial.CRASH_SUSPECT),
        (is_budgeted and failed.is_forbidden, Denial.FORBIDDEN_ABOVE),
        (
            is_budgeted and failed.attempts >= _MAX_ATTEMPTS,
            Denial.TOO_MANY_ATTEMPTS,
        ),
        (start_s >= failed.request.deadline_s, Denial.DEADLINE),
    )
    return next((denial for applies, denial in rules if applies), None)
