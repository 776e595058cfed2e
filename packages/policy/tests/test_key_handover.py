"""Hand-over of keys: kept outcomes are repeated, others may have run."""

from __future__ import annotations

import pytest

from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_handover
from magnoliacrank.policy import key_table
from magnoliacrank.policy import slot_messages

_OWNER = slot_messages.InstanceIncarnation("a", 1)
_ANSWER = key_entry.KeptAnswer(200, (), b"billed")
_LOST = verdict.may_have_run(verdict.Reason.OWNER_LOST)


def _key(name):
    return key_entry.ScopedKey("c", "s", "t", name)


def _handed_over():
    table = key_table.KeyTable(mint_s=10.0, horizon_s=50.0)
    for name in ("done", "open", "refused"):
        table.begin(_key(name), b"d", 0.0, 1.0)
    table.finish(_key("done"), verdict.DONE, _ANSWER)
    table.finish(_key("refused"), verdict.not_run(verdict.Reason.OVERLOADED))
    table.close()
    return tuple(key_handover.hand_over(table, _OWNER, 5.0))


def _inherited(max_answers_bytes=1000):
    inherited = key_handover.InheritedKeys(
        max_keys=10, max_answers_bytes=max_answers_bytes
    )
    for _ in range(2):
        inherited.take_over(_handed_over(), 100.0)
    return inherited


@pytest.mark.parametrize(
    ("name", "digest", "outcome", "answer"),
    [
        (
            "done",
            b"d",
            verdict.Verdict(verdict.Outcome.DONE, verdict.Reason.REPEATED),
            _ANSWER,
        ),
        ("open", b"d", _LOST, None),
        ("refused", b"d", verdict.not_run(verdict.Reason.OVERLOADED), None),
        ("unknown", b"d", _LOST, None),
        ("done", b"e", verdict.not_run(verdict.Reason.KEY_MISMATCH), None),
    ],
)
def test_answer_returns_inherited_outcome(name, digest, outcome, answer):
    decision = _inherited().answer(_key(name), digest, 101.0)
    assert decision.verdict == outcome
    assert getattr(decision, "answer", None) == answer


def test_answer_after_the_horizon_may_have_run():
    decision = _inherited().answer(_key("refused"), b"d", 156.0)
    assert decision.verdict == _LOST


def test_take_over_bounds_answers():
    inherited = _inherited(max_answers_bytes=1)
    decision = inherited.answer(_key("done"), b"d", 101.0)
    assert decision.verdict.is_done
    assert decision.answer is None
    assert inherited.answers_bytes == 0
