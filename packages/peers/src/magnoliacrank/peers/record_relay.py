"""Record relay: passes log records from one entry instance to another."""

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

_LOG_HEAD_START_S = 0.5
_TIMEOUT_S = 2.0
_MAX_ANSWER_BYTES = 1 << 20
_MAX_ANSWER_RECORDS = 1024


class RecordRelay:
    """Catches up with a peer when this instance can't read the log.

    Packets of heartbeats state how much of the log each peer has applied. An
    instance that stays behind for longer than a read of the log normally takes
    fetches the missing records from that peer, or a snapshot when the peer no
    longer keeps all of them. The relay also handles such requests of peers.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        membership: membership_task.MembershipTask,
        peer_client: client.PeerClient,
        *,
        log_head_start_s: float = _LOG_HEAD_START_S,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Creates a relay that does not fetch until `start`.

        Args:
            follower: Applies fetched records; provides the records for peers.
            membership: Reports which peers are ahead in the log.
            peer_client: Makes the calls to peers.
            log_head_start_s: Seconds to wait for the records to arrive from the
                log before they are fetched from a peer.
            timeout_s: Deadline of one call to a peer, in seconds.
        """
        self._follower = follower
        self._membership = membership
        self._client = peer_client
        self._log_head_start_s = log_head_start_s
        self._timeout_s = timeout_s
        self._peer_ahead: membership_task.PeerOffset | None = None
        self._has_peer_ahead = asyncio.Event()
        self._fetched_count = 0
        self._task = owned_task.OwnedTask("record-relay", self._run)
        membership.subscribe_offsets(self._on_offset)

    @property
    def fetched_count(self) -> int:
        """Number of responses from peers that advanced the log state."""
        return self._fetched_count

    async def start(self) -> None:
        """Starts the task that fetches records when a peer is ahead."""
        await self._task.start()

    async def close(self) -> None:
        """Stops fetching."""
        await self._task.close()

    async def on_request(
        self, request: peer_pb2.RecordsRequest
    ) -> peer_pb2.RecordsResponse:
        """Handles a peer's request for records.

        Serves as `PeerHandlers.records`. The response is empty while the state
        of this instance is not ready.
        """
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
        if self._peer_ahead is None or ahead.offset >= self._peer_ahead.offset:
            self._peer_ahead = ahead
        self._has_peer_ahead.set()

    async def _run(self) -> None:
        while True:
            await self._has_peer_ahead.wait()
            await asyncio.sleep(self._log_head_start_s)
            self._has_peer_ahead.clear()
            ahead = self._peer_ahead
            self._peer_ahead = None
            if ahead is not None:
                await self._catch_up(ahead)

    async def _catch_up(self, ahead: membership_task.PeerOffset) -> None:
        while self._follower.state.next_offset < ahead.offset:
            peer = self._membership.find(ahead.instance_id)
            if peer is None or not await self._fetch(peer):
                return

    async def _fetch(self, peer: instance.EntryInstance) -> bool:
        """Makes one fetch; returns whether the log state advanced."""
        before = self._follower.state.next_offset
        try:
            answer = await self._client.fetch_records(
                peer, before, _MAX_ANSWER_BYTES, self._timeout_s
            )
        except errors.PeerCallError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "peers: fetching records from %s failed: %s",
                10,
                peer.instance_id,
                error,
            )
            return False
        self._apply_response(answer)
        has_advanced = self._follower.state.next_offset > before
        self._fetched_count += has_advanced
        return has_advanced

    def _apply_response(self, answer: peer_pb2.RecordsResponse) -> None:
        if answer.has_snapshot:
            self._follower.on_peer_snapshot(answer.snapshot)
            return
        if answer.records:
            self._follower.on_peer_records(
                ids.LogOffset(answer.records[0].offset),
                [record.body for record in answer.records],
                end_offset=ids.LogOffset(answer.end_offset),
            )
