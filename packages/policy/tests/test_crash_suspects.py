"""Crash suspects: one request crashes at most two backend servers."""

from __future__ import annotations

import random

import pytest

from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import crash_suspects

_NAMES = ("a", "b", "c", "d")
_SETTLE_S = 30.0
_REQUEST = crash_messages.Fingerprint("cirelis", "refill", b"crashes")
_DEATHS = [crash_messages.ServerDeath(f"s{i}", 1) for i in range(9)]


def _crew():
    crew = {}
    for name in _NAMES:
        crew[name] = crash_suspects.CrashSuspects(name, "s", settle_s=_SETTLE_S)
        crew[name].set_members(_NAMES, 0.0)
    return crew


def _deliver(crew, notice, now_s, without=()):
    for name, member in crew.items():
        if name not in without:
            member.on_crash_notice(notice, now_s)


def _send(crew, name, death, now_s):
    """Sends the request; returns the crash notice, or None if it didn't run."""
    decision = crew[name].decide(_REQUEST, now_s)
    if isinstance(decision, crash_suspects.ForwardTo):
        name = decision.owner
        decision = crew[name].decide(_REQUEST, now_s)
    if isinstance(decision, crash_suspects.SuspectRefused):
        return None
    notice = crew[name].on_server_died(death, [_REQUEST], now_s)
    if isinstance(decision, crash_suspects.RunAsTrial):
        crew[name].on_trial_finished(_REQUEST, is_survived=False, now_s=now_s)
    return notice


@pytest.mark.parametrize("seed", range(20))
def test_sequential_caller_costs_two_servers(seed):
    rng = random.Random(seed)
    crew = _crew()
    lost = 0
    for step, death in enumerate(_DEATHS):
        notice = _send(crew, rng.choice(_NAMES), death, float(step))
        if notice is not None:
            lost += 1
            _deliver(crew, notice, step + 0.1)
    assert lost == 2


@pytest.mark.parametrize("seed", range(10))
def test_sequential_caller_with_unreached_member_costs_four_servers_at_most(
    seed,
):
    """Covers the remaining gap: a member that crash notices don't reach."""
    rng = random.Random(seed)
    crew = _crew()
    cut_off = rng.choice(_NAMES)
    lost = 0
    for step, death in enumerate(_DEATHS):
        notice = _send(crew, rng.choice(_NAMES), death, float(step))
        if notice is not None:
            lost += 1
            _deliver(crew, notice, step + 0.1, without=(cut_off,))
    assert lost <= 4


def test_decide_suspect_runs_singly_on_one_owner():
    crew = _crew()
    _deliver(crew, _send(crew, "a", _DEATHS[0], 0.0), 0.1)
    decisions = [member.decide(_REQUEST, 1.0) for member in crew.values()]
    runs = [d for d in decisions if isinstance(d, crash_suspects.RunAsTrial)]
    assert len(runs) == 1
    owners = {d.owner for d in decisions if d not in runs}
    assert len(owners) == 1
    second = crew[owners.pop()].decide(_REQUEST, 1.0)
    assert isinstance(second, crash_suspects.SuspectRefused)


def test_decide_after_crew_change_refuses_until_settled():
    crew = _crew()
    _deliver(crew, _send(crew, "a", _DEATHS[0], 0.0), 0.1)
    for name in "abc":
        crew[name].set_members("abc", 1.0)
    early = [crew[name].decide(_REQUEST, 1.0 + _SETTLE_S / 2) for name in "abc"]
    assert not any(isinstance(d, crash_suspects.RunAsTrial) for d in early)
    late = [crew[name].decide(_REQUEST, 1.0 + _SETTLE_S) for name in "abc"]
    assert any(isinstance(d, crash_suspects.RunAsTrial) for d in late)


def test_on_suspect_cleared_with_another_death_keeps_suspect():
    crew = _crew()
    _deliver(crew, _send(crew, "a", _DEATHS[0], 0.0), 0.1)
    (owner,) = [
        member
        for member in crew.values()
        if isinstance(member.decide(_REQUEST, 1.0), crash_suspects.RunAsTrial)
    ]
    cleared = owner.on_trial_finished(_REQUEST, is_survived=True, now_s=1.1)
    other = next(member for member in crew.values() if member is not owner)
    other.on_server_died(_DEATHS[1], [_REQUEST], 1.1)
    for member in crew.values():
        member.on_suspect_cleared(cleared, 1.2)
    still = [m for m in crew.values() if m.is_suspect(_REQUEST, 1.3)]
    assert still == [other]


def test_on_crash_notice_repeated_counts_once():
    first, second = (
        crash_suspects.CrashSuspects(n, "s", settle_s=0.0) for n in "ab"
    )
    for member in (first, second):
        member.set_members("ab", 0.0)
    first.on_server_died(_DEATHS[0], [_REQUEST], 0.0)
    for _ in range(3):
        for notice in first.current_notices(0.1):
            receipt = second.on_crash_notice(notice, 0.1)
    assert receipt.death == _DEATHS[0]
    assert second.is_suspect(_REQUEST, 0.1)
    assert not isinstance(
        second.decide(_REQUEST, 0.2), crash_suspects.SuspectRefused
    )


def test_is_suspect_after_suspicion_time_is_false():
    member = crash_suspects.CrashSuspects("a", "s", settle_s=0.0)
    member.on_server_died(_DEATHS[0], [_REQUEST], 0.0)
    assert member.is_suspect(_REQUEST, 299.0)
    assert not member.is_suspect(_REQUEST, 301.0)
