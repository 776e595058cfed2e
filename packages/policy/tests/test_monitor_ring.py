"""Tests of which members each member monitors."""

from __future__ import annotations

import pytest

from magnoliacrank.model import ids
from magnoliacrank.policy import member
from magnoliacrank.policy import monitor_ring


def _members(*counts):
    return [
        member.MemberUpdate(
            ids.InstanceId(f"e{centre}-{number}"),
            ids.Incarnation(1),
            0,
            member.MemberState.ALIVE,
            address=member.MemberAddress(
                ids.DataCentre(f"dc{centre}"), "192.0.2.1", 80, 81
            ),
        )
        for centre, count in enumerate(counts)
        for number in range(count)
    ]


def _monitor_data_centres(members):
    """Returns the data centres of each member's monitors."""
    found = {one.instance_id: [] for one in members}
    for one in members:
        for target in monitor_ring.choose_targets(one.instance_id, members):
            found[target].append(one.address.data_centre)
    return found


@pytest.mark.parametrize(
    ("counts", "least"),
    [((2,), 1), ((1, 1, 1), 2), ((4, 4, 4), 3), ((16,) * 7, 3), ((7,), 2)],
)
def test_each_member_has_monitors(counts, least):
    members = _members(*counts)
    assert min(map(len, _monitor_data_centres(members).values())) >= least
    for one in members:
        targets = monitor_ring.choose_targets(one.instance_id, members)
        assert one.instance_id not in targets
        assert len(targets) <= 3


@pytest.mark.parametrize("counts", [(4, 4, 4), (7, 6, 6), (30, 30, 30)])
def test_monitors_are_in_all_three_data_centres(counts):
    seen = [
        set(where)
        for where in _monitor_data_centres(_members(*counts)).values()
    ]
    share = sum(len(where) == 3 for where in seen) / len(seen)
    assert share == 1 if len(set(counts)) == 1 else share > 0.5
