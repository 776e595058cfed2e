"""Membership and messages between instances over gRPC on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs
import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server as model_server
from magnoliacrank.peers import client as peer_client
from magnoliacrank.peers import errors
from magnoliacrank.peers import membership_task
from magnoliacrank.peers import messenger
from magnoliacrank.peers import server
from magnoliacrank.peers.wire import peer_pb2

_HOST = "127.0.0.1"


@attrs.frozen
class _Note:
    text: str


class _Node:
    """One instance: server, client, membership and messenger."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.handlers = server.PeerHandlers()
        instance_id = ids.InstanceId(name)
        self.server = server.PeerServer(instance_id, _HOST, 0, self.handlers)
        self.own = instance.EntryInstance(
            instance_id,
            ids.DataCentre("dc1"),
            _HOST,
            80,
            0,
            ids.Incarnation(incarnation),
        )
        self.notes: list[tuple[str, str]] = []

    async def start(self) -> None:
        await self.server.start()
        self.own = attrs.evolve(self.own, peer_port=self.server.port)
        self.client = peer_client.PeerClient(self.own)
        self.membership = membership_task.MembershipTask(
            self.own, self.client, random.Random(1)
        )
        self.messenger = messenger.PeerMessenger(
            self.client, self.membership.find
        )
        self.messenger.register("note", _Note, self._on_note)
        self.handlers.exchange = self.membership.on_exchange
        self.handlers.deliver = self.messenger.on_delivery
        await self.membership.start()

    async def close(self) -> None:
        await self.membership.close()
        await self.messenger.close()
        await self.client.close()
        await self.server.close()

    def _on_note(self, sender: server.PeerSender, note: _Note) -> None:
        self.notes.append((sender.instance_id, note.text))
        if note.text == "question":
            self.messenger.send(sender.instance_id, _Note("answer"))


@contextlib.asynccontextmanager
async def _running_nodes(count: int):
    async with contextlib.AsyncExitStack() as stack:
        nodes = [_Node(f"e{number}") for number in range(count)]
        for node in nodes:
            await node.start()
            stack.push_async_callback(node.close)
        listing = instance.LiveListing(tuple(node.own for node in nodes))
        for node in nodes:
            node.membership.update_listing(listing)
        await _wait_until(
            lambda: all(len(one.membership.members) == count for one in nodes)
        )
        yield nodes


async def _wait_until(condition) -> None:
    async with asyncio.timeout(30):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_members_discover_each_other_and_see_departures():
    async with _running_nodes(3) as nodes:
        nodes[0].membership.leave()
        leaving = model_server.ListedState.LEAVING
        await _wait_until(
            lambda: all(
                one.membership.find("e0").state is leaving for one in nodes
            )
        )
        await nodes[0].close()
        await _wait_until(
            lambda: all(one.membership.find("e0") is None for one in nodes[1:])
        )


async def test_messages_reach_their_handler_and_replies_return():
    async with _running_nodes(2) as (first, second):
        assert first.messenger.send("e1", _Note("question"))
        assert not first.messenger.send("unknown", _Note("question"))
        await _wait_until(lambda: first.notes)
        assert second.notes == [("e0", "question")]
        assert first.notes == [("e1", "answer")]


async def test_call_to_address_of_another_instance_is_refused():
    async with _running_nodes(1) as (node,):
        other = attrs.evolve(node.own, instance_id=ids.InstanceId("other"))
        with pytest.raises(errors.PeerCallError) as caught:
            await node.client.exchange(other, peer_pb2.Packet(), 10)
        failure = caught.value.failure
        assert failure is errors.CallFailure.WRONG_RECIPIENT


async def test_start_on_port_in_use_raises():
    async with _running_nodes(1) as (node,):
        second = server.PeerServer(
            ids.InstanceId("second"),
            _HOST,
            node.server.port,
            server.PeerHandlers(),
        )
        with pytest.raises(errors.PeerBindError):
            await second.start()


class _Proxy:
    """TCP proxy that can silently drop all data of the open connections."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._tasks: list[asyncio.Task] = []
        self._silent: list[asyncio.Event] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, _HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_open_connections(self) -> None:
        for silent in self._silent:
            silent.set()

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        silent = asyncio.Event()
        self._silent.append(silent)
        far_reader, far_writer = await asyncio.open_connection(
            _HOST, self._port
        )
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pass_on(source, sink, silent))
            self._tasks.append(task)

    async def _pass_on(self, source, sink, silent) -> None:
        while data := await source.read(65536):
            if not silent.is_set():
                sink.write(data)
        sink.close()


async def test_channel_is_replaced_after_a_timeout():
    async with _running_nodes(1) as (node,):
        proxy = _Proxy(node.server.port)
        await proxy.start()
        behind = attrs.evolve(node.own, peer_port=proxy.port)
        client = peer_client.PeerClient(node.own)
        await client.exchange(behind, peer_pb2.Packet(), 30)
        proxy.silence_open_connections()
        with pytest.raises(errors.PeerCallError) as caught:
            await client.exchange(behind, peer_pb2.Packet(), 0.3)
        assert caught.value.failure is errors.CallFailure.TIMEOUT
        await client.exchange(behind, peer_pb2.Packet(), 30)
        await client.close()
        await proxy.close()


async def test_replies_larger_than_one_batch_all_arrive():
    async with _running_nodes(2) as (first, second):
        large = _Note("x" * 40_000)

        def on_note(sender: server.PeerSender, _: _Note) -> None:
            for _number in range(5):
                second.messenger.send(sender.instance_id, large)

        second.messenger.register("note", _Note, on_note)
        first.messenger.send("e1", _Note("question"))
        await _wait_until(lambda: len(first.notes) == 5)


async def test_unreadable_message_is_counted_and_others_arrive():
    async with _running_nodes(2) as (first, second):
        payloads = [
            peer_pb2.Payload(kind="unknown", body=b""),
            peer_pb2.Payload(kind="note", body=b"no msgpack"),
            peer_pb2.Payload(kind="note", body=b"\x81\xa4text\xa2ok"),
        ]
        await first.client.deliver(second.own, payloads, 30)
        assert second.messenger.counts.unreadable == 2
        assert second.notes == [("e0", "ok")]
