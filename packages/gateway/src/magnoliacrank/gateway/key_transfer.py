"""KeyTransfer: hands over idempotency keys when an instance shuts down.

The keys of a service go to its crew, that is, the instances that own its
slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
import msgspec

from magnoliacrank.peers import errors
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import key_handover
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliacrank.gateway import key_guard
    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import service_directory
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance
    from magnoliacrank.peers import client
    from magnoliacrank.peers import server

_KEY_MESSAGE_KIND = "key"
_HAND_OVER_TIMEOUT_S = 5.0
_MAX_INHERITED_KEYS = 1_000_000
_MAX_INHERITED_ANSWERS_BYTES = 32 * 1024 * 1024


class KeyTransfer:
    """Sends this instance's keys to others and stores the keys of others.

    Keys are sent at a planned shutdown. Every live member of a service's crew
    gets all keys of that service, so that a caller that retries gets its
    answer from whichever member it sends to.

    Args:
        own: This instance.
        keys: Keys that this instance owns.
        services: Services in the configuration, with their crews.
        peers: Directory of the live instances.
        calls: RPC client for calls to other instances.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        keys: key_guard.KeyGuard,
        services: service_directory.ServiceDirectory,
        peers: peer_directory.PeerDirectory,
        calls: client.PeerClient,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._keys = keys
        self._services = services
        self._peers = peers
        self._calls = calls
        self._clock = clock
        self._inherited = key_handover.InheritedKeys(
            max_keys=_MAX_INHERITED_KEYS,
            max_answers_bytes=_MAX_INHERITED_ANSWERS_BYTES,
        )

    @property
    def inherited(self) -> key_handover.InheritedKeys:
        """Keys that instances handed over when they shut down."""
        return self._inherited

    def on_hand_over(
        self, sender: server.PeerSender, payload: peer_pb2.Payload
    ) -> bool:
        """Stores a key that an instance hands over at its shutdown.

        Args:
            sender: Instance that hands over the key.
            payload: The encoded key.

        Returns:
            Whether the payload is a key that can be decoded. Such a key is
            dropped if it is stored already or the limit on keys is reached.
        """
        if payload.kind != _KEY_MESSAGE_KIND:
            return False
        try:
            handed_over = msgspec.msgpack.decode(
                payload.body, type=key_handover.HandedOverKey
            )
        except wire_values.MALFORMED_ERRORS as error:
            logging.warning(
                "keys: Key handed over by %s can't be decoded: %s.",
                sender.instance_id,
                error,
            )
            return False
        self._inherited.take_over([handed_over], self._clock())
        return True

    async def hand_over(self) -> None:
        """Refuses new keys from now on; sends the stored ones to the crews."""
        table = self._keys.table
        table.close()
        owner = slot_messages.InstanceIncarnation(
            self._own.instance_id, self._own.incarnation
        )
        now_s = self._clock()
        by_service: dict[ids.ServiceName, list[peer_pb2.Payload]] = {}
        for handed_over in key_handover.hand_over(table, owner, now_s):
            payload = peer_pb2.Payload(
                kind=_KEY_MESSAGE_KIND, body=msgspec.msgpack.encode(handed_over)
            )
            by_service.setdefault(handed_over.key.service, []).append(payload)
        for name, payloads in by_service.items():
            for peer in self._recipients(name):
                await self._send(peer, payloads)

    def _recipients(
        self, name: ids.ServiceName
    ) -> list[instance.EntryInstance]:
        runtime = self._services.find(name)
        if runtime is None or runtime.crew is None:
            return []
        names = {member.instance_id for member in runtime.crew.members}
        names.discard(self._own.instance_id)
        return [one for one in self._peers.members if one.instance_id in names]

    async def _send(
        self,
        peer: instance.EntryInstance,
        payloads: Sequence[peer_pb2.Payload],
    ) -> None:
        try:
            count = await self._calls.hand_over(
                peer, payloads, _HAND_OVER_TIMEOUT_S
            )
        except errors.PeerCallError as error:
            logging.warning(
                "keys: Hand-over to %s failed: %s.", peer.instance_id, error
            )
            return
        logging.info("keys: %s accepted %d keys.", peer.instance_id, count)
