"""KeyTransfer: hands the keys of an instance that leaves to the crews."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
import msgspec

from magnoliacrank.peers import errors
from magnoliacrank.peers.wire import peer_pb2
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

_KIND = "key"
_TIMEOUT_S = 5.0
_MAX_KEYS = 1_000_000
_MAX_ANSWERS_BYTES = 32 * 1024 * 1024


class KeyTransfer:
    """Sends own keys at a planned leave and answers for those received.

    Every live member of a service's crew takes all keys of that service, so
    that a caller finds its answer at whichever member it sends to again.

    Args:
        own: This instance.
        keys: Keys of this instance.
        services: Services with their crews.
        peers: Live instances.
        calls: Calls to other instances.
        clock: Monotonic time in seconds.
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
            max_keys=_MAX_KEYS, max_answers_bytes=_MAX_ANSWERS_BYTES
        )

    @property
    def inherited(self) -> key_handover.InheritedKeys:
        """Keys of instances that have left."""
        return self._inherited

    def on_hand_over(
        self, sender: server.PeerSender, payload: peer_pb2.Payload
    ) -> bool:
        """Takes one key of an instance that leaves."""
        if payload.kind != _KIND:
            return False
        try:
            handed = msgspec.msgpack.decode(
                payload.body, type=key_handover.HandedOverKey
            )
        except msgspec.MsgspecError as error:
            logging.warning(
                "keys: Skipped a key of %s: %s.", sender.instance_id, error
            )
            return False
        self._inherited.take_over([handed], self._clock())
        return True

    async def hand_over(self) -> None:
        """Takes no new keys from now on and sends those in memory."""
        table = self._keys.table
        table.close()
        owner = slot_messages.Owner(
            self._own.instance_id, self._own.incarnation
        )
        now_s = self._clock()
        by_service: dict[ids.ServiceName, list[peer_pb2.Payload]] = {}
        for handed in key_handover.hand_over(table, owner, now_s):
            payload = peer_pb2.Payload(
                kind=_KIND, body=msgspec.msgpack.encode(handed)
            )
            by_service.setdefault(handed.key.service, []).append(payload)
        for name, payloads in by_service.items():
            for peer in self._heirs(name):
                await self._send(peer, payloads)

    def _heirs(self, name: ids.ServiceName) -> list[instance.EntryInstance]:
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
            count = await self._calls.hand_over(peer, payloads, _TIMEOUT_S)
        except errors.PeerCallError as error:
            logging.warning(
                "keys: %s did not take the keys: %s.", peer.instance_id, error
            )
            return
        logging.info("keys: %s took %d keys.", peer.instance_id, count)
