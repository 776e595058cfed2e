"""Tests of the failure detector on a simulated network with faults.

The network and all timers run on virtual time.
"""

from __future__ import annotations

import heapq
import itertools
import random

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import heartbeat
from magnoliacrank.policy import member
from magnoliacrank.policy import membership

_TICK_S = 0.1
_LATENCY_S = (0.0005, 0.05)
_JOIN_S = 15.0
_HEAL_S = 60.0
_BOUND_S = membership.REMOVAL_BOUND_S


@attrs.define
class _Node:
    own: instance.EntryInstance
    detector: membership.FailureDetector
    is_paused: bool = False
    inbox: list = attrs.field(factory=list)
    view: dict = attrs.field(factory=dict)


class Network:
    """Simulated instances and the links between them, on virtual time."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.nodes: dict[str, _Node] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.duplicate = self.late = 0.0
        self.sent = 0
        self.removals: list[tuple[float, str, str]] = []
        self.highest: dict[tuple[str, str], int] = {}
        self._events: list = []
        self._order = itertools.count()

    def add(self, name: str, incarnation: int = 1) -> _Node:
        own = instance.EntryInstance(
            ids.InstanceId(name),
            ids.DataCentre(f"dc{int(name[1:]) % 3}"),
            "192.0.2.1",
            80,
            int(name[1:]),
            ids.Incarnation(incarnation),
        )
        rng = random.Random(self.rng.random())
        node = _Node(own, membership.FailureDetector(own, rng, self.now_s))
        self.nodes[name] = node
        self._at(self.rng.random() * _TICK_S, lambda: self._tick(node))
        return node

    def publish_listing(self) -> None:
        listing = instance.LiveListing(
            tuple(node.own for node in self.nodes.values())
        )
        for node in self.nodes.values():
            node.detector.update_listing(listing)

    def crash(self, name: str) -> None:
        del self.nodes[name]

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.is_paused = False
        inbox, node.inbox = node.inbox, []
        for handle in inbox:
            handle()

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, handle = heapq.heappop(self._events)
            handle()
        self.now_s = end_s

    def _at(self, delay_s: float, handle) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._order), handle)
        )

    def _is_running(self, node: _Node) -> bool:
        return self.nodes.get(node.own.instance_id) is node

    def _tick(self, node: _Node) -> None:
        if not self._is_running(node):
            return
        if not node.is_paused:
            node.detector.tick(self.now_s)
            self._flush(node)
        self._at(_TICK_S, lambda: self._tick(node))

    def _flush(self, node: _Node) -> None:
        for outgoing in node.detector.take_outgoing():
            self.sent += 1
            self._transmit(node, outgoing)
        change = node.detector.take_change()
        if change is not None:
            self._record(node, change)

    def _record(self, node: _Node, change) -> None:
        own = node.own.instance_id
        view = {one.instance_id: one.incarnation for one in change.members}
        for gone in node.view.keys() - view.keys():
            self.removals.append((self.now_s, own, gone))
        for name, incarnation in view.items():
            key = (f"{own}.{node.own.incarnation}", name)
            assert incarnation >= self.highest.get(key, 0)
            self.highest[key] = incarnation
        node.view = view

    def _transmit(self, node: _Node, outgoing: heartbeat.Outgoing) -> None:
        source, to = node.own.instance_id, outgoing.recipient
        for _ in range(1 + (self.rng.random() < self.duplicate)):
            self._deliver(source, to, lambda: self._arrive(node, outgoing))

    def _deliver(self, source: str, to: str, handle) -> None:
        if (source, to) in self.blocked or self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(*_LATENCY_S)
        if self.rng.random() < self.late:
            delay_s += self.rng.uniform(0, 3)
        self._at(delay_s, handle)

    def _arrive(self, sender: _Node, outgoing: heartbeat.Outgoing) -> None:
        self._run_on(
            self.nodes.get(outgoing.recipient),
            lambda node: self._answer(node, sender, outgoing.heartbeat),
        )

    def _answer(self, node: _Node, sender: _Node, message) -> None:
        answers = node.detector.receive(_identify(sender), message, self.now_s)
        self._flush(node)
        for answer in answers:
            self._deliver(
                node.own.instance_id,
                sender.own.instance_id,
                lambda answer=answer: self._run_on(
                    sender if self._is_running(sender) else None,
                    lambda origin: self._receive_answer(origin, node, answer),
                ),
            )

    def _receive_answer(self, node: _Node, sender: _Node, answer) -> None:
        node.detector.receive(_identify(sender), answer, self.now_s)
        self._flush(node)

    def _run_on(self, node: _Node | None, handle) -> None:
        if node is None:
            return
        if node.is_paused:
            node.inbox.append(lambda: handle(node))
        else:
            handle(node)

    def are_views_right(self) -> bool:
        truth = {
            name: node.own.incarnation for name, node in self.nodes.items()
        }
        return all(node.view == truth for node in self.nodes.values())


def _identify(node: _Node) -> heartbeat.HeartbeatSender:
    return heartbeat.HeartbeatSender(node.own.instance_id, node.own.incarnation)


def _start(count: int, seed: int = 1) -> Network:
    network = Network(seed)
    for number in range(count):
        network.add(f"e{number}")
    network.publish_listing()
    network.run(_JOIN_S)
    assert network.are_views_right()
    network.removals.clear()
    return network


@pytest.mark.parametrize(
    ("count", "crashed"),
    [
        (2, ["e1"]),
        (4, ["e2"]),
        (13, ["e5"]),
        (19, ["e0", "e7"]),
        (19, [f"e{number}" for number in range(0, 19, 3)]),
        (40, [f"e{number}" for number in range(1, 40, 3)]),
        (19, [f"e{number}" for number in range(19) if number % 3]),
        (40, [f"e{number}" for number in range(40) if number % 3]),
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_crashed_members_are_removed_everywhere_within_bound(
    count, crashed, seed
):
    network = _start(count, seed)
    network.run(network.rng.random())
    for name in crashed:
        network.crash(name)
    network.run(_BOUND_S)
    assert network.are_views_right()


@pytest.mark.parametrize("count", [3, 4, 8])
@pytest.mark.parametrize("is_both_ways", [False, True])
def test_half_open_link_makes_neither_end_suspect(count, is_both_ways):
    network = _start(count)
    for first, second in itertools.combinations(list(network.nodes), 2):
        network.blocked = {(first, second)}
        if is_both_ways:
            network.blocked.add((second, first))
        network.run(2 * _BOUND_S)
    assert network.removals == []
    # A member that was suspected would have raised its revision.
    revisions = [
        node.detector._view.own.revision for node in network.nodes.values()
    ]
    assert revisions == [0] * count


@pytest.mark.parametrize("seed", range(5))
def test_lossy_late_and_duplicate_messages_remove_nobody(seed):
    network = _start(13, seed)
    network.loss, network.duplicate, network.late = 0.1, 0.1, 0.1
    network.run(60)
    assert network.removals == []
    assert network.are_views_right()


@pytest.mark.parametrize("seed", range(3))
def test_paused_member_returns_and_removes_nobody(seed):
    network = _start(13, seed)
    node = network.nodes["e4"]
    node.is_paused = True
    network.run(_BOUND_S)
    removed_by = {by for _, by, gone in network.removals if gone == "e4"}
    assert removed_by == network.nodes.keys() - {"e4"}
    network.run(10)
    network.resume("e4")
    network.run(_BOUND_S)
    assert network.are_views_right()
    assert {gone for _, _, gone in network.removals} == {"e4"}


@pytest.mark.parametrize("seed", range(3))
def test_partitioned_halves_merge_again(seed):
    network = _start(14, seed)
    names = list(network.nodes)
    for first, second in itertools.product(names[:7], names[7:]):
        network.blocked |= {(first, second), (second, first)}
    network.run(60)
    assert network.nodes["e0"].view.keys() == set(names[:7])
    network.removals.clear()
    network.blocked.clear()
    network.run(_HEAL_S)
    assert network.are_views_right()
    assert network.removals == []


def test_pause_of_the_observer_extends_a_suspicion():
    network = _start(4)
    observer = network.nodes["e0"].detector
    suspect = attrs.evolve(
        observer._view.find_update(ids.InstanceId("e1")),
        state=member.MemberState.SUSPECT,
    )
    _send_update(network, "e0", "e2", suspect)
    observer.tick(network.now_s + 100)
    assert observer.find(ids.InstanceId("e1")) is not None
    observer.tick(network.now_s + 100.9)
    observer.tick(network.now_s + 101.8)
    observer.tick(network.now_s + 102.7)
    assert observer.find(ids.InstanceId("e1")) is None


@pytest.mark.parametrize("name", ["e2", "e5", "e8"])
def test_crashed_member_that_one_instance_still_lists_is_removed(name):
    network = _start(13)
    held = network.nodes["e0"].detector._view.find_update(ids.InstanceId(name))
    network.crash(name)
    network.run(_BOUND_S)
    network.add("e13")
    network.publish_listing()
    network.run(_JOIN_S)
    joined = network.nodes["e13"]
    joined.detector._view._table._entries.pop(name, None)
    _send_update(network, "e13", "e0", held)
    assert joined.detector.find(ids.InstanceId(name)) is not None
    network.run(20)
    assert network.are_views_right()


def _send_update(network, name, sender, update) -> None:
    network.nodes[name].detector.receive(
        _identify(network.nodes[sender]),
        heartbeat.Heartbeat(heartbeat.HeartbeatKind.PING, updates=(update,)),
        network.now_s,
    )


@pytest.mark.parametrize("downtime_s", [0, 1, 10])
def test_restart_under_the_same_name_replaces_the_older_incarnation(downtime_s):
    network = _start(7)
    network.late = 0.3
    network.crash("e3")
    network.run(downtime_s)
    network.add("e3", incarnation=2)
    network.publish_listing()
    network.run(_JOIN_S)
    assert network.are_views_right()


def test_older_incarnation_is_told_that_it_is_superseded():
    network = _start(5)
    older = network.nodes["e3"]
    older.is_paused = True
    network.add("e3", incarnation=2)
    network.publish_listing()
    network.run(_JOIN_S)
    assert network.are_views_right()
    newer = network.nodes["e3"]
    answer = network.nodes["e1"].detector.receive(
        _identify(older),
        heartbeat.Heartbeat(heartbeat.HeartbeatKind.PING),
        network.now_s,
    )
    older.detector.receive(
        _identify(network.nodes["e1"]), answer[0], network.now_s
    )
    assert older.detector.is_superseded
    assert not newer.detector.is_superseded


@pytest.mark.parametrize("count", [2, 13, 40])
def test_leave_and_departure_are_known_everywhere_within_bound(count):
    network = _start(count)
    node = network.nodes["e1"]
    node.detector.leave(network.now_s)
    network.run(1)
    for other in network.nodes.values():
        found = other.detector.find(ids.InstanceId("e1"))
        assert found.state is server.ListedState.LEAVING
    node.detector.depart(network.now_s)
    network._flush(node)
    network.crash("e1")
    network.run(1)
    assert network.are_views_right()


def test_updates_spread_if_no_monitored_member_answers():
    network = _start(13)
    node = network.nodes["e0"]
    targets = list(node.detector._next_probe_s)
    for target in targets:
        network.crash(target)
    network.run(1.05)
    node.detector.leave(network.now_s)
    network.run(0.25)
    leaving = server.ListedState.LEAVING
    views = [
        other.detector.find(ids.InstanceId("e0")).state
        for other in network.nodes.values()
    ]
    assert views == [leaving] * (13 - len(targets))


def test_lagging_list_does_not_bring_a_removed_member_back():
    network = _start(4)
    listing = instance.LiveListing(
        tuple(node.own for node in network.nodes.values())
    )
    network.crash("e2")
    network.run(_BOUND_S)
    for node in network.nodes.values():
        node.detector.update_listing(listing)
    network.run(20)
    assert network.are_views_right()


def test_member_that_is_missing_from_the_list_stays():
    network = _start(4)
    for node in network.nodes.values():
        node.detector.update_listing(instance.LiveListing())
    network.run(20)
    assert network.removals == []


def test_listed_leaving_state_applies_to_its_incarnation_only():
    network = _start(3)
    detector = network.nodes["e0"].detector
    listed = attrs.evolve(
        network.nodes["e1"].own, state=server.ListedState.LEAVING
    )
    detector.update_listing(instance.LiveListing((listed,)))
    found = detector.find(ids.InstanceId("e1"))
    assert found.state is server.ListedState.LEAVING
    older = attrs.evolve(listed, incarnation=ids.Incarnation(0))
    detector.update_listing(instance.LiveListing((older,)))
    found = detector.find(ids.InstanceId("e1"))
    assert found.state is server.ListedState.LIVE


def test_late_update_about_a_removed_member_is_ignored():
    network = _start(4)
    network.crash("e2")
    network.run(_BOUND_S)
    node = network.nodes["e0"]
    address = member.MemberAddress(ids.DataCentre("dc2"), "192.0.2.1", 80, 2)
    late = member.MemberUpdate(
        ids.InstanceId("e2"),
        ids.Incarnation(1),
        0,
        member.MemberState.ALIVE,
        address=address,
    )
    _send_update(network, "e0", "e1", late)
    assert node.detector.find(ids.InstanceId("e2")) is None


def test_messages_per_instance_do_not_grow_with_the_members():
    rates = []
    for count in (7, 20, 40):
        network = _start(count)
        network.run(10)
        network.sent = 0
        network.run(20)
        rates.append(network.sent / 20 / count)
    assert rates == pytest.approx([3.0] * 3, rel=0.05)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Crashes, restarts, pauses, partitions and leaves in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.network = _start(6)
        self.incarnations = dict.fromkeys(self.network.nodes, 1)

    @stateful.rule(number=st.integers(0, 5))
    def crash(self, number) -> None:
        name = f"e{number}"
        if name in self.network.nodes and len(self.network.nodes) > 2:
            self.network.crash(name)

    @stateful.rule(number=st.integers(0, 5))
    def restart(self, number) -> None:
        name = f"e{number}"
        self.incarnations[name] += 1
        self.network.add(name, self.incarnations[name])
        self.network.publish_listing()

    @stateful.rule(number=st.integers(0, 5))
    def pause(self, number) -> None:
        node = self.network.nodes.get(f"e{number}")
        if node is not None:
            node.is_paused = True

    @stateful.rule(number=st.integers(0, 5))
    def resume(self, number) -> None:
        if f"e{number}" in self.network.nodes:
            self.network.resume(f"e{number}")

    @stateful.rule(number=st.integers(0, 5))
    def leave(self, number) -> None:
        node = self.network.nodes.get(f"e{number}")
        if node is not None and not node.is_paused:
            node.detector.leave(self.network.now_s)

    @stateful.rule(first=st.integers(0, 5), second=st.integers(0, 5))
    def cut(self, first, second) -> None:
        self.network.blocked.add((f"e{first}", f"e{second}"))

    @stateful.rule()
    def heal(self) -> None:
        self.network.blocked.clear()

    @stateful.rule(faults=st.sampled_from([0.0, 0.1, 0.3]))
    def disturb(self, faults) -> None:
        network = self.network
        network.loss = network.late = network.duplicate = faults

    @stateful.rule(seconds=st.sampled_from([0.3, 1, 3, 8]))
    def run_for(self, seconds) -> None:
        self.network.run(seconds)

    def teardown(self) -> None:
        """Checks that all views are right once the faults are over."""
        network = self.network
        network.blocked.clear()
        network.loss = network.late = network.duplicate = 0.0
        for name in network.nodes:
            network.resume(name)
        network.publish_listing()
        network.run(_HEAL_S)
        assert network.are_views_right()


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
)
