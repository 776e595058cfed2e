"""Typed messages between entry instances, sent in batches."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from absl import logging
import attrs
import msgspec

from magnoliacrank.peers import errors
from magnoliacrank.peers import server
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance
    from magnoliacrank.peers import client

_MAX_QUEUED_MESSAGES = 1_024
_MAX_BATCH_BYTES = 64 * 1_024
_TIMEOUT_S = 0.75
_MAX_ATTEMPTS = 2

_Message = TypeVar("_Message")


@attrs.frozen
class _Registration:
    """Type and handler of the messages of one kind."""

    message_type: type[Any]
    handler: Callable[[server.PeerSender, Any], None]


@attrs.define
class _Outbox:
    """Messages queued for one instance."""

    payloads: collections.deque[peer_pb2.Payload] = attrs.field(
        factory=collections.deque
    )
    """Encoded messages, oldest first."""

    task: asyncio.Task[None] | None = None
    """Task that sends the queued messages, or None."""

    is_response_open: bool = False
    """Whether a call from the instance is being handled.

    The response to the call then carries messages that are queued meanwhile.
    """

    def take_batch(self) -> list[peer_pb2.Payload]:
        """Removes and returns the oldest messages up to the batch size."""
        batch: list[peer_pb2.Payload] = []
        size = 0
        while self.payloads and size < _MAX_BATCH_BYTES:
            payload = self.payloads.popleft()
            size += len(payload.body)
            batch.append(payload)
        return batch


@attrs.define
class MessageCounts:
    """Numbers of messages by outcome."""

    sent: int = 0
    """Messages in calls that succeeded; messages in responses do not count."""

    received: int = 0
    """Messages that were passed to a handler."""

    dropped: int = 0
    """Messages that could not be queued, or whose batch could not be sent."""

    unreadable: int = 0
    """Messages of an unknown kind or with an unreadable body."""


class PeerMessenger:
    """Sends typed messages to other instances and dispatches received ones.

    A message may be lost, and may arrive twice after a lost response. Messages
    in one batch keep their order. While one call to an instance is in flight,
    further messages to it are queued for the next call. Messages that a handler
    sends back to the sender go into the response.
    """

    def __init__(
        self,
        peer_client: client.PeerClient,
        find_instance: Callable[
            [ids.InstanceId], instance.EntryInstance | None
        ],
    ) -> None:
        """Creates a messenger without registered message types.

        Args:
            peer_client: Sends the batches.
            find_instance: Returns the live member with a given name, or None.
        """
        self._client = peer_client
        self._find_instance = find_instance
        self._registrations: dict[str, _Registration] = {}
        self._kinds: dict[type[Any], str] = {}
        self._outboxes: dict[ids.InstanceId, _Outbox] = {}
        self.counts = MessageCounts()
        """Numbers of messages since this messenger was created."""

    def register(
        self,
        kind: str,
        message_type: type[_Message],
        handler: Callable[[server.PeerSender, _Message], None],
    ) -> None:
        """Registers the type and the handler for one kind of message.

        Args:
            kind: Short tag that identifies the kind on the wire.
            message_type: An attrs class that msgspec can encode.
            handler: Called with the sender and each message. It must return
                quickly; messages that it sends to the sender go into the
                response.
        """
        self._registrations[kind] = _Registration(message_type, handler)
        self._kinds[message_type] = kind

    def send(self, instance_id: ids.InstanceId, message: Any) -> bool:
        """Queues a message of a registered type for an instance.

        Returns:
            False if the instance is not a live member or its queue is full.
        """
        if self._find_instance(instance_id) is None:
            self.counts.dropped += 1
            return False
        outbox = self._outboxes.setdefault(instance_id, _Outbox())
        if len(outbox.payloads) >= _MAX_QUEUED_MESSAGES:
            self.counts.dropped += 1
            return False
        body = msgspec.msgpack.encode(message)
        kind = self._kinds[type(message)]
        outbox.payloads.append(peer_pb2.Payload(kind=kind, body=body))
        if not outbox.is_response_open:
            self._start_draining(instance_id, outbox)
        return True

    def on_delivery(
        self, sender: server.PeerSender, payloads: list[peer_pb2.Payload]
    ) -> list[peer_pb2.Payload]:
        """Dispatches received messages to their handlers.

        Serves as `PeerHandlers.deliver`.

        Returns:
            Messages for the sender, up to one batch: those that the handlers
            sent and those already queued.
        """
        outbox = self._outboxes.setdefault(sender.instance_id, _Outbox())
        outbox.is_response_open = True
        try:
            self._handle_payloads(sender, payloads)
        finally:
            outbox.is_response_open = False
        batch = outbox.take_batch()
        if outbox.payloads:
            self._start_draining(sender.instance_id, outbox)
        return batch

    async def close(self) -> None:
        """Drops queued messages and cancels calls in flight."""
        tasks = [one.task for one in self._outboxes.values() if one.task]
        self._outboxes.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_payloads(
        self, sender: server.PeerSender, payloads: list[peer_pb2.Payload]
    ) -> None:
        for payload in payloads:
            registration = self._registrations.get(payload.kind)
            if registration is None:
                self._count_unreadable(sender, payload, "unknown kind")
                continue
            try:
                message = msgspec.msgpack.decode(
                    payload.body, type=registration.message_type
                )
            except wire_values.MALFORMED_ERRORS as error:
                self._count_unreadable(sender, payload, str(error))
                continue
            self.counts.received += 1
            registration.handler(sender, message)

    def _count_unreadable(
        self, sender: server.PeerSender, payload: peer_pb2.Payload, reason: str
    ) -> None:
        self.counts.unreadable += 1
        logging.log_every_n_seconds(
            logging.WARNING,
            "peers: skipped a message of kind %r from %s: %s.",
            10,
            payload.kind,
            sender.instance_id,
            reason,
        )

    def _start_draining(
        self, instance_id: ids.InstanceId, outbox: _Outbox
    ) -> None:
        if outbox.task is None:
            outbox.task = asyncio.ensure_future(
                self._drain(instance_id, outbox)
            )

    async def _drain(
        self, instance_id: ids.InstanceId, outbox: _Outbox
    ) -> None:
        try:
            while outbox.payloads:
                await self._send_batch(instance_id, outbox.take_batch())
        finally:
            outbox.task = None
            if not outbox.payloads:
                self._outboxes.pop(instance_id, None)

    async def _send_batch(
        self, instance_id: ids.InstanceId, batch: list[peer_pb2.Payload]
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            peer = self._find_instance(instance_id)
            if peer is None:
                break
            try:
                answer = await self._client.deliver(peer, batch, _TIMEOUT_S)
            except errors.PeerCallError as error:
                logging.vlog(1, "peers: no response from %s: %s.", peer, error)
                continue
            self.counts.sent += len(batch)
            sender = server.PeerSender(peer.instance_id, peer.incarnation)
            self._handle_payloads(sender, list(answer.payloads))
            return
        self.counts.dropped += len(batch)
