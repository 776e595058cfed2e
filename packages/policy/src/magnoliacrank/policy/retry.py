"""Retries: whether a failed attempt may be followed by another one.

The level of a deep call that is nearest to the fault retries. A level above
sees an answer and passes it on. An attempt that is a retry forbids retries
below itself, so that retries at several levels do not multiply.
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

_MOST_ATTEMPTS = 3
_FIRST_PAUSE_S = 0.2
_LONGEST_PAUSE_S = 10.0
_FORBIDDEN = "no"


class Fault(enum.Enum):
    """How an attempt failed, as far as retries are concerned."""

    NOT_SENT = "not-sent"
    """No byte reached a backend server."""

    REFUSED = "refused"
    """A backend server refused it explicitly."""

    UNKNOWN = "unknown"
    """It was sent and its outcome is unknown."""

    FINAL = "final"
    """Another attempt would not help."""


class Permission(enum.Enum):
    """What a class of request allows after a fault."""

    NEVER = "never"
    WITHIN_BUDGET = "within-budget"
    UNTIL_DEADLINE = "until-deadline"


class Denial(enum.Enum):
    """Why there is no other attempt."""

    NOT_ALLOWED = "not-allowed"
    FORBIDDEN_ABOVE = "forbidden-above"
    CRASH_SUSPECT = "crash-suspect"
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    DEADLINE = "deadline"
    NO_BUDGET = "no-budget"


@attrs.frozen
class Retry:
    """Make another attempt on another backend server."""

    pause_s: float
    """Seconds to wait before."""

    excluded: frozenset[ids.ServerId]
    """Backend servers that failed already."""


@attrs.frozen
class GiveUp:
    """Sentinel: no other attempt, with the reason."""

    reason: Denial
    """Why not."""


@attrs.frozen
class FailedAttempt:
    """One attempt that failed, with what matters for another one."""

    request: request_model.Request
    """The request."""

    verdict: verdict.Verdict
    """How the attempt ended."""

    attempts: int
    """Attempts so far, this one included."""

    tried: frozenset[ids.ServerId]
    """Backend servers tried so far."""

    is_suspect: bool = False
    """Whether a backend server died while running it."""

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
    """Returns how an attempt failed."""
    if outcome.is_done:
        return Fault.FINAL
    fault = _FAULTS.get(outcome.reason, Fault.FINAL)
    if outcome.may_have_run and fault is not Fault.FINAL:
        return Fault.UNKNOWN
    return fault


def decide(
    failed: FailedAttempt, budget: retry_budget.RetryBudget, now_s: float
) -> Retry | GiveUp:
    """Decides whether there is another attempt, and spends for it.

    Args:
        failed: The attempt that failed.
        budget: Retry budget of this instance.
        now_s: Monotonic time in seconds.

    Returns:
        The retry, or why there is none.
    """
    permission = _PERMISSIONS[
        failed.request.request_class, fault_of(failed.verdict)
    ]
    pause_s = _pause_s(permission, failed.attempts)
    denial = _denial(failed, permission, now_s + pause_s)
    if denial is not None:
        return GiveUp(denial)
    if permission is Permission.WITHIN_BUDGET and not budget.spend(now_s):
        return GiveUp(Denial.NO_BUDGET)
    return Retry(pause_s, failed.tried)


def header_below(*, is_forbidden: bool, is_retry: bool) -> str | None:
    """Returns the retry header of an attempt, or None for no header.

    Args:
        is_forbidden: Whether a level above forbade retries.
        is_retry: Whether the attempt is a retry of this level.
    """
    return _FORBIDDEN if is_forbidden or is_retry else None


def is_forbidden(header: str | None) -> bool:
    """Returns whether a retry header forbids retries."""
    return header is not None and header.strip().lower() == _FORBIDDEN


def _pause_s(permission: Permission, attempts: int) -> float:
    """Returns the seconds before the next attempt."""
    if permission is not Permission.UNTIL_DEADLINE:
        return 0.0
    doublings = min(attempts - 1, 16)
    return min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0**doublings)


def _denial(
    failed: FailedAttempt, permission: Permission, start_s: float
) -> Denial | None:
    """Returns what forbids another attempt, budgets aside."""
    is_budgeted = permission is Permission.WITHIN_BUDGET
    rules = (
        (permission is Permission.NEVER, Denial.NOT_ALLOWED),
        (failed.is_suspect, Denial.CRASH_SUSPECT),
        (is_budgeted and failed.is_forbidden, Denial.FORBIDDEN_ABOVE),
        (
            is_budgeted and failed.attempts >= _MOST_ATTEMPTS,
            Denial.TOO_MANY_ATTEMPTS,
        ),
        (start_s >= failed.request.deadline_s, Denial.DEADLINE),
    )
    return next((denial for applies, denial in rules if applies), None)
