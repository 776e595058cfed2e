"""Key table: one dispatch per key at most, and outcomes for repeats."""

from __future__ import annotations

import pytest

from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table

_MINT_S = 60.0
_HORIZON_S = 600.0
_ANSWER = key_entry.KeptAnswer(200, (("content-type", "text/plain"),), b"ok")
_LOST = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)
_REFUSED = verdict.not_run(verdict.Reason.NO_SERVER)


def _key(name="k1"):
    return key_entry.ScopedKey("cirelis", "refill", "ticket", name)


def _table(**bounds):
    return key_table.KeyTable(mint_s=_MINT_S, horizon_s=_HORIZON_S, **bounds)


def test_begin_first_request_dispatches():
    assert _table().begin(_key(), b"d", 0.0, 1.0) == key_table.Dispatch(_key())


def test_begin_repeat_in_progress_waits():
    table = _table()
    table.begin(_key(), b"d", 0.0, 1.0)
    assert table.begin(_key(), b"d", 0.0, 2.0) == key_table.AwaitFirst(_key())


@pytest.mark.parametrize(
    ("outcome", "answer", "repeated"),
    [
        (
            verdict.DONE,
            _ANSWER,
            verdict.Verdict(verdict.Outcome.DONE, verdict.Reason.REPEATED),
        ),
        (_LOST, None, _LOST),
        (_REFUSED, None, _REFUSED),
    ],
)
def test_begin_repeat_after_end_gets_first_outcome(outcome, answer, repeated):
    table = _table()
    table.begin(_key(), b"d", 0.0, 1.0)
    table.finish(_key(), outcome, answer)
    assert table.begin(_key(), b"d", 0.0, 2.0) == key_table.RepeatOutcome(
        repeated, answer
    )


def test_begin_other_digest_is_refused():
    table = _table()
    table.begin(_key(), b"d", 0.0, 1.0)
    decision = table.begin(_key(), b"other", 0.0, 2.0)
    assert decision.verdict == verdict.not_run(verdict.Reason.KEY_MISMATCH)


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        (_MINT_S + 1, verdict.not_run(verdict.Reason.KEY_EXPIRED)),
        (
            _MINT_S + _HORIZON_S + 1,
            verdict.may_have_run(verdict.Reason.KEY_EXPIRED),
        ),
    ],
)
def test_begin_old_ticket_is_refused_by_age(age_s, expected):
    decision = _table().begin(_key(), b"d", 0.0, age_s)
    assert decision.verdict == expected


def test_begin_forgotten_key_is_never_dispatched_again():
    table = _table()
    table.begin(_key(), b"d", 0.0, _MINT_S)
    table.finish(_key(), verdict.DONE, _ANSWER)
    later_s = 2 * _MINT_S + _HORIZON_S + 1
    decision = table.begin(_key(), b"d", 0.0, later_s)
    assert decision.verdict.reason is verdict.Reason.KEY_EXPIRED
    assert (table.key_count, table.answers_bytes) == (0, 0)


def test_begin_full_table_refuses_older_tickets_for_good():
    table = _table(max_keys=1)
    table.begin(_key("k1"), b"d", 0.0, 1.0)
    refused = table.begin(_key("k2"), b"d", 0.0, 2.0)
    assert refused.verdict == verdict.not_run(verdict.Reason.OVERLOADED)
    table._max_keys = 2
    again = table.begin(_key("k2"), b"d", 2.0, 3.0)
    assert again == refused
    newer = table.begin(_key("k3"), b"d", 2.5, 3.0)
    assert isinstance(newer, key_table.Dispatch)


def test_finish_keeps_answers_within_the_bound():
    table = _table(max_answers_bytes=_ANSWER.size_bytes)
    for name in ("k1", "k2"):
        table.begin(_key(name), b"d", 0.0, 1.0)
        table.finish(_key(name), verdict.DONE, _ANSWER)
    assert table.answers_bytes == _ANSWER.size_bytes
    assert table.outcome(_key("k1")).answer is None
    assert table.outcome(_key("k2")).answer == _ANSWER


def test_close_refuses_new_keys_and_answers_old_ones():
    table = _table()
    table.begin(_key("k1"), b"d", 0.0, 1.0)
    table.close()
    table.finish(_key("k1"), verdict.DONE, _ANSWER)
    assert table.begin(_key("k1"), b"d", 0.0, 2.0).answer == _ANSWER
    refused = table.begin(_key("k2"), b"d", 0.0, 2.0)
    assert refused.verdict == verdict.not_run(verdict.Reason.SHUTTING_DOWN)
