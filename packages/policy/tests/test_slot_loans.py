"""Slot loans between two members, with late, repeated and lost messages."""

from __future__ import annotations

import pytest

from magnoliacrank.model import crew as crew_model
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import slot_timing

_TIMING = slot_timing.SlotTiming(longest_work_s=5.0)
_CREW = crew_model.Crew(
    "refill",
    0,
    tuple(crew_model.CrewMember(name, 1, "dc1") for name in "ab"),
    {"s1": {"a": 4}},
)


def _pair():
    ledgers = []
    for name in "ab":
        ledger = slot_ledger.SlotLedger(name, 1, _TIMING)
        ledger.set_crew(_CREW, 0.0)
        ledger.set_limit("s1", 4, is_cold=False, now_s=0.0)
        ledger.confirm_by_log(0.0)
        ledgers.append(ledger)
    return ledgers


def _granted(lender, borrower, now_s=0.0):
    (request,) = borrower.ask_loans(["s1"], 2, now_s)
    (grant,) = lender.on_message(request.message, now_s)
    return request.message, grant.message


def test_grant_moves_free_slots():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    assert borrower.on_message(grant, 0.1) == []
    assert (lender.free("s1", 0.1), borrower.free("s1", 0.1)) == (2, 2)


def test_grant_repeated_counts_once():
    lender, borrower = _pair()
    request, grant = _granted(lender, borrower)
    (again,) = lender.on_message(request, 0.1)
    assert again.message == grant
    borrower.on_message(grant, 0.2)
    borrower.on_message(grant, 0.2)
    assert (lender.free("s1", 0.2), borrower.free("s1", 0.2)) == (2, 2)


def test_grant_repeated_after_the_return_is_returned():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    borrower.on_message(grant, 0.0)
    (returned,) = borrower.tick(1.0)
    lender.on_message(returned.message, 1.0)
    assert lender.free("s1", 1.0) == 4
    (again,) = borrower.on_message(grant, 1.1)
    assert again.message.kept == ()
    assert borrower.free("s1", 1.1) == 0


def test_grant_late_is_returned():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    (returned,) = borrower.on_message(grant, _TIMING.loan_duration_s)
    assert borrower.free("s1", _TIMING.loan_duration_s) == 0
    lender.on_message(returned.message, _TIMING.loan_duration_s)
    assert lender.free("s1", _TIMING.loan_duration_s) == 4


def test_loan_ends_at_the_dispatch():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    borrower.on_message(grant, 1.4)
    assert isinstance(borrower.acquire("s1", 1.49), slot_hold.SlotHold)
    assert isinstance(borrower.acquire("s1", 1.5), slot_hold.NoSlot)


def test_grant_lost_costs_the_lender_a_bounded_time():
    lender, borrower = _pair()
    _granted(lender, borrower)
    lender.confirm_by_log(_TIMING.loan_reclaim_s)
    assert lender.free("s1", _TIMING.loan_reclaim_s - 0.01) == 2
    assert lender.free("s1", _TIMING.loan_reclaim_s) == 4


def test_return_keeps_what_is_occupied():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    borrower.on_message(grant, 0.0)
    hold = borrower.acquire("s1", 0.1)
    borrower.confirm_by_log(1.5)
    (first,) = borrower.tick(1.6)
    assert first.message.kept == (slot_messages.SlotCount("s1", 1),)
    lender.on_message(first.message, 1.6)
    assert lender.free("s1", 1.6) == 3
    borrower.release(hold, 1.7)
    (last,) = borrower.tick(1.8)
    for message in (last.message, first.message):
        lender.on_message(message, 1.9)
    assert lender.free("s1", 1.9) == 4


def test_grant_for_earlier_incarnation_is_ignored():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    later = slot_ledger.SlotLedger("b", 2, _TIMING)
    later.set_crew(_CREW, 0.0)
    later.set_limit("s1", 4, is_cold=False, now_s=0.0)
    assert later.on_message(grant, 0.1) == []
    assert later.free("s1", 0.1) == 0


@pytest.mark.parametrize(
    ("prepare", "lent"),
    [
        (lambda lender: None, 2),
        (lambda lender: lender.acquire("s1", 0.0), 2),
        (lambda lender: [lender.acquire("s1", 0.0) for _ in range(2)], 2),
        (lambda lender: [lender.acquire("s1", 0.0) for _ in range(3)], 1),
        (lambda lender: [lender.acquire("s1", 0.0) for _ in range(5)], 0),
    ],
    ids=["idle", "one-used", "two-used", "three-used", "short"],
)
def test_lender_lends_what_it_does_not_use(prepare, lent):
    lender, borrower = _pair()
    prepare(lender)
    _, grant = _granted(lender, borrower)
    assert sum(slots.count for slots in grant.slots) == lent


def test_recall_ends_a_loan_early():
    lender, borrower = _pair()
    _, grant = _granted(lender, borrower)
    borrower.on_message(grant, 0.0)
    while isinstance(lender.acquire("s1", 0.0), slot_hold.SlotHold):
        pass
    (recall,) = lender.tick(0.01)
    (returned,) = borrower.on_message(recall.message, 0.02)
    assert borrower.free("s1", 0.02) == 0
    lender.on_message(returned.message, 0.03)
    assert lender.free("s1", 0.03) == 2


def test_ask_loans_twice_at_once_asks_once():
    _, borrower = _pair()
    assert len(borrower.ask_loans(["s1"], 2, 0.0)) == 1
    assert borrower.ask_loans(["s1"], 2, 0.001) == []


def test_lender_unconfirmed_lends_nothing():
    lender, borrower = _pair()
    (request,) = borrower.ask_loans(["s1"], 2, 0.0)
    assert lender.on_message(request.message, _TIMING.confirmation_ttl_s) == []
