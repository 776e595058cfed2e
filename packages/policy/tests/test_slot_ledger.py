"""Slot ledger: own slots, takeover, cold servers and abandoned work."""

from __future__ import annotations

import pytest

from magnoliacrank.model import crew as crew_model
from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_timing

_TIMING = slot_timing.SlotTiming(longest_work_s=5.0)


def _crew(number, shares, incarnation=1):
    names = sorted({name for share in shares.values() for name in share})
    members = tuple(
        crew_model.CrewMember(name, incarnation, "dc1") for name in names
    )
    return crew_model.Crew("refill", number, members, shares, number - 1)


def _ledger(name="a", crew=None, warm=("s1",)):
    ledger = slot_ledger.SlotLedger(name, 1, _TIMING)
    for server_id in warm:
        ledger.set_limit(server_id, 4, is_cold=False, now_s=0.0)
    if crew is not None:
        ledger.set_crew(crew, 0.0)
    ledger.confirm_by_log(0.0)
    return ledger


def _take_all(ledger, server_id, now_s):
    holds = []
    while True:
        hold = ledger.acquire(server_id, now_s)
        if isinstance(hold, slot_hold.NoSlot):
            return holds, hold.reason
        holds.append(hold)


@pytest.mark.parametrize(
    ("limit", "shares"),
    [(4, (2, 1, 1)), (3, (2, 1, 1)), (1, (1, 1, 1, 1)), (0, (3,)), (9, (4,))],
)
def test_apportion_sums_to_the_limit(limit, shares):
    parts = slot_account.apportion(limit, shares)
    assert sum(parts) == min(limit, sum(shares))
    assert all(part <= share for part, share in zip(parts, shares, strict=True))


def test_take_gives_no_more_than_the_share():
    ledger = _ledger(crew=_crew(0, {"s1": {"a": 2, "b": 2}}))
    holds, reason = _take_all(ledger, "s1", 1.0)
    assert (len(holds), reason) == (2, slot_hold.NoSlotReason.BUSY)
    ledger.release(holds[0], 1.0)
    ledger.release(holds[0], 1.0)
    assert ledger.free("s1", 1.0) == 1


def test_take_unconfirmed_record_gives_nothing():
    ledger = _ledger(crew=_crew(0, {"s1": {"a": 2, "b": 2}}))
    now_s = _TIMING.confirmation_ttl_s
    assert ledger.free("s1", now_s - 0.01) == 2
    assert ledger.free("s1", now_s) == 0
    _, reason = _take_all(ledger, "s1", now_s)
    assert reason is slot_hold.NoSlotReason.UNCONFIRMED


def test_take_as_other_incarnation_gives_nothing():
    crew = _crew(0, {"s1": {"a": 4}}, incarnation=2)
    _, reason = _take_all(_ledger(crew=crew), "s1", 1.0)
    assert reason is slot_hold.NoSlotReason.NOT_A_MEMBER


def test_free_cold_server_is_nonzero_for_one_member():
    crew = _crew(0, {"s1": {"a": 2, "b": 2}})
    free = [_ledger(name, crew, warm=()).free("s1", 1.0) for name in "ab"]
    assert sorted(free) == [0, 1]


def test_abandon_occupies_until_the_work_has_ended():
    ledger = _ledger(crew=_crew(0, {"s1": {"a": 1, "b": 3}}))
    hold = ledger.acquire("s1", 0.5)
    ledger.abandon(hold, 1.0, 2.0)
    assert ledger.free("s1", 1.9) == 0
    assert ledger.free("s1", 2.0) == 1
    ledger.release(hold, 2.1)
    assert ledger.free("s1", 2.1) == 1


def test_set_crew_gained_slots_wait_for_former_owner():
    members = ({"a": 1, "b": 3}, {"a": 3, "b": 1})
    old, new = (_crew(i, {"s1": s}) for i, s in enumerate(members))
    gainer, loser = (_ledger(name, old) for name in "ab")
    hold = _take_all(loser, "s1", 0.1)[0][0]
    gainer.set_crew(new, 1.0)
    loser.set_crew(new, 1.0)
    _settle(gainer, loser, 1.1)
    assert gainer.free("s1", 1.2) == 1
    for other in list(loser._accounts["s1"]._holds - {hold}):
        loser.release(other, 1.3)
    _settle(gainer, loser, 1.9)
    assert gainer.free("s1", 2.0) == 3


def _settle(gainer, loser, now_s):
    for outgoing in gainer.tick(now_s):
        if outgoing.to != loser._own.instance_id:
            continue
        for reply in loser.on_crew_check(outgoing.message, now_s):
            gainer.on_crew_state(reply.message, now_s)
