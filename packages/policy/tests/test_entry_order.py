"""Order in which callers use the entry instances of a crew."""

from __future__ import annotations

import attrs
import pytest

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import entry_order

_LIVE = tuple(
    instance.EntryInstance(
        ids.InstanceId(f"e{number}"),
        ids.DataCentre(f"dc{number % 3}"),
        "192.0.2.1",
        80,
        81,
        ids.Incarnation(1),
    )
    for number in range(9)
)


def _crew(*numbers, owners):
    members = tuple(
        crew.CrewMember(
            _LIVE[number].instance_id,
            ids.Incarnation(1),
            _LIVE[number].data_centre,
        )
        for number in numbers
    )
    shares = {
        ids.ServerId(f"s{number}"): {ids.InstanceId(f"e{number}"): 4}
        for number in owners
    }
    return crew.Crew(
        ids.ServiceName("route"), ids.LogOffset(1), members, shares
    )


def _instance_ids(entries):
    return [one.instance_id for one in entries]


def test_owners_in_the_own_data_centre_come_first_and_standbys_last():
    record = _crew(0, 1, 2, 3, owners=(0, 1, 2))
    names = _instance_ids(entry_order.order_entries(record, _LIVE, "dc1", "a"))
    assert names[0] == "e1"
    assert set(names[1:3]) == {"e0", "e2"}
    assert names[3:] == ["e3"]


@pytest.mark.parametrize("gone", [0, 3])
def test_leaving_members_are_omitted(gone):
    record = _crew(0, 3, owners=(0, 3))
    live = list(_LIVE)
    live[gone] = attrs.evolve(live[gone], state=server.ListedState.LEAVING)
    names = _instance_ids(entry_order.order_entries(record, live, "dc0", "a"))
    assert names == [f"e{3 - gone}"]


def test_live_instances_are_returned_when_no_member_is_left():
    record = _crew(0, owners=(0,))
    names = _instance_ids(
        entry_order.order_entries(record, _LIVE[1:], "dc1", "a")
    )
    assert sorted(names) == [f"e{number}" for number in range(1, 9)]
    assert names[0] in {"e1", "e4", "e7"}


def test_callers_are_spread_over_equal_members():
    record = _crew(0, 3, 6, owners=(0, 3, 6))
    first = [
        entry_order.order_entries(record, _LIVE, "dc0", f"caller{number}")[0]
        for number in range(300)
    ]
    names = _instance_ids(first)
    assert all(70 < names.count(one) < 130 for one in ("e0", "e3", "e6"))
