"""Record relay: passes log records on between entry instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.model import ids
from magnoliacrank.peers import errors
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.state import owned_task

if TYPE_CHECKING:
    from magnoliacrank.model import instance
    from magnoliacrank.peers import client
    from magnoliacrank.peers import membership_task
    from magnoliacrank.state import log_follower

_PATIENCE_S = 0.5
_TIMEOUT_S = 2.0
_MAX_ANSWER_BYTES = 1 << 20
_MAX_ANSWER_RECORDS = 1024


class RecordRelay:
    """Fetches from a peer what this instance can't read from the log.

    Heartbeats tell how far each peer has folded. An instance that stays behind
    for longer than a read of the log takes asks that peer for the records, or
    for a snapshot when the peer has no longer all of them.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        membership: membership_task.MembershipTask,
        peer_client: client.PeerClient,
        *,
        patience_s: float = _PATIENCE_S,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Sets up the relay.

        Args:
            follower: Owner of the fold.
            membership: Tells which peers are ahead.
            peer_client: Way to the peers.
            patience_s: Seconds for which the log goes before a peer.
            timeout_s: Longest time for a peer's answer, in seconds.
        """
        self._follower = follower
        self._membership = membership
        self._client = peer_client
        self._patience_s = patience_s
        self._timeout_s = timeout_s
        self._ahead: membership_task.PeerOffset | None = None
        self._is_behind = asyncio.Event()
        self._fetched_count = 0
        self._task = owned_task.OwnedTask("record-relay", self._run)
        membership.subscribe_offsets(self._on_offset)

    @property
    def fetched_count(self) -> int:
        """Answers of peers that brought the fold forward."""
        return self._fetched_count

    async def start(self) -> None:
        """Begins to fetch when a peer is ahead."""
        await self._task.start()

    async def close(self) -> None:
        """Stops fetching."""
        await self._task.close()

    async def on_request(
        self, request: peer_pb2.RecordsRequest
    ) -> peer_pb2.RecordsResponse:
        """Answers a peer's request; empty while this fold is not ready."""
        follower = self._follower
        if not follower.readiness.is_ready:
            return peer_pb2.RecordsResponse()
        next_offset = follower.state.next_offset
        records = follower.records_since(
            ids.LogOffset(request.from_offset), _MAX_ANSWER_RECORDS
        )
        if records is None:
            return peer_pb2.RecordsResponse(
                end_offset=next_offset,
                has_snapshot=True,
                snapshot_offset=next_offset,
                snapshot=follower.snapshot(),
            )
        answer = peer_pb2.RecordsResponse(end_offset=next_offset)
        size = 0
        for record in records:
            size += len(record.data)
            if answer.records and size > request.max_bytes:
                break
            answer.records.add(offset=record.offset, body=record.data)
        return answer

    def _on_offset(self, ahead: membership_task.PeerOffset) -> None:
        if self._ahead is None or ahead.offset >= self._ahead.offset:
            self._ahead = ahead
        self._is_behind.set()

    async def _run(self) -> None:
        while True:
            await self._is_behind.wait()
            await asyncio.sleep(self._patience_s)
            self._is_behind.clear()
            ahead = self._ahead
            self._ahead = None
            if ahead is not None:
                await self._catch_up(ahead)

    async def _catch_up(self, ahead: membership_task.PeerOffset) -> None:
        while self._follower.state.next_offset < ahead.offset:
            peer = self._membership.find(ahead.instance_id)
            if peer is None or not await self._fetch(peer):
                return

    async def _fetch(self, peer: instance.EntryInstance) -> bool:
        """Fetches once; returns whether the fold came forward."""
        before = self._follower.state.next_offset
        try:
            answer = await self._client.fetch_records(
                peer, before, _MAX_ANSWER_BYTES, self._timeout_s
            )
        except errors.PeerCallError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "peers: %s gave no records: %s",
                10,
                peer.instance_id,
                error,
            )
            return False
        self._take(answer)
        is_forward = self._follower.state.next_offset > before
        self._fetched_count += is_forward
        return is_forward

    def _take(self, answer: peer_pb2.RecordsResponse) -> None:
        if answer.has_snapshot:
            self._follower.on_peer_snapshot(answer.snapshot)
            return
        if answer.records:
            self._follower.on_peer_records(
                ids.LogOffset(answer.records[0].offset),
                [record.body for record in answer.records],
                end_offset=ids.LogOffset(answer.end_offset),
            )
