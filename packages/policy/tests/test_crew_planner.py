"""Tests of when a new crew is proposed, by which instance, and its contents."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import crew_planner
from magnoliacrank.policy import crew_size

_SERVICE = ids.ServiceName("route")


def _instance(name, data_centre, incarnation=1):
    return instance.EntryInstance(
        ids.InstanceId(name),
        ids.DataCentre(data_centre),
        "192.0.2.1",
        80,
        81,
        ids.Incarnation(incarnation),
    )


def _instances(*counts):
    return tuple(
        _instance(f"e{centre}-{number}", f"dc{centre}")
        for centre, count in enumerate(counts)
        for number in range(count)
    )


def _servers(count, slots=4, centres=3):
    return tuple(
        server.BackendServer(
            ids.ServerId(f"s{number}"),
            _SERVICE,
            ids.SoftwareVersion("1"),
            ids.DataCentre(f"dc{number % centres}"),
            "192.0.2.2",
            8000 + number,
            slots,
            200,
        )
        for number in range(count)
    )


def _first_proposer(live):
    proposers = crew_planner.rank_proposers(_SERVICE, live)
    return crew_planner.CrewPlanner(proposers[0])


def _record(proposal, number=7):
    return crew.Crew(
        _SERVICE, ids.LogOffset(number), proposal.members, proposal.shares
    )


def _propose(live, servers=None, current=None, rates=None, wait_s=2000.0):
    need = crew_planner.CrewNeed(
        _SERVICE, servers or _servers(20), current, rates or {}
    )
    candidates = crew_planner.Candidates(tuple(live))
    planner = _first_proposer(candidates.eligible)
    immediate = planner.propose(need, candidates, 0.0)
    return immediate or planner.propose(need, candidates, wait_s)


@pytest.mark.parametrize(
    ("counts", "rates", "expected"),
    [
        ((7, 6, 6), {}, {"dc0": 2, "dc1": 2, "dc2": 2}),
        ((1, 1, 1), {}, {"dc0": 1, "dc1": 1, "dc2": 1}),
        ((5, 1), {"dc0": 3000.0, "dc1": 3000.0}, {"dc0": 4, "dc1": 1}),
    ],
)
def test_crew_has_members_in_each_data_centre_by_load(counts, rates, expected):
    proposal = _propose(_instances(*counts), rates=rates)
    assert proposal.reason is crew_planner.CrewReason.NO_CREW
    found = [one.data_centre for one in proposal.members]
    assert {name: found.count(name) for name in found} == expected


@given(
    counts=st.lists(st.integers(1, 6), min_size=1, max_size=4),
    server_count=st.integers(1, 40),
    slots=st.integers(1, 9),
    data=st.data(),
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_lost_member_is_replaced_and_others_keep_their_places(
    counts, server_count, slots, data
):
    live = _instances(*counts)
    servers = _servers(server_count, slots, len(counts))
    before = _propose(live, servers)
    lost = data.draw(st.sampled_from(before.members))
    rest = [one for one in live if one.instance_id != lost.instance_id]
    _assert_all_slots_owned(before, servers)
    after = rest and _propose(rest, servers, _record(before))
    if not after:
        return
    _assert_all_slots_owned(after, servers)
    assert after.reason is crew_planner.CrewReason.MEMBER_LOST
    assert set(before.members) - {lost} <= set(after.members)
    if all(len(shares) == 1 for shares in before.shares.values()):
        kept = {
            name: shares
            for name, shares in before.shares.items()
            if lost.instance_id not in shares
        }
        assert kept.items() <= dict(after.shares).items()


def _assert_all_slots_owned(proposal, servers):
    names = {one.instance_id for one in proposal.members}
    for one in servers:
        shares = proposal.shares[one.server_id]
        assert sum(shares.values()) == one.slots
        assert shares.keys() <= names


@pytest.mark.parametrize(
    ("reason", "patience_s"),
    [("MEMBER_LOST", 0.5), ("SERVER_UNOWNED", 1.0), ("SIZE", 10.0)],
)
def test_reason_must_hold_before_each_proposer_acts(reason, patience_s):
    live = _instances(6, 6)
    current = _record(_propose(live))
    servers, rates = _servers(20), {}
    if reason == "MEMBER_LOST":
        lost = current.members[0].instance_id
        live = [one for one in live if one.instance_id != lost]
    elif reason == "SERVER_UNOWNED":
        servers = _servers(21)
    else:
        rates = {"dc0": 4000.0}
    need = crew_planner.CrewNeed(_SERVICE, servers, current, rates)
    candidates = crew_planner.Candidates(tuple(live))
    first, second = (
        crew_planner.CrewPlanner(name)
        for name in crew_planner.rank_proposers(_SERVICE, live)[:2]
    )
    for planner, delay_s in ((first, 0.0), (second, 3.0)):
        due_s = 100.0 + patience_s + delay_s
        assert planner.propose(need, candidates, 100.0) is None
        assert planner.propose(need, candidates, due_s - 0.01) is None
        proposal = planner.propose(need, candidates, due_s)
        assert proposal.reason is crew_planner.CrewReason[reason]
        assert proposal.based_on == current.number


def test_suitable_crew_in_force_is_not_replaced():
    live = _instances(6, 6, 7)
    current = _record(_propose(live))
    assert _propose(live, current=current) is None


def test_leaving_and_restarted_members_count_as_lost():
    live = _instances(4, 4)
    current = _record(_propose(live))
    name = current.members[0].instance_id
    for change in (
        {"state": server.ListedState.LEAVING},
        {"incarnation": ids.Incarnation(2)},
    ):
        changed = [
            attrs.evolve(one, **change) if one.instance_id == name else one
            for one in live
        ]
        proposal = _propose(changed, current=current, wait_s=0.5)
        assert proposal.reason is crew_planner.CrewReason.MEMBER_LOST
        assert current.members[0] not in proposal.members


def test_returned_member_rejoins_only_after_the_rebalance_delay():
    live = _instances(4, 4)
    ideal = _record(_propose(live))
    lost = ideal.members[0].instance_id
    rest = [one for one in live if one.instance_id != lost]
    current = _record(_propose(rest, current=ideal), 8)
    assert _propose(live, current=current, wait_s=899.0) is None
    proposal = _propose(live, current=current, wait_s=900.0)
    assert proposal.reason is crew_planner.CrewReason.REBALANCE
    assert proposal.members == ideal.members


@pytest.mark.parametrize(
    ("listed", "is_proposed"), [(0, True), (11, True), (12, False)]
)
def test_minority_side_of_a_partition_proposes_nothing(listed, is_proposed):
    live = _instances(3, 3)
    need = crew_planner.CrewNeed(_SERVICE, _servers(6))
    candidates = crew_planner.Candidates(live, listed)
    proposal = _first_proposer(live).propose(need, candidates, 0.0)
    assert (proposal is not None) is is_proposed


@pytest.mark.parametrize(
    ("present", "rate_per_s", "available", "expected"),
    [
        (0, 0.0, 5, 2),
        (2, 0.0, 1, 1),
        (2, 1700.0, 5, 3),
        (3, 1500.0, 5, 3),
        (3, 900.0, 5, 2),
        (3, 9000.0, 5, 5),
    ],
)
def test_size_follows_load_with_hysteresis(
    present, rate_per_s, available, expected
):
    found = crew_size.choose_member_count(present, rate_per_s, available)
    assert found == expected
