"""Tests of liveness, crews and server ownership under losses and restarts."""

import attrs
import pytest

from magnoliacrank.policy import instance_roster
from magnoliacrank.policy import mesh_protocol
from magnoliacrank.policy import peer_status
from magnoliacrank.policy import site_mesh

OWN = peer_status.PeerStatus("n0", "a", "10.0.0.0", 1, True, False, True, 0.86)


def _fact(number, data_centre="a", **fields):
    return attrs.evolve(
        OWN,
        node=f"n{number}",
        ip=f"10.0.0.{number}",
        data_centre=data_centre,
        **fields,
    )


def _roster(*facts, now_s=0.0):
    roster = instance_roster.InstanceRoster(OWN)
    for fact in facts:
        roster.record_heartbeat(fact, now_s)
    return roster


def test_all_instances_agree_on_crew_and_owner():
    facts = [OWN, *(_fact(number) for number in range(1, 6))]
    crews = set()
    owners = {}
    for own in facts:
        roster = instance_roster.InstanceRoster(own)
        for fact in facts:
            roster.record_heartbeat(fact, 0.0)
        crews.add(tuple(fact.node for fact in roster.crew("a", 0.5)))
        for server in range(50):
            if roster.is_owner(f"s{server}", "a", 0.5):
                owners.setdefault(server, []).append(own.node)
    assert len(crews) == 1
    assert len(crews.pop()) == site_mesh.MIN_CREW_SIZE
    assert all(len(found) == 1 for found in owners.values())
    assert len(owners) == 50


@pytest.mark.parametrize(
    ("fact", "silence_s", "is_alive"),
    [
        (_fact(1), 0.6, True),
        (_fact(1), 0.8, False),
        (_fact(1, is_mesh_member=False), 3.4, True),
        (_fact(1, is_mesh_member=False), 3.6, False),
        (_fact(1, "b"), 3.4, True),
        (_fact(1, "b"), 3.6, False),
        (_fact(1, "b", is_mesh_member=False), 3.4, True),
        (_fact(1, "b", is_mesh_member=False), 3.6, False),
        (_fact(1, is_leaving=True), 0.0, False),
        (_fact(1, is_ready=False), 0.0, False),
    ],
)
def test_silent_leaving_and_unready_instances_are_left_out(
    fact, silence_s, is_alive
):
    roster = _roster(fact)
    assert (fact in roster.ready_instances(silence_s)) is is_alive


def test_heartbeats_to_other_data_centres_are_fewer():
    local, crew = _fact(1), _fact(2, "b")
    other = _fact(3, "b", capacity=0.1, is_mesh_member=False)
    steward = _fact(4, "b", capacity=0.05)
    second = _fact(5, "b")
    roster = instance_roster.InstanceRoster(OWN)
    protocol = mesh_protocol.MeshProtocol(roster, (), 0.0)
    for fact in (local, crew, other, steward, second):
        roster.record_heartbeat(fact, 10.0)
    roster.add_address("10.0.0.9", 10.0)
    counts = {}
    for number in range(10):
        for ip in protocol.recipients(number, 10.1):
            counts[ip] = counts.get(ip, 0) + 1
    assert counts == {
        local.ip: 10,
        crew.ip: 2,
        second.ip: 2,
        steward.ip: 2,
        "10.0.0.9": 2,
    }
    assert len(protocol.recipients(0, 10.1)) == 5


def test_older_incarnation_is_ignored():
    roster = _roster(_fact(1, incarnation=5))
    roster.record_heartbeat(_fact(1, incarnation=4, is_ready=False), 0.1)
    assert _fact(1, incarnation=5) in roster.ready_instances(0.2)


def test_lower_incarnation_is_accepted_after_the_timeout():
    roster = _roster(_fact(1, incarnation=5))
    roster.record_heartbeat(_fact(1, incarnation=4), 4.0)
    assert _fact(1, incarnation=4) in roster.ready_instances(4.1)


def test_crew_grows_with_the_servers_of_its_data_centre():
    roster = _roster(*(_fact(number) for number in range(1, 9)))
    sizes = []
    for servers in (0, 34, 35, 80, 500):
        roster.set_servers({"a": servers})
        sizes.append(len(roster.crew("a", 0.5)))
    assert sizes == [2, 2, 3, 5, 9]


@pytest.mark.parametrize(
    ("cores", "link_mbps", "expected"),
    [(0.86, 1000.0, 0.86), (2.15, 200.0, 2.15), (0.43, 5.0, 0.25)],
)
def test_capacity_is_bound_by_processor_or_link(cores, link_mbps, expected):
    assert peer_status.capacity(cores, link_mbps) == expected


@pytest.mark.parametrize(
    ("servers", "large", "crew"),
    [
        (56, 2, 2),
        (86, 2, 2),
        (56, 1, 7),
        (56, 0, 7),
        (90, 2, 11),
    ],
)
def test_crew_consists_of_large_instances_that_carry_equal_shares(
    servers, large, crew
):
    """Small instances join only if the large ones can't carry the load."""
    small = [_fact(number, "b", capacity=0.43) for number in range(1, 30)]
    big = [_fact(30 + number, "b", capacity=2.15) for number in range(large)]
    roster = _roster(*small, *big)
    roster.set_servers({"b": servers})
    found = roster.crew("b", 0.5)
    assert len(found) == crew
    assert found[:large] == sorted(big, key=lambda fact: fact.rank)
    assert len(found) * min(fact.capacity for fact in found) >= (
        servers / site_mesh.SERVERS_PER_CORE
    )


def test_duties_fall_to_small_instances():
    small = _fact(1, capacity=0.43)
    roster = instance_roster.InstanceRoster(small)
    for fact in (OWN, _fact(2), _fact(3)):
        roster.record_heartbeat(fact, 0.0)
    assert roster.duty_order(0.5) == 0


def test_loss_moves_only_servers_of_the_lost_instance():
    facts = [_fact(number, "b") for number in range(1, 3)]
    roster = instance_roster.InstanceRoster(OWN)
    roster.set_servers({"a": 24})
    others = [_fact(number) for number in range(3, 5)]
    for fact in (*facts, *others):
        roster.record_heartbeat(fact, 0.0)
    before = {n for n in range(100) if roster.is_owner(f"s{n}", "a", 0.5)}
    roster.record_heartbeat(attrs.evolve(others[0], is_ready=False), 0.6)
    after = {n for n in range(100) if roster.is_owner(f"s{n}", "a", 0.7)}
    assert before < after


def test_duties_fall_outside_the_crew_where_there_is_room():
    facts = [OWN, *(_fact(number) for number in range(1, 6))]
    for own in facts:
        roster = instance_roster.InstanceRoster(own)
        for fact in facts:
            roster.record_heartbeat(fact, 0.0)
        if roster.duty_order(0.5) == 0:
            assert not roster.is_crew_member(0.5)


def test_data_centre_without_instances_has_an_owner_elsewhere():
    roster = _roster()
    assert roster.is_owner("s1", "nowhere", 0.5)


@pytest.mark.parametrize("seeds", [("10.0.0.9",), ()])
def test_isolated_instance_owns_nothing_at_first(seeds):
    """After a simultaneous start, each would send to the same cold servers."""
    roster = instance_roster.InstanceRoster(OWN)
    protocol = mesh_protocol.MeshProtocol(roster, seeds, 0.0)
    assert not protocol.knows_mesh(0.1)
    assert not protocol.knows_mesh(3.4)
    assert protocol.knows_mesh(3.6)
    roster.record_heartbeat(_fact(1), 10.0)
    protocol.recipients(0, 10.1)
    # The instance was suspended. It had not used a cold server since it met a
    # peer, so only the heartbeat at 10.1 s ended the isolation of the start.
    assert not protocol.knows_mesh(20.0)
    roster.record_heartbeat(_fact(1), 20.1)
    assert protocol.knows_mesh(20.2)


def test_started_instance_owns_nothing_before_it_gets_a_list():
    roster = instance_roster.InstanceRoster(OWN)
    protocol = mesh_protocol.MeshProtocol(roster, ("10.0.0.9",), 0.0)
    protocol.on_heartbeat(_fact(1), 7, [], 0.1)
    assert not protocol.knows_mesh(0.2)
    protocol.on_list([_fact(1), _fact(2)], "a", 0.3)
    assert protocol.knows_mesh(0.4)
