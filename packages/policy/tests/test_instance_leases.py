"""Tests of the leases of announced instances."""

import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.policy import instance_leases

LEASE_S = instance_leases.LEASE_S
RENEWAL_S = instance_leases.RENEWAL_S


def announcement(name, offset):
    entry = instance.EntryInstance(
        instance_id=ids.InstanceId(name),
        data_centre=ids.DataCentre("a"),
        host="10.0.0.1",
        http_port=1,
        peer_port=2,
        incarnation=ids.Incarnation(1),
    )
    return instance.Announcement(entry, ids.LogOffset(offset))


def names(found):
    return [entry.instance_id for entry in found]


@pytest.mark.parametrize(
    ("age_s", "is_listed"),
    [(0.0, True), (LEASE_S, True), (LEASE_S + 0.1, False)],
)
def test_lost_instance_is_listed_until_its_lease_expires(age_s, is_listed):
    leases = instance_leases.InstanceLeases()
    leases.current([announcement("lost", 3)], 100.0)
    found = leases.current([announcement("lost", 3)], 100.0 + age_s)
    assert bool(found) is is_listed


def test_instance_that_renews_stays_listed_beside_a_lost_one():
    leases = instance_leases.InstanceLeases()
    now_s = 0.0
    found = ()
    for offset in range(2, 8):
        found = leases.current(
            [announcement("lost", 1), announcement("alive", offset)], now_s
        )
        now_s += RENEWAL_S
    assert names(found) == ["alive"]


def test_two_lost_renewals_keep_an_instance_listed():
    leases = instance_leases.InstanceLeases()
    leases.current([announcement("a", 1)], 0.0)
    late_s = 3 * RENEWAL_S
    assert names(leases.current([announcement("a", 1)], late_s)) == ["a"]


def test_instance_that_comes_back_has_a_new_lease():
    leases = instance_leases.InstanceLeases()
    leases.current([announcement("a", 1)], 0.0)
    later_s = 2 * LEASE_S
    assert not leases.current([announcement("a", 1)], later_s)
    assert names(leases.current([announcement("a", 2)], later_s)) == ["a"]
