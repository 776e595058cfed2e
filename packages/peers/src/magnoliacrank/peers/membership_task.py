"""Membership: runs the failure detector over gRPC."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from absl import logging
import attrs

from magnoliacrank.model import ids
from magnoliacrank.peers import errors
from magnoliacrank.peers import heartbeat_codec
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.policy import heartbeat
from magnoliacrank.policy import membership

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.model import instance
    from magnoliacrank.peers import client
    from magnoliacrank.peers import server

_TICK_S = 0.1
_EXCHANGE_TIMEOUT_S = 0.5
_DEPART_TIMEOUT_S = 1.0


@attrs.frozen
class PeerOffset:
    """How much of the log a peer has applied."""

    instance_id: ids.InstanceId
    """Name of the peer."""

    offset: ids.LogOffset
    """Offset after the last record that the peer has applied."""


class MembershipTask:
    """Exchanges heartbeats with peers and reports membership changes.

    The failure detector decides what to send and which instances are live; this
    class sends and receives its heartbeats. Packets also carry how much of the
    log each instance has applied.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        peer_client: client.PeerClient,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the membership with this instance as the only member.

        Args:
            own: This instance.
            peer_client: Sends the heartbeats.
            rng: Source of random choices of the failure detector; a new one
                when None.
            clock: Returns monotonic time in seconds.
        """
        self._own = own
        self._client = peer_client
        self._clock = clock
        self._detector = membership.FailureDetector(
            own, rng or random.Random(), clock()
        )
        self._subscribers: list[
            Callable[[membership.MembershipChanged], None]
        ] = []
        self._offset_subscribers: list[Callable[[PeerOffset], None]] = []
        self._members: dict[ids.InstanceId, instance.EntryInstance] = {
            own.instance_id: own
        }
        self._task: asyncio.Task[None] | None = None
        self._send_tasks: set[asyncio.Task[None]] = set()
        self.log_offset = ids.LogOffset(0)
        """Offset after the last log record applied on this instance.

        Set by the code that creates this object; sent with every packet.
        """

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live members including this instance, ordered by name."""
        return tuple(self._members.values())

    @property
    def is_superseded(self) -> bool:
        """Whether a newer incarnation of this instance is running."""
        return self._detector.is_superseded

    @property
    def last_heartbeat_age_s(self) -> float:
        """Seconds since the last heartbeat of any member, or since creation."""
        return self._clock() - self._detector.last_heard_s

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns the live member with a given name, or None."""
        return self._members.get(instance_id)

    def subscribe(
        self, callback: Callable[[membership.MembershipChanged], None]
    ) -> None:
        """Registers a callback for membership changes."""
        self._subscribers.append(callback)

    def subscribe_offsets(self, callback: Callable[[PeerOffset], None]) -> None:
        """Registers a callback for peers that are ahead in the log.

        The callback is called for each received packet whose sender has applied
        more of the log than this instance.
        """
        self._offset_subscribers.append(callback)

    def update_listing(self, listing: instance.LiveListing) -> None:
        """Passes the platform's instance list to the failure detector.

        The list lags behind reality. It names instances to probe and marks
        members as leaving, but neither adds nor removes members.
        """
        self._detector.update_listing(listing)
        self._flush()

    async def start(self) -> None:
        """Starts the task that sends heartbeats."""
        self._task = asyncio.create_task(self._run(), name="membership")

    def leave(self) -> None:
        """Announces to the members that this instance takes no new work."""
        self._detector.leave(self._clock())
        self._flush()

    async def close(self) -> None:
        """Stops sending heartbeats and announces that this instance is gone."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        self._detector.depart(self._clock())
        self._flush()
        if self._send_tasks:
            await asyncio.wait(self._send_tasks, timeout=_DEPART_TIMEOUT_S)
        for task in self._send_tasks:
            task.cancel()

    def on_exchange(
        self, sender: server.PeerSender, packet: peer_pb2.Packet
    ) -> peer_pb2.Packet:
        """Handles a packet from a peer and returns the packet in response.

        Serves as `PeerHandlers.exchange`.
        """
        answers = self._handle_packet(sender.instance_id, packet)
        self._flush()
        return peer_pb2.Packet(heartbeats=answers, log_offset=self.log_offset)

    async def _run(self) -> None:
        while True:
            self._detector.tick(self._clock())
            self._flush()
            await asyncio.sleep(_TICK_S)

    def _flush(self) -> None:
        """Sends the detector's queued heartbeats and publishes its changes."""
        by_recipient: dict[ids.InstanceId, list[heartbeat.Outgoing]] = {}
        for outgoing in self._detector.take_outgoing():
            by_recipient.setdefault(outgoing.recipient, []).append(outgoing)
        for batch in by_recipient.values():
            task = asyncio.create_task(self._send(batch))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)
        self._publish_change()

    def _publish_change(self) -> None:
        change = self._detector.take_change()
        if change is None:
            return
        members = {one.instance_id: one for one in change.members}
        if members == self._members:
            return
        self._log_change(members)
        self._members = members
        for callback in self._subscribers:
            callback(change)

    def _log_change(
        self, members: dict[ids.InstanceId, instance.EntryInstance]
    ) -> None:
        for instance_id in members.keys() - self._members.keys():
            logging.info("peers: %s is live.", instance_id)
        for instance_id in self._members.keys() - members.keys():
            logging.info("peers: %s is gone.", instance_id)

    async def _send(self, batch: list[heartbeat.Outgoing]) -> None:
        first = batch[0]
        peer = attrs.evolve(
            self._own,
            instance_id=first.recipient,
            data_centre=first.address.data_centre,
            host=first.address.host,
            http_port=first.address.http_port,
            peer_port=first.address.peer_port,
        )
        packet = peer_pb2.Packet(
            heartbeats=_encode(one.heartbeat for one in batch),
            log_offset=self.log_offset,
        )
        try:
            answer = await self._client.exchange(
                peer, packet, _EXCHANGE_TIMEOUT_S
            )
        except errors.PeerCallError:
            for one in batch:
                self._detector.on_send_failed(
                    one.heartbeat.sequence, self._clock()
                )
            return
        self._handle_packet(first.recipient, answer)
        self._flush()

    def _handle_packet(
        self, instance_id: ids.InstanceId, packet: peer_pb2.Packet
    ) -> list[peer_pb2.Heartbeat]:
        sender = heartbeat.HeartbeatSender(
            instance_id, ids.Incarnation(packet.sender.incarnation)
        )
        answers: list[heartbeat.Heartbeat] = []
        for wire in packet.heartbeats:
            try:
                message = heartbeat_codec.decode(wire)
            except heartbeat_codec.HeartbeatFormatError as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "peers: skipped a heartbeat of %s: %s.",
                    10,
                    instance_id,
                    error,
                )
                continue
            answers += self._detector.receive(sender, message, self._clock())
        self._publish_offset(instance_id, packet.log_offset)
        return _encode(answers)

    def _publish_offset(self, instance_id: ids.InstanceId, offset: int) -> None:
        if offset <= self.log_offset:
            return
        ahead = PeerOffset(instance_id, ids.LogOffset(offset))
        for callback in self._offset_subscribers:
            callback(ahead)


def _encode(
    messages: Iterable[heartbeat.Heartbeat],
) -> list[peer_pb2.Heartbeat]:
    return [heartbeat_codec.encode(one) for one in messages]
