"""Terms, moves and snapshots on several instances in virtual time."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from magnoliacrank.model import configuration
from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import move
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.standins import memory_log
from magnoliacrank.standins import virtual_time
from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import log_follower
from magnoliacrank.state import move_table
from magnoliacrank.state import moves
from magnoliacrank.state import publisher
from magnoliacrank.state import readiness
from magnoliacrank.state import records
from magnoliacrank.state import snapshot_writer
from magnoliacrank.state import term_keeper

V1 = ids.SoftwareVersion("1")
V2 = ids.SoftwareVersion("2")
V3 = ids.SoftwareVersion("3")
ROUTE = configuration.Route("r", "/", request.RequestClass.IDEMPOTENT, 500)


def plan_edit(name, version, deadline_s=None):
    return edit_lib.Edit(
        services=(
            edit_lib.ServiceEdit(
                ids.CustomerId("c"),
                configuration.ServicePlan(
                    name, version, (), (ROUTE,), deadline_s
                ),
            ),
        )
    )


def listing():
    return instance.LiveListing(
        servers=tuple(
            server.BackendServer(
                f"{service}-{version}-{n}", service, version, "d", "h", 1, 4, 9
            )
            for service in ("s", "t")
            for version in (V1, V2, V3)
            for n in range(4)
        )
    )


class Node:
    """The state components of one instance, on a log shared with others."""

    def __init__(self, log, name, peers):
        self.name = name
        self.peers = peers
        clock = asyncio.get_running_loop().time
        self.follower = log_follower.LogFollower(log, clock=clock)
        self.appender = appender_lib.Appender(log, self.follower, clock=clock)
        who = {"instance_id": name, "incarnation": 1, "clock": clock}
        self.keeper = term_keeper.TermKeeper(
            moves.JOB,
            self.follower,
            self.appender,
            rng=random.Random(name),
            **who,
        )
        self.table = move_table.MoveTable(
            self.follower, unix_clock=clock, **who
        )
        self.table.on_listing(listing())
        self.job = moves.MovesJob(
            self.table, self.keeper, self.appender, send_evidence=self.send
        )
        self.writer = snapshot_writer.SnapshotWriter(
            self.follower,
            self.appender,
            interval_s=60.0,
            clock=clock,
            rng=random.Random(name),
        )
        self.publisher = publisher.Publisher(self.follower, self.appender)
        self.parts = (
            self.follower,
            self.appender,
            self.keeper,
            self.job,
            self.writer,
        )

    def send(self, evidence):
        evidence_recipients = self.table.evidence_recipients(evidence)
        for peer in self.peers:
            if peer.name in evidence_recipients:
                peer.table.on_evidence(evidence)

    async def start(self):
        for part in self.parts:
            await part.start()
        self.peers.append(self)

    async def close(self):
        if self in self.peers:
            self.peers.remove(self)
        for part in reversed(self.parts):
            await part.close()

    @property
    def state(self):
        return self.follower.state


async def send_traffic(nodes, faulty=frozenset(), rate_per_s=40):
    rng = random.Random(1)
    while True:
        for node in nodes:
            for service in ("s", "t"):
                shares = node.table.shares(service, "r")
                if not shares:
                    continue
                names = list(shares)
                for _ in range(rate_per_s // 10):
                    version = rng.choices(names, shares.values())[0]
                    ok = version not in faulty
                    latency_s = rng.uniform(0.001, 0.003)
                    node.table.on_sample(service, "r", version, latency_s, ok)
        await asyncio.sleep(0.1)


async def with_nodes(scenario, count=3, faulty=frozenset()):
    log = memory_log.MemoryLog(clock=asyncio.get_running_loop().time)
    nodes = []
    for index in range(count):
        await Node(log, f"i{index}", nodes).start()
    for service in ("s", "t"):
        await fix_crew(nodes[0], service, nodes)
    traffic = asyncio.create_task(send_traffic(nodes, faulty))
    try:
        return await scenario(log, nodes)
    finally:
        traffic.cancel()
        for node in tuple(nodes):
            await node.close()


async def fix_crew(node, service, members):
    crews = node.state.crews
    based_on = crews[service].number if service in crews else -1
    record = records.CrewRecord(
        service,
        based_on,
        tuple(crew.CrewMember(member.name, 1, "d") for member in members),
        {},
    )
    await node.appender.append(record)


async def begin_move(node, service="s", version=V2, deadline_s=300.0):
    base = node.state.version
    if node.state.configuration.find_service(service) is None:
        await node.publisher.publish(plan_edit(service, V1), base)
        base = node.state.version
    result = await node.publisher.publish(
        plan_edit(service, version, deadline_s), base
    )
    assert isinstance(result, publisher.Accepted)


def notices(node):
    return [(n.move.service, n.move.phase) for n in node.state.notices]


@pytest.mark.parametrize(
    ("faulty", "phase", "version"),
    [
        (frozenset(), move.Phase.DONE, V2),
        ({V2}, move.Phase.TAKEN_BACK, V1),
    ],
)
def test_move_ends_on_every_instance_with_one_notice(faulty, phase, version):
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        await asyncio.sleep(310)
        for node in nodes:
            assert notices(node) == [("s", phase)]
            assert node.table.shares("s", "r") == {version: 1.0}

    virtual_time.run(with_nodes(scenario, faulty=faulty))


def test_concurrent_moves_end_independently():
    async def scenario(_, nodes):
        await begin_move(nodes[0], "s", V2)
        await begin_move(nodes[1], "t", V3)
        await asyncio.sleep(310)
        assert set(notices(nodes[2])) == {
            ("s", move.Phase.TAKEN_BACK),
            ("t", move.Phase.DONE),
        }

    virtual_time.run(with_nodes(scenario, faulty={V2}))


@pytest.mark.parametrize(
    ("version", "ends", "serving"),
    [
        pytest.param(
            V3, [move.Phase.SUPERSEDED, move.Phase.DONE], V3, id="to-a-third"
        ),
        pytest.param(V1, [move.Phase.SUPERSEDED], V1, id="back-to-the-old"),
        pytest.param(V2, [move.Phase.DONE], V2, id="new-deadline-only"),
    ],
)
def test_edit_during_a_move_supersedes_or_updates_it(version, ends, serving):
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        await asyncio.sleep(10)
        assert 0 < nodes[2].table.shares("s", "r")[V2] < 1
        await begin_move(nodes[1], version=version, deadline_s=250.0)
        await asyncio.sleep(300)
        assert [phase for _, phase in notices(nodes[2])] == ends
        assert nodes[2].table.shares("s", "r") == {serving: 1.0}

    virtual_time.run(with_nodes(scenario))


def test_lost_term_holder_is_replaced_during_a_move():
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        await asyncio.sleep(10)
        holder = nodes[0].state.terms[moves.JOB].holder
        lost = next(node for node in nodes if node.name == holder)
        await lost.close()
        await asyncio.sleep(300)
        assert nodes[0].state.terms[moves.JOB].holder != holder
        assert notices(nodes[0]) == [("s", move.Phase.DONE)]

    virtual_time.run(with_nodes(scenario))


def test_faulty_version_is_stopped_while_log_is_unavailable():
    async def scenario(log, nodes):
        await begin_move(nodes[0])
        for _ in range(100):
            await asyncio.sleep(0.1)
            if nodes[0].table.shares("s", "r")[V2] > 0.0:
                break
        log.faults.is_down = True
        await asyncio.sleep(20)
        for node in nodes:
            assert node.state.moves["s"].phase is move.Phase.RUNNING
            assert node.table.shares("s", "r")[V2] == 0.0
        log.faults.is_down = False
        await asyncio.sleep(40)
        assert notices(nodes[0]) == [("s", move.Phase.TAKEN_BACK)]

    virtual_time.run(with_nodes(scenario, faulty={V2}))


def test_holder_outside_the_crew_decides_by_evidence_of_the_crew():
    async def scenario(_, nodes):
        await asyncio.sleep(1)
        holder = nodes[0].state.terms[moves.JOB].holder
        others = [node for node in nodes if node.name != holder]
        (outsider,) = [node for node in nodes if node.name == holder]
        await fix_crew(nodes[0], "s", others)
        outsider.table.on_sample = lambda *_: None
        await begin_move(nodes[0])
        await asyncio.sleep(60)
        (notice,) = nodes[0].state.notices
        assert notice.move.reason is move.Reason.ERRORS

    virtual_time.run(with_nodes(scenario, faulty={V2}))


def test_record_of_paused_holder_under_old_term_is_ignored():
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        await asyncio.sleep(5)
        term = nodes[0].state.terms[moves.JOB]
        paused = next(n for n in nodes if n.name == term.holder)
        old_fence = paused.keeper.fence()
        await paused.keeper.close()
        await asyncio.sleep(60)
        assert nodes[0].state.terms[moves.JOB].holder != term.holder
        assert paused.keeper.fence() is None
        await begin_move(nodes[0], "t")
        running = nodes[0].state.moves["t"]
        step = records.MoveRecord(
            "t", running.move_id, running.step + 1, move.Phase.TAKEN_BACK
        )
        await paused.appender.append(step, fence=old_fence)
        assert nodes[0].state.moves["t"].phase is move.Phase.RUNNING

    virtual_time.run(with_nodes(scenario))


def test_snapshots_are_few_and_initialize_a_new_instance():
    async def scenario(log, nodes):
        await begin_move(nodes[0])
        await asyncio.sleep(400)
        written = sum(node.writer.snapshot_count for node in nodes)
        assert 5 <= written <= 12
        log.expire_before(nodes[0].state.snapshot_covers)
        newcomer = Node(log, "new", nodes)
        await newcomer.start()
        await asyncio.sleep(1)
        assert newcomer.follower.readiness == readiness.READY
        assert newcomer.state == nodes[0].state

    virtual_time.run(with_nodes(scenario))


@pytest.mark.parametrize(
    ("has_peer", "reason"),
    [
        (True, readiness.Reason.READY),
        (False, readiness.Reason.LOG_UNAVAILABLE),
    ],
)
def test_new_instance_without_log_is_ready_only_through_a_peer(
    has_peer, reason
):
    async def scenario(log, nodes):
        await begin_move(nodes[0])
        log.faults.is_down = True
        newcomer = Node(log, "new", nodes)
        await newcomer.start()
        if has_peer:
            peer = nodes[0].follower
            assert newcomer.follower.on_peer_snapshot(peer.snapshot())
        await asyncio.sleep(1)
        assert newcomer.follower.readiness.reason is reason

    virtual_time.run(with_nodes(scenario))


def test_missing_snapshot_is_reported_as_readiness_reason():
    async def scenario(log, nodes):
        await begin_move(nodes[0])
        log.expire_before(1)
        for node in tuple(nodes):
            await node.close()
        newcomer = Node(log, "new", nodes)
        await newcomer.start()
        await asyncio.sleep(1)
        reason = newcomer.follower.readiness.reason
        assert reason is readiness.Reason.SNAPSHOT_MISSING

    virtual_time.run(with_nodes(scenario))


@pytest.mark.parametrize("was_ready", [True, False])
def test_log_that_ends_before_the_state_leaves_it_unchanged(was_ready):
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        shorter = memory_log.MemoryLog()
        follower = log_follower.LogFollower(shorter)
        if was_ready:
            follower.on_peer_snapshot(nodes[0].follower.snapshot())
        else:
            follower._state = nodes[0].state
        before = follower.state
        await follower.start()
        await asyncio.sleep(10)
        reason = follower.readiness.reason
        await follower.close()
        assert follower.state is before
        assert (reason is readiness.Reason.READY) == was_ready
        assert (reason is readiness.Reason.LOG_REWOUND) != was_ready

    virtual_time.run(with_nodes(scenario))


def test_removed_servers_end_the_move_as_too_few_servers():
    async def scenario(_, nodes):
        await begin_move(nodes[0])
        few = attrs.evolve(
            listing(),
            servers=tuple(
                each for each in listing().servers if each.version != V2
            ),
        )
        for node in nodes:
            node.table.on_listing(few)
        await asyncio.sleep(310)
        (notice,) = nodes[0].state.notices
        assert notice.move.reason is move.Reason.TOO_FEW_SERVERS

    virtual_time.run(with_nodes(scenario))
