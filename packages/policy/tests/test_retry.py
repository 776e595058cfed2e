"""Retries: allowed by class and fault, within a share of the traffic."""

from __future__ import annotations

import attrs
import pytest

from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict
from magnoliacrank.policy import retry
from magnoliacrank.policy import retry_budget

_IDEMPOTENT = request_model.RequestClass.IDEMPOTENT
_AT_MOST_ONCE = request_model.RequestClass.AT_MOST_ONCE
_DEFERRABLE = request_model.RequestClass.DEFERRABLE
_NOT_SENT = verdict.not_run(verdict.Reason.CONNECT_FAILED)
_REFUSED = verdict.not_run(verdict.Reason.SERVER_REFUSED)
_LOST = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)
_GONE = verdict.not_run(verdict.Reason.CALLER_GONE)


def _failed(request_class=_IDEMPOTENT, outcome=_LOST, **fields):
    request = request_model.Request(
        "c", "s", "r", request_class, deadline_s=10.0
    )
    attempt = retry.FailedAttempt(request, outcome, 1, frozenset({"s1"}))
    return attrs.evolve(attempt, **fields)


def _budget(count=5):
    budget = retry_budget.RetryBudget(share=1.0, min_retries_per_s=0.0)
    for _ in range(count):
        budget.on_first_attempt(0.0)
    return budget


@pytest.mark.parametrize(
    ("kind", "outcome", "is_allowed"),
    [
        (_IDEMPOTENT, _NOT_SENT, True),
        (_IDEMPOTENT, _REFUSED, True),
        (_IDEMPOTENT, _LOST, True),
        (_IDEMPOTENT, _GONE, False),
        (_IDEMPOTENT, verdict.DONE, False),
        (_AT_MOST_ONCE, _NOT_SENT, True),
        (_AT_MOST_ONCE, _REFUSED, False),
        (_AT_MOST_ONCE, _LOST, False),
        (
            _AT_MOST_ONCE,
            verdict.may_have_run(verdict.Reason.CONNECT_FAILED),
            False,
        ),
        (_DEFERRABLE, _LOST, True),
        (_DEFERRABLE, _REFUSED, True),
        (_DEFERRABLE, verdict.DONE, False),
    ],
)
def test_decide_by_class_and_fault(kind, outcome, is_allowed):
    decision = retry.decide(_failed(kind, outcome), _budget(), 0.0)
    assert isinstance(decision, retry.Retry) is is_allowed
    if is_allowed:
        assert decision.excluded == {"s1"}


@pytest.mark.parametrize(
    ("fields", "now_s", "budgeted", "reason"),
    [
        ({"is_suspect": True}, 0.0, 5, retry.Denial.CRASH_SUSPECT),
        ({"is_forbidden": True}, 0.0, 5, retry.Denial.FORBIDDEN_ABOVE),
        ({"attempts": 3}, 0.0, 5, retry.Denial.TOO_MANY_ATTEMPTS),
        ({}, 10.0, 5, retry.Denial.DEADLINE),
        ({}, 0.0, 0, retry.Denial.NO_BUDGET),
    ],
)
def test_decide_denies(fields, now_s, budgeted, reason):
    decision = retry.decide(_failed(**fields), _budget(budgeted), now_s)
    assert decision == retry.GiveUp(reason)


def test_decide_deferrable_pauses_longer_each_time():
    pauses_s = [
        retry.decide(
            _failed(_DEFERRABLE, attempts=attempts), _budget(0), 0.0
        ).pause_s
        for attempts in (1, 2, 3)
    ]
    assert pauses_s == [0.2, 0.4, 0.8]


def test_budget_keeps_retries_to_a_share_when_a_third_fails():
    budget = retry_budget.RetryBudget(share=0.1, min_retries_per_s=0.0)
    spent = 0
    for attempt in range(3000):
        budget.on_first_attempt(attempt / 1000)
        if attempt % 3 == 0:
            spent += budget.try_spend(attempt / 1000)
    assert 290 <= spent <= 300


def test_budget_refills_without_traffic():
    budget = retry_budget.RetryBudget(share=0.1, min_retries_per_s=1.0)
    assert not budget.try_spend(0.0)
    assert budget.try_spend(1.0)
    assert not budget.try_spend(1.5)


@pytest.mark.parametrize("levels", [1, 3, 18])
def test_header_below_lets_one_level_add_attempts(levels):
    """A fault below all levels costs one more attempt, not one per level."""

    def dispatches(level, header):
        if level == levels:
            return 1
        is_forbidden = retry.is_forbidden(header)
        count = dispatches(
            level + 1,
            retry.header_below(is_forbidden=is_forbidden, is_retry=False),
        )
        is_nearest = level == levels - 1
        if is_nearest and not is_forbidden:
            count += dispatches(
                level + 1,
                retry.header_below(is_forbidden=is_forbidden, is_retry=True),
            )
        return count

    assert dispatches(0, None) == 2
    assert dispatches(0, "no") == 1
