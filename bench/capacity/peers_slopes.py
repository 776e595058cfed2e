"""Measures the cost of heartbeats and messages by the number of instances.

All entry instances run in this process and communicate over gRPC on loopback,
so the figures for one instance are the sums divided by the number of instances.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import time

import attrs

from bench.capacity import tcp_counters
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.peers import client
from magnoliacrank.peers import membership_task
from magnoliacrank.peers import messenger
from magnoliacrank.peers import server

_HOST = "127.0.0.1"
_INSTANCE_COUNTS = (4, 13, 19, 38)
_DATA_CENTRES = 3
_MESSAGES_PER_S = 20
_JOIN_TIMEOUT_S = 60.0
_SETTLE_S = 5.0


@attrs.frozen
class _LoanSizedMessage:
    """Message with about the size of one that grants a loan of slots."""

    service: str = "route"
    server: str = "server-17"
    number: int = 123_456
    slots: int = 2


@attrs.frozen
class _Cost:
    """Cost of one entry instance per second."""

    cpu_ms: float
    """Processor time in milliseconds per second."""
    sent_bytes: float
    """Bytes sent per second, TCP and IPv4 headers included."""
    payload_bytes: float
    """Bytes sent per second, without TCP and IPv4 headers."""
    connections: float
    """Number of open TCP sockets."""


class _Node:
    """One entry instance, reduced to membership and peer messages."""

    def __init__(self, number: int) -> None:
        self._own = instance.EntryInstance(
            ids.InstanceId(f"entry-{number}"),
            ids.DataCentre(f"dc{number % _DATA_CENTRES}"),
            _HOST,
            8080,
            0,
            ids.Incarnation(int(time.time())),
        )
        self._handlers = server.PeerHandlers()
        self._server = server.PeerServer(
            self._own.instance_id, _HOST, 0, self._handlers
        )

    @property
    def own(self) -> instance.EntryInstance:
        """The instance, with its peer port once it is started."""
        return self._own

    async def start(self) -> None:
        """Starts the peer server, the client and the membership task."""
        await self._server.start()
        self._own = attrs.evolve(self._own, peer_port=self._server.port)
        self._client = client.PeerClient(self._own)
        self.membership = membership_task.MembershipTask(
            self._own, self._client, random.Random(self._own.peer_port)
        )
        self.messages = messenger.PeerMessenger(
            self._client, self.membership.find
        )
        self.messages.register("note", _LoanSizedMessage, lambda _, __: None)
        self._handlers.exchange = self.membership.on_exchange
        self._handlers.deliver = self.messages.on_delivery
        await self.membership.start()

    async def close(self) -> None:
        """Stops the membership task, the client and the server."""
        await self.membership.close()
        await self.messages.close()
        await self._client.close()
        await self._server.close()


async def _measure(nodes: list[_Node], seconds: float) -> _Cost:
    before = tcp_counters.read_tcp_counters()
    began_s, cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    cpu_s = time.process_time() - cpu_s
    elapsed_s = time.monotonic() - began_s
    after = tcp_counters.read_tcp_counters()
    share = 1 / (elapsed_s * len(nodes))
    return _Cost(
        cpu_ms=1000 * cpu_s * share,
        sent_bytes=(after.total_bytes - before.total_bytes) * share,
        payload_bytes=(after.payload_bytes - before.payload_bytes) * share,
        connections=after.connections / len(nodes),
    )


async def _send_messages(nodes: list[_Node]) -> None:
    """Sends messages at a constant rate from each instance to two others."""
    while True:
        for index, node in enumerate(nodes):
            for step in (1, 2):
                peer = nodes[(index + step) % len(nodes)]
                node.messages.send(peer.own.instance_id, _LoanSizedMessage())
        await asyncio.sleep(2 / _MESSAGES_PER_S)


async def _run(count: int, seconds: float) -> tuple[_Cost, _Cost]:
    async with contextlib.AsyncExitStack() as stack:
        nodes = [_Node(number) for number in range(count)]
        for node in nodes:
            await node.start()
            stack.push_async_callback(node.close)
        listing = instance.LiveListing(tuple(node.own for node in nodes))
        for node in nodes:
            node.membership.update_listing(listing)
        async with asyncio.timeout(_JOIN_TIMEOUT_S):
            for node in nodes:
                while len(node.membership.members) < count:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        await asyncio.sleep(_SETTLE_S)
        quiet = await _measure(nodes, seconds)
        sender_task = asyncio.create_task(_send_messages(nodes))
        await asyncio.sleep(1)
        busy = await _measure(nodes, seconds)
        sender_task.cancel()
        return quiet, busy


def main() -> None:
    """Prints the cost of one instance for several numbers of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--counts", type=int, nargs="+", default=_INSTANCE_COUNTS
    )
    options = parser.parse_args()
    print("Per instance, quiet: heartbeats alone; busy: with")
    print(f"{_MESSAGES_PER_S} typed messages a second to two others besides.")
    print(
        f"{'instances':>9}  {'CPU ms/s':>8}  {'sent B/s':>8}"
        f"  {'payload B/s':>11}  {'TCP ends':>8}  {'busy CPU':>8}"
        f"  {'busy B/s':>8}  {'us/message':>10}"
    )
    quiet: list[tuple[int, _Cost]] = []
    for count in options.counts:
        one, busy = asyncio.run(_run(count, options.seconds))
        quiet.append((count, one))
        each_us = 1000 * (busy.cpu_ms - one.cpu_ms) / _MESSAGES_PER_S
        print(
            f"{count:>9}  {one.cpu_ms:>8.2f}  {one.sent_bytes:>8.0f}"
            f"  {one.payload_bytes:>11.0f}  {one.connections:>8.1f}"
            f"  {busy.cpu_ms:>8.2f}  {busy.sent_bytes:>8.0f}"
            f"  {each_us:>10.0f}",
            flush=True,
        )
    _print_slopes(quiet)


def _print_slopes(quiet: list[tuple[int, _Cost]]) -> None:
    if len(quiet) < 2:
        return
    (few, first), (many, last) = quiet[-2], quiet[-1]
    cpu = (last.cpu_ms - first.cpu_ms) / (many - few)
    sent = (last.sent_bytes - first.sent_bytes) / (many - few)
    print(
        f"Slope from {few} to {many}: {cpu:+.4f} ms/s and {sent:+.1f} B/s"
        " per instance more."
    )


if __name__ == "__main__":
    main()
