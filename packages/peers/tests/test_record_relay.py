"""Record relay between two instances, one of which can't read the log."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from magnoliacrank.model import configuration
from magnoliacrank.model import instance
from magnoliacrank.peers import client
from magnoliacrank.peers import membership_task
from magnoliacrank.peers import record_relay
from magnoliacrank.peers import server
from magnoliacrank.standins import memory_log
from magnoliacrank.state import appender
from magnoliacrank.state import edit
from magnoliacrank.state import log_follower
from magnoliacrank.state import publisher
from magnoliacrank.state import readiness

OUT = configuration.DataCentreState.OUT


class Node:
    """One instance: log follower, publisher, membership and record relay."""

    def __init__(self, log, name):
        self.handlers = server.PeerHandlers()
        self.server = server.PeerServer(name, "127.0.0.1", 0, self.handlers)
        self.name = name
        self.follower = log_follower.LogFollower(
            log, long_poll_s=0.2, retry_delay_s=0.02
        )
        self.appender = appender.Appender(log, self.follower)
        self.publisher = publisher.Publisher(self.follower, self.appender)

    async def start(self, others):
        await self.server.start()
        self.own = instance.EntryInstance(
            self.name, "d", "127.0.0.1", 1, self.server.port, 1
        )
        self.client = client.PeerClient(self.own)
        self.membership = membership_task.MembershipTask(self.own, self.client)
        self.relay = record_relay.RecordRelay(
            self.follower, self.membership, self.client, log_head_start_s=0.05
        )
        self.handlers.exchange = self.membership.on_exchange
        self.handlers.records = self.relay.on_request
        self.follower.subscribe(self.update_log_offset)
        listed = (self.own, *(other.own for other in others))
        self.membership.update_listing(instance.LiveListing(listed))
        for part in (self.follower, self.appender, self.membership, self.relay):
            await part.start()

    def update_log_offset(self, _):
        self.membership.log_offset = self.follower.state.next_offset

    async def close(self):
        await self.relay.close()
        await self.membership.close()
        await self.appender.close()
        await self.follower.close()
        await self.client.close()
        await self.server.close()


async def wait_for(condition):
    async with asyncio.timeout(10.0):
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def two_nodes(log, cut_log):
    first = Node(log, "a")
    second = Node(cut_log, "b")
    async with contextlib.AsyncExitStack() as stack:
        await first.start(())
        stack.push_async_callback(first.close)
        await first.follower.wait_until_ready()
        yield first, second, stack


@pytest.mark.parametrize("has_tail", [True, False])
async def test_instance_without_log_access_keeps_up_through_peer(has_tail):
    log = memory_log.MemoryLog()
    cut_log = memory_log.MemoryLog()
    cut_log.faults.is_down = True
    async with two_nodes(log, cut_log) as (first, second, stack):
        for base in range(5):
            change = edit.Edit(data_centres={f"d{base}": OUT})
            await first.publisher.publish(change, base)
        if not has_tail:
            first.follower._tail.clear()
        await second.start((first,))
        stack.push_async_callback(second.close)
        await wait_for(lambda: second.follower.readiness.is_ready)
        assert second.follower.state == first.follower.state
        await first.publisher.publish(edit.Edit(data_centres={"e": OUT}), 5)
        await wait_for(lambda: second.follower.state.version == 6)
        assert second.follower.state == first.follower.state
        assert second.relay.fetched_count >= 2


async def test_records_of_unready_peer_are_not_applied():
    log = memory_log.MemoryLog()
    down = memory_log.MemoryLog()
    down.faults.is_down = True
    async with two_nodes(log, down) as (first, second, stack):
        await first.publisher.publish(edit.Edit(data_centres={"a": OUT}), 0)
        first.follower._readiness = readiness.Readiness(
            readiness.Reason.LOG_REWOUND
        )
        await second.start((first,))
        stack.push_async_callback(second.close)
        answer = await second.client.fetch_records(first.own, 0, 1000, 5.0)
        second.relay._apply_response(answer)
        assert not second.follower.readiness.is_ready
        assert second.follower.state.next_offset == 0


async def test_response_is_limited_in_bytes():
    log = memory_log.MemoryLog()
    async with two_nodes(log, log) as (first, _second, _stack):
        for base in range(5):
            change = edit.Edit(data_centres={f"d{base}": OUT})
            await first.publisher.publish(change, base)
        request = attrs.make_class("Request", ["from_offset", "max_bytes"])
        answer = await first.relay.on_request(request(1, 1))
        assert [record.offset for record in answer.records] == [1]
        assert answer.end_offset == 5
