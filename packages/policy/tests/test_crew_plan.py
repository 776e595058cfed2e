from __future__ import annotations

import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import crew_plan

_SERVICE = ids.ServiceName("s")
_CENTRES = ("a", "b", "c")


def _instances(count):
    return [
        instance.EntryInstance(
            ids.InstanceId(f"e{index:02d}"),
            ids.DataCentre(_CENTRES[index % 3]),
            "127.0.0.1",
            1,
            1,
            ids.Incarnation(1),
        )
        for index in range(count)
    ]


def _servers(count, slots):
    return [
        server.BackendServer(
            server_id=ids.ServerId(f"s{index:03d}"),
            service=_SERVICE,
            version=ids.SoftwareVersion("1"),
            data_centre=ids.DataCentre(_CENTRES[index % 3]),
            host="127.0.0.1",
            port=1,
            slots=slots,
            connections=200,
        )
        for index in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 13, 19])
def test_members_are_at_most_two_in_each_data_centre(count):
    live = _instances(count)
    members = crew_plan.pick_members(_SERVICE, live)
    for centre in _CENTRES:
        here = sum(one.data_centre == centre for one in live)
        chosen = sum(one.data_centre == centre for one in members)
        assert chosen == min(2, here)


def test_loss_of_an_instance_replaces_that_member_only():
    live = _instances(19)
    before = crew_plan.pick_members(_SERVICE, live)
    lost = before[0]
    rest = [one for one in live if one.instance_id != lost.instance_id]
    after = crew_plan.pick_members(_SERVICE, reversed(rest))
    assert set(before) - set(after) == {lost}


@pytest.mark.parametrize(
    ("count", "slots", "owners_per_centre"),
    [
        (6, 2, 1),
        (20, 4, 1),
        (30, 2, 1),
        (48, 4, 2),
        (300, 4, 2),
    ],
)
def test_shares_sum_to_slots_among_few_owners_nearby(
    count, slots, owners_per_centre
):
    servers = _servers(count, slots)
    members = crew_plan.pick_members(_SERVICE, _instances(19))
    shares = crew_plan.assign_slots(servers, members)
    centre_of = {one.instance_id: one.data_centre for one in members}
    owners = set()
    for one in servers:
        assert sum(shares[one.server_id].values()) == one.slots
        for name in shares[one.server_id]:
            assert centre_of[name] == one.data_centre
            owners.add(name)
    assert len(owners) == 3 * owners_per_centre


def test_shares_without_member_nearby_go_to_others():
    servers = _servers(6, 4)
    members = crew_plan.pick_members(_SERVICE, _instances(2))
    shares = crew_plan.assign_slots(servers, members)
    assert all(sum(part.values()) == 4 for part in shares.values())


def test_no_members_gives_no_shares():
    assert crew_plan.assign_slots(_servers(3, 4), ()) == {}
