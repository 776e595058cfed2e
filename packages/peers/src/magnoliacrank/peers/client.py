"""Client for calls to other entry instances."""

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

_IDLE_TIMEOUT_S = 120.0


class PeerClient:
    """Calls other entry instances over one reused channel per address.

    Channels that have been idle for `_IDLE_TIMEOUT_S` are closed when a new one
    is opened.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a client without open channels.

        Args:
            own: This instance, named as the sender of every call.
            clock: Returns monotonic time in seconds.
        """
        self._identity = peer_pb2.Identity(
            instance_id=own.instance_id, incarnation=own.incarnation
        )
        self._clock = clock
        self._channels: dict[tuple[str, int], channel.PeerChannel] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    async def exchange(
        self,
        peer: instance.EntryInstance,
        packet: peer_pb2.Packet,
        timeout_s: float,
    ) -> peer_pb2.Packet:
        """Sends a packet of heartbeats and returns the packet in response.

        Args:
            peer: Instance to call.
            packet: Heartbeats to send; sender and recipient are filled in.
            timeout_s: Deadline of the call, in seconds from now.

        Raises:
            PeerCallError: The call failed or timed out.
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
        """Sends messages and returns the delivery in response.

        Args:
            peer: Instance to call.
            payloads: Encoded messages in the order to be handled.
            timeout_s: Deadline of the call, in seconds from now.

        Raises:
            PeerCallError: The call failed or timed out; the messages may have
                arrived.
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
        """Fetches log records from a peer.

        Args:
            peer: Instance to call.
            from_offset: Offset of the first record wanted.
            max_bytes: Size limit of the returned records, in bytes; one record
                is returned even if it is larger.
            timeout_s: Deadline of the call, in seconds from now.

        Returns:
            Records, or a snapshot when the peer no longer keeps the records; no
            records when the peer is not ready or has none from the offset on.

        Raises:
            PeerCallError: The call failed or timed out.
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
        """Streams items of this leaving instance, such as keys, to a peer.

        Args:
            peer: Instance to call.
            payloads: Encoded items, such as idempotency keys with their
                stored answers.
            timeout_s: Deadline of the whole call, in seconds from now.

        Returns:
            How many payloads the peer accepted.

        Raises:
            PeerCallError: The call failed or timed out; the peer may have
                accepted some payloads.
        """
        chunks = (
            peer_pb2.HandOverChunk(
                sender=self._identity,
                recipient=peer.instance_id,
                payload=payload,
            )
            for payload in payloads
        )
        peer_channel = self._get_or_open_channel(peer)
        answer = await peer_channel.call("HandOver", chunks, timeout_s)
        return int(answer.accepted)

    async def close(self) -> None:
        """Closes all channels; calls in flight fail."""
        channels = list(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(one.close() for one in channels))
        if self._close_tasks:
            await asyncio.gather(*self._close_tasks)

    async def _call(
        self,
        peer: instance.EntryInstance,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        request.sender.CopyFrom(self._identity)
        request.recipient = peer.instance_id
        return await self._get_or_open_channel(peer).call(
            method, request, timeout_s
        )

    def _get_or_open_channel(
        self, peer: instance.EntryInstance
    ) -> channel.PeerChannel:
        address = (peer.host, peer.peer_port)
        found = self._channels.get(address)
        if found is None:
            self._close_idle_channels()
            found = channel.PeerChannel(*address, clock=self._clock)
            self._channels[address] = found
        return found

    def _close_idle_channels(self) -> None:
        idle_cutoff_s = self._clock() - _IDLE_TIMEOUT_S
        for address, one in list(self._channels.items()):
            if one.last_call_s < idle_cutoff_s:
                del self._channels[address]
                task = asyncio.ensure_future(one.close())
                self._close_tasks.add(task)
                task.add_done_callback(self._close_tasks.discard)
