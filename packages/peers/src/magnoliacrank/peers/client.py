"""Calls to other entry instances."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

from magnoliacrank.peers import channel
from magnoliacrank.peers.wire import peer_pb2

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.model import instance

_IDLE_S = 120.0


class PeerClient:
    """Keeps one channel to each instance that it was asked to call."""

    def __init__(
        self,
        own: instance.EntryInstance,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._identity = peer_pb2.Identity(
            instance_id=own.instance_id, incarnation=own.incarnation
        )
        self._clock = clock
        self._channels: dict[tuple[str, int], channel.PeerChannel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def exchange(
        self,
        peer: instance.EntryInstance,
        packet: peer_pb2.Packet,
        timeout_s: float,
    ) -> peer_pb2.Packet:
        """Sends heartbeats and returns those of the response.

        Raises:
            PeerCallError: There is no answer.
        """
        answer = await self._call(peer, "Exchange", packet, timeout_s)
        assert isinstance(answer, peer_pb2.Packet)
        return answer

    async def deliver(
        self,
        peer: instance.EntryInstance,
        payloads: Iterable[peer_pb2.Payload],
        timeout_s: float,
    ) -> peer_pb2.Delivery:
        """Sends payloads and returns the delivery in the response.

        Raises:
            PeerCallError: There is no answer; the payloads may have arrived.
        """
        delivery = peer_pb2.Delivery(payloads=payloads)
        answer = await self._call(peer, "Deliver", delivery, timeout_s)
        assert isinstance(answer, peer_pb2.Delivery)
        return answer

    async def fetch_records(
        self,
        peer: instance.EntryInstance,
        from_offset: int,
        max_bytes: int,
        timeout_s: float,
    ) -> peer_pb2.RecordsResponse:
        """Returns log records of a peer from an offset on.

        Raises:
            PeerCallError: There is no answer.
        """
        request = peer_pb2.RecordsRequest(
            from_offset=from_offset, max_bytes=max_bytes
        )
        answer = await self._call(peer, "Records", request, timeout_s)
        assert isinstance(answer, peer_pb2.RecordsResponse)
        return answer

    async def hand_over(
        self,
        peer: instance.EntryInstance,
        payloads: Iterable[peer_pb2.Payload],
        timeout_s: float,
    ) -> int:
        """Hands payloads over and returns how many were accepted.

        Raises:
            PeerCallError: There is no answer; some may have been accepted.
        """
        chunks = (
            peer_pb2.HandOverChunk(
                sender=self._identity,
                recipient=peer.instance_id,
                payload=payload,
            )
            for payload in payloads
        )
        peer_channel = self._find_channel(peer)
        answer = await peer_channel.call("HandOver", chunks, timeout_s)
        return int(answer.accepted)

    async def close(self) -> None:
        """Closes all channels; calls in flight fail."""
        channels = list(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(one.close() for one in channels))
        if self._closing:
            await asyncio.gather(*self._closing)

    async def _call(
        self,
        peer: instance.EntryInstance,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        request.sender.CopyFrom(self._identity)
        request.recipient = peer.instance_id
        return await self._find_channel(peer).call(method, request, timeout_s)

    def _find_channel(
        self, peer: instance.EntryInstance
    ) -> channel.PeerChannel:
        address = (peer.host, peer.peer_port)
        found = self._channels.get(address)
        if found is None:
            self._close_idle()
            found = channel.PeerChannel(*address, clock=self._clock)
            self._channels[address] = found
        return found

    def _close_idle(self) -> None:
        oldest_s = self._clock() - _IDLE_S
        for address, one in list(self._channels.items()):
            if one.used_s < oldest_s:
                del self._channels[address]
                task = asyncio.ensure_future(one.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)
