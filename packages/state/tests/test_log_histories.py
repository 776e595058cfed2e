"""Model-based test of several instances on one faulty log.

Hypothesis runs random sequences of publishes, faults and restarts. The checker
compares every instance with a reference that applies all records in one loop.
"""

from __future__ import annotations

import asyncio

import attrs
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from magnoliacrank.model import configuration
from magnoliacrank.standins import memory_log
from magnoliacrank.standins import virtual_time
from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import codec
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import fold
from magnoliacrank.state import log_follower
from magnoliacrank.state import log_state
from magnoliacrank.state import messages
from magnoliacrank.state import publisher
from magnoliacrank.state import records

NODES = st.integers(0, 3)
_DECIDED = (publisher.Accepted, publisher.Conflict)
STATES = st.sampled_from(list(configuration.DataCentreState))


class RecordingLog(memory_log.MemoryLog):
    """Log that also keeps every record, even expired ones, for the checker."""

    def __init__(self):
        super().__init__(clock=lambda: 0.0)
        self.history = []

    def write(self, written):
        self.history.extend(written)
        return super().write(written)


class Node:
    """A follower, an appender and a publisher on the shared log."""

    def __init__(self, log):
        clock = asyncio.get_running_loop().time
        self.follower = log_follower.LogFollower(
            log, long_poll_s=1.0, page_records=3, clock=clock
        )
        self.appender = appender_lib.Appender(
            log, self.follower, outcome_wait_s=0.2, clock=clock
        )
        self.publisher = publisher.Publisher(self.follower, self.appender)
        self.versions = [0]
        self.follower.subscribe(self.on_message)

    def on_message(self, message):
        if isinstance(message, messages.ConfigurationChanged):
            self.versions.append(message.version)

    async def start(self):
        await self.follower.start()
        await self.appender.start()

    async def close(self):
        await self.appender.close()
        await self.follower.close()


@attrs.define
class PublishCall:
    """A publish call in progress or finished."""

    append_id: str
    task: asyncio.Task


def reference_states(history):
    """Returns the reference state before each offset."""
    folds = [log_state.LogState()]
    for offset, data in enumerate(history):
        try:
            entry = codec.decode(data)
        except ValueError:
            folds.append(fold.skip(folds[-1], offset))
        else:
            folds.append(fold.fold(folds[-1], offset, entry))
    return folds


def broken_rules(folds, states, versions, results):
    """Returns the names of the rules that a history breaks.

    Args:
        folds: Reference state before each offset.
        states: Log states of the instances.
        versions: Configuration versions that each instance reported, in order.
        results: Pairs of append id and publish result.
    """
    broken = set()
    for state in states:
        if state != folds[state.next_offset]:
            broken.add("folds differ")
    for told in versions:
        if told != sorted(told):
            broken.add("version went back")
    for append_id, result in results:
        is_known = append_id in folds[-1].append_ids
        if isinstance(result, publisher.NotPublished) and is_known:
            broken.add("not published is in the log")
        found = publisher.find_result(folds[-1], append_id)
        if isinstance(result, _DECIDED) and result != found:
            broken.add("result differs")
    return broken


class LogHistories(stateful.RuleBasedStateMachine):
    """Random order of publishes, log faults, restarts and relayed records."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop)
        self.published = []
        self.paused = set()
        self.runner.run(self.set_up())

    async def set_up(self):
        self.log = RecordingLog()
        self.nodes = [Node(self.log) for _ in range(4)]
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(0.1)

    @stateful.rule(
        index=NODES,
        state=STATES,
        lag=NODES,
        seconds=st.sampled_from([0.01, 0.5, 1.0]),
    )
    def publish(self, index, state, lag, seconds):
        self.runner.run(self.begin_publish(index, state, lag, seconds))

    async def begin_publish(self, index, state, lag, seconds):
        node = self.nodes[index]
        base = max(node.follower.state.version - lag // 2, 0)
        edit = edit_lib.Edit(data_centres={"a": state})
        append_id = f"p{len(self.published)}"
        task = asyncio.create_task(
            node.publisher.publish(
                edit, base, append_id=append_id, timeout_s=3.0
            )
        )
        self.published.append(PublishCall(append_id, task))
        await asyncio.sleep(seconds)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 4.0]))
    def wait(self, seconds):
        self.runner.run(asyncio.sleep(seconds))

    @stateful.rule(
        is_down=st.booleans(),
        delay_s=st.sampled_from([0.0, 0.3]),
        lost=st.integers(0, 2),
    )
    def disturb(self, is_down, delay_s, lost):
        self.log.faults.is_down = is_down
        self.log.faults.delay_s = delay_s
        self.log.faults.lost_answers = lost

    @stateful.precondition(lambda self: self.log.history)
    @stateful.rule(data=st.data())
    def repeat_append(self, data):
        chosen = data.draw(st.integers(0, len(self.log.history) - 1))
        self.log.write([self.log.history[chosen]])

    @stateful.rule(
        junk=st.sampled_from(
            [b"", b"{", b'{"kind":"new","id":"x","body":{}}', b"[1]"]
        )
    )
    def append_junk(self, junk):
        self.log.write([junk])

    @stateful.rule(index=NODES)
    def snapshot(self, index):
        state = self.nodes[index].follower.state
        entry = records.Entry(
            f"snapshot-{state.next_offset}", records.SnapshotRecord(state)
        )
        self.log.write([codec.encode(entry)])

    @stateful.rule(part=st.floats(0.0, 1.0))
    def expire(self, part):
        newest = max(n.follower.state.next_offset for n in self.nodes)
        self.log.expire_before(int(newest * part))

    @stateful.rule(from_index=NODES, to_index=NODES, overlap=NODES)
    def pass_on(self, from_index, to_index, overlap):
        giver = self.nodes[from_index].follower
        taker = self.nodes[to_index].follower
        start = max(taker.state.next_offset - overlap, 0)
        found = giver.records_since(start, 5)
        if found is None:
            taker.on_peer_snapshot(giver.snapshot())
        elif found:
            taker.on_peer_records(
                found[0].offset, [each.data for each in found]
            )

    @stateful.rule(from_index=NODES, to_index=NODES)
    def pass_snapshot(self, from_index, to_index):
        giver = self.nodes[from_index].follower
        self.nodes[to_index].follower.on_peer_snapshot(giver.snapshot())

    @stateful.rule(index=st.integers(1, 3))
    def replace(self, index):
        self.runner.run(self.replace_node(index))

    async def replace_node(self, index):
        if not self.is_covered_by_another(index):
            return
        await self.nodes[index].close()
        self.nodes[index] = Node(self.log)
        await self.nodes[index].start()

    def is_covered_by_another(self, index):
        """Whether another instance has applied as much of the log.

        Otherwise replacing this instance could lose expired records for good.
        """
        own = self.nodes[index].follower.state.next_offset
        return any(
            node.follower.state.next_offset >= own
            for node in self.nodes
            if node is not self.nodes[index]
        )

    @stateful.rule(index=NODES)
    def pause(self, index):
        self.runner.run(self.nodes[index].follower.close())
        self.paused.add(self.nodes[index])

    @stateful.rule()
    def resume(self):
        self.runner.run(self.resume_nodes())

    async def resume_nodes(self):
        for node in self.paused.intersection(self.nodes):
            await node.follower.start()
        self.paused.clear()
        await asyncio.sleep(0.0)

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.broken()

    def broken(self):
        return broken_rules(
            reference_states(self.log.history),
            [node.follower.state for node in self.nodes],
            [node.versions for node in self.nodes],
            [
                (each.append_id, each.task.result())
                for each in self.published
                if each.task.done()
            ],
        )

    def teardown(self):
        try:
            self.runner.run(self.settle())
        finally:
            self.runner.close()

    async def settle(self):
        self.log.faults = memory_log.LogFaults()
        await self.resume_nodes()
        newest = max(
            (n.follower for n in self.nodes), key=lambda f: f.state.next_offset
        )
        entry = records.Entry(
            "last-snapshot", records.SnapshotRecord(newest.state)
        )
        self.log.write([codec.encode(entry)])
        await asyncio.sleep(20.0)
        for node in self.nodes:
            assert node.follower.readiness.is_ready
            assert node.follower.state.next_offset == self.log.end_offset
        assert not self.broken()
        for node in self.nodes:
            await node.close()


TestLogHistories = LogHistories.TestCase
TestLogHistories.settings = settings(
    max_examples=120,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def _accepted_history():
    edit = edit_lib.Edit(data_centres={"a": configuration.DataCentreState.OUT})
    entries = [
        records.Entry("x", records.EditRecord(0, edit)),
        records.Entry("y", records.EditRecord(0, edit)),
    ]
    return reference_states([codec.encode(entry) for entry in entries])


def test_checker_detects_each_broken_rule():
    folds = _accepted_history()
    wrong = attrs.evolve(folds[1], version=9)
    told = publisher.Accepted(1, 0)
    refused = publisher.NotPublished(appender_lib.Failure.LOG_UNAVAILABLE)
    assert broken_rules(folds, folds, [[0, 1]], [("x", told)]) == set()
    assert broken_rules(folds, [wrong], [], []) == {"folds differ"}
    assert broken_rules(folds, [], [[0, 2, 1]], []) == {"version went back"}
    assert broken_rules(folds, [], [], [("y", told)]) == {"result differs"}
    assert broken_rules(folds, [], [], [("x", refused)]) == {
        "not published is in the log"
    }


@pytest.mark.histories
def test_longer_histories_break_no_rule():
    stateful.run_state_machine_as_test(
        LogHistories,
        settings=settings(
            TestLogHistories.settings,
            max_examples=800,
            stateful_step_count=80,
        ),
    )
