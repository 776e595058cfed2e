"""History checker: reports each violated rule and accepts sound histories."""

from __future__ import annotations

import pytest

from magnoliacrank.model import verdict
from magnoliacrank.policy import history
from magnoliacrank.policy import key_entry

_KEY = key_entry.ScopedKey("c", "s", "t", "k")
_NOT_RUN = verdict.not_run(verdict.Reason.OVERLOADED)
_LOST = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)


def _sent(at_s, attempt, server_id="s1", key=None):
    return history.Dispatched(at_s, attempt, "a", server_id, key)


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        (
            [_sent(0, 1, key=_KEY), _sent(9, 2, "s2", _KEY)],
            history.Rule.ONE_DISPATCH_PER_KEY,
        ),
        (
            [_sent(0, 1, key=_KEY), history.Reported(1, _KEY, _NOT_RUN)],
            history.Rule.NOT_RUN_NEVER_DISPATCHED,
        ),
        (
            [history.Reported(1, _KEY, _NOT_RUN), _sent(2, 1, key=_KEY)],
            history.Rule.NOT_RUN_NEVER_DISPATCHED,
        ),
        (
            [history.LimitSet(0, "s1", 1), _sent(1, 1), _sent(1, 2)],
            history.Rule.WITHIN_LIMIT,
        ),
        (
            [
                history.LimitSet(0, "s1", 2),
                _sent(1, 1),
                history.LimitSet(2, "s1", 1),
                _sent(3, 2),
            ],
            history.Rule.WITHIN_LIMIT,
        ),
        (
            [history.ServerDeparted(0, "s1"), _sent(5.1, 1)],
            history.Rule.NO_WORK_AFTER_DEPARTURE,
        ),
        (
            [
                history.VersionInForce(0, "a", 1, 4),
                history.VersionInForce(1, "a", 1, 3),
            ],
            history.Rule.VERSION_NEVER_DECREASES,
        ),
    ],
)
def test_check_broken_rule_is_reported(events, rule):
    assert [v.rule for v in history.check(events)] == [rule]


@pytest.mark.parametrize(
    "events",
    [
        [_sent(0, 1, key=_KEY), history.Reported(1, _KEY, _LOST)],
        [history.Reported(1, _KEY, _NOT_RUN), _sent(2, 1)],
        [
            history.LimitSet(0, "s1", 1),
            _sent(1, 1),
            history.WorkEnded(2, 1),
            _sent(2, 2),
        ],
        [history.ServerDeparted(0, "s1"), _sent(4.9, 1), _sent(9, 2, "s2")],
        [
            history.ServerDeparted(0, "s1"),
            history.ServerReturned(6, "s1"),
            _sent(7, 1),
        ],
        [
            history.VersionInForce(0, "a", 1, 4),
            history.VersionInForce(1, "a", 2, 3),
            history.VersionInForce(1, "b", 1, 2),
        ],
    ],
)
def test_check_sound_history_reports_nothing(events):
    assert history.check(events) == ()
