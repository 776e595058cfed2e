"""Log follower: reads the log and keeps the state derived from it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service
from magnoliacrank.state import codec
from magnoliacrank.state import fold as fold_lib
from magnoliacrank.state import log_state
from magnoliacrank.state import messages
from magnoliacrank.state import owned_task
from magnoliacrank.state import readiness as readiness_lib
from magnoliacrank.state import record_tail
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_PAGE_RECORDS = 256
_LONG_POLL_S = 5.0
_RETRY_DELAY_S = 0.25
_LOG_EVERY_N_SKIPPED = 100


class LogFollower:
    """Reads the log, applies its records, and notifies subscribers of changes.

    Records arrive from the log or from peers (other entry instances), whichever
    delivers them first. Applying records is deterministic, so both sources give
    the same state at the same offset.
    """

    def __init__(
        self,
        log: log_service.LogService,
        *,
        page_records: int = _PAGE_RECORDS,
        long_poll_s: float = _LONG_POLL_S,
        retry_delay_s: float = _RETRY_DELAY_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a follower with an empty state that does not read yet.

        Args:
            log: Log service to read from.
            page_records: Largest number of records in one read.
            long_poll_s: Seconds for which one read waits for new records.
            retry_delay_s: Seconds to wait after a read that failed or brought
                no progress.
            clock: Returns monotonic time in seconds.
        """
        self._log = log
        self._page_records = page_records
        self._long_poll_s = long_poll_s
        self._retry_delay_s = retry_delay_s
        self._clock = clock
        self._state = log_state.LogState()
        self._readiness = readiness_lib.Readiness(readiness_lib.Reason.STARTING)
        self._became_ready = asyncio.Event()
        self._tail = record_tail.RecordTail()
        self._subscribers: list[Callable[[messages.StateMessage], None]] = []
        self._watches: dict[str, list[asyncio.Future[ids.LogOffset]]] = {}
        self._scan_offset: ids.LogOffset | None = None
        self._skipped_count = 0
        self._last_response_s: float | None = None
        self._log_current_s: float | None = None
        self._claims_complete_from: ids.LogOffset | None = None
        self._task = owned_task.OwnedTask("log-follower", self._run)

    @property
    def state(self) -> log_state.LogState:
        """State after all records applied so far."""
        return self._state

    @property
    def readiness(self) -> readiness_lib.Readiness:
        """Whether the state may be acted on, or why not."""
        return self._readiness

    @property
    def skipped_count(self) -> int:
        """Number of records skipped as corrupt or of an unknown kind."""
        return self._skipped_count

    @property
    def last_response_s(self) -> float | None:
        """Monotonic time in seconds of the log's last response, or None."""
        return self._last_response_s

    @property
    def caught_up_s(self) -> float | None:
        """Monotonic time in seconds at which the latest complete read was sent.

        A read is complete when the state then reaches the end of the log that
        the log service stated. None before the first complete read.
        """
        return self._log_current_s

    @property
    def claims_complete_from(self) -> ids.LogOffset | None:
        """Offset from which on subscribers got every claim, or None.

        A snapshot holds no claims, so claims before this offset may be missing.
        None until the first page of the log was read.
        """
        return self._claims_complete_from

    async def start(self) -> None:
        """Starts the task that reads the log."""
        await self._task.start()

    async def close(self) -> None:
        """Stops reading the log; the state is kept."""
        await self._task.close()

    def subscribe(
        self, handler: Callable[[messages.StateMessage], None]
    ) -> None:
        """Registers a handler for every change message; it must not block."""
        self._subscribers.append(handler)

    async def wait_until_ready(self) -> None:
        """Waits until the state is ready for the first time."""
        await self._became_ready.wait()

    def watch(self, append_id: str) -> asyncio.Future[ids.LogOffset]:
        """Returns a future for the offset of the record with an append id.

        The future completes once the record is read from the log or received
        from a peer, or once an installed snapshot contains the append id. A
        caller that stops waiting must cancel the future.
        """
        future = asyncio.get_running_loop().create_future()
        known = self._state.append_ids.get(append_id)
        if known is not None:
            future.set_result(known)
            return future
        self._watches.setdefault(append_id, []).append(future)
        future.add_done_callback(
            lambda done: self._on_watch_done(append_id, done)
        )
        return future

    def on_peer_records(
        self,
        offset: ids.LogOffset,
        data: Sequence[bytes],
        *,
        end_offset: ids.LogOffset | None = None,
    ) -> bool:
        """Applies records that a peer read from the log.

        Args:
            offset: Offset of the first record.
            data: Encoded records at consecutive offsets.
            end_offset: Next offset of the peer's state, given when the peer is
                ready; this follower becomes ready on reaching it.

        Returns:
            Whether the records continue this follower's state without a gap; if
            not, none was applied.
        """
        if offset > self._state.next_offset:
            return False
        self._fold_records(
            tuple(
                log_service.LoggedRecord(ids.LogOffset(offset + i), each)
                for i, each in enumerate(data)
            )
        )
        if end_offset is not None and self._state.next_offset >= end_offset:
            self._set_readiness(readiness_lib.Reason.READY)
        return True

    def records_since(
        self, offset: ids.LogOffset, limit: int = _PAGE_RECORDS
    ) -> tuple[log_service.LoggedRecord, ...] | None:
        """Returns applied records from an offset on, to be sent to a peer.

        Args:
            offset: Next offset of the peer's state.
            limit: Largest number of records to return.

        Returns:
            The records, or None when they are no longer in memory and the peer
            needs a snapshot instead.
        """
        if offset >= self._state.next_offset:
            return ()
        return self._tail.records_from(offset, limit)

    def snapshot(self) -> bytes:
        """Returns the encoded state, to be sent to a peer."""
        return codec.encode_state(self._state)

    def on_peer_snapshot(self, data: bytes) -> bool:
        """Replaces the state by a ready peer's state if that is newer.

        Args:
            data: The peer's state as `snapshot` returned it there.

        Returns:
            Whether the state was replaced. A peer's state at the same offset
            replaces nothing, but makes this follower ready.
        """
        try:
            state = codec.decode_state(data)
        except codec.CorruptRecordError as error:
            logging.error("state: A peer's snapshot is corrupt: %s", error)
            return False
        is_ahead = state.next_offset > self._state.next_offset
        if is_ahead:
            self._install_snapshot(state)
        if state.next_offset >= self._state.next_offset:
            self._set_readiness(readiness_lib.Reason.READY)
        return is_ahead

    async def _run(self) -> None:
        while True:
            offset = self._scan_offset
            if offset is None:
                offset = self._state.next_offset
            request_sent_s = self._clock()
            try:
                page = await self._log.read(
                    offset, self._page_records, self._long_poll_s
                )
            except log_service.LogUnavailableError as error:
                self._on_log_unavailable(error)
                await asyncio.sleep(self._retry_delay_s)
                continue
            self._last_response_s = self._clock()
            should_read_on = self._on_page(page)
            if self._state.next_offset >= page.end_offset:
                self._log_current_s = request_sent_s
            if not should_read_on:
                await asyncio.sleep(self._retry_delay_s)

    def _on_log_unavailable(
        self, error: log_service.LogUnavailableError
    ) -> None:
        is_rewound = isinstance(error, log_service.LogRewoundError)
        logging.log_every_n_seconds(
            logging.ERROR if is_rewound else logging.WARNING,
            "state: The log is unavailable: %s",
            10,
            error,
        )
        if not self._readiness.is_ready:
            self._set_readiness(
                readiness_lib.Reason.LOG_REWOUND
                if is_rewound
                else readiness_lib.Reason.LOG_UNAVAILABLE
            )

    def _on_page(self, page: log_service.LogPage) -> bool:
        """Processes one page of the log.

        Returns:
            Whether the next read may follow without a delay.
        """
        if page.end_offset < self._state.next_offset:
            logging.log_every_n_seconds(
                logging.ERROR,
                "state: The log ends at offset %d, before the log state at %d.",
                10,
                page.end_offset,
                self._state.next_offset,
            )
            # A state that was ready stays in use: the log service's
            # view of the log may merely lag.
            if not self._readiness.is_ready:
                self._set_readiness(readiness_lib.Reason.LOG_REWOUND)
            return False
        if page.oldest_offset > self._state.next_offset:
            return self._scan_for_snapshot(page)
        self._scan_offset = None
        if self._claims_complete_from is None:
            self._claims_complete_from = self._state.next_offset
        self._fold_records(page.records)
        if self._state.next_offset >= page.end_offset:
            self._set_readiness(readiness_lib.Reason.READY)
        return True

    def _scan_for_snapshot(self, page: log_service.LogPage) -> bool:
        """Searches for a snapshot when the next records have expired.

        A usable snapshot covers all records before the oldest retained one.

        Returns:
            Whether the next read may follow without a delay.
        """
        if self._scan_offset is None:
            logging.info(
                "state: Records before offset %d have expired; searching for a "
                "snapshot.",
                page.oldest_offset,
            )
            self._claims_complete_from = page.oldest_offset
        for record in page.records:
            state = self._snapshot_state_in(record)
            if state is None or state.next_offset < page.oldest_offset:
                continue
            if state.next_offset > self._state.next_offset:
                self._install_snapshot(state)
                self._scan_offset = None
                return True
        self._scan_offset = page.next_offset
        if page.next_offset < page.end_offset:
            return True
        self._set_readiness(readiness_lib.Reason.SNAPSHOT_MISSING)
        return False

    def _snapshot_state_in(
        self, record: log_service.LoggedRecord
    ) -> log_state.LogState | None:
        entry = self._decode(record)
        if entry is None:
            return None
        if isinstance(entry.record, records.ClaimRecord):
            self._notify(messages.ClaimRecorded(record.offset, entry.record))
        if isinstance(entry.record, records.SnapshotRecord):
            return entry.record.state
        return None

    def _fold_records(self, logged: Sequence[log_service.LoggedRecord]) -> None:
        for record in logged:
            if record.offset != self._state.next_offset:
                continue
            before = self._state
            self._fold_record(record)
            # Subscribers are notified after each record, not once per page:
            # slot ledgers need every crew record.
            self._notify_changes(before)

    def _fold_record(self, record: log_service.LoggedRecord) -> None:
        self._tail.add(record)
        entry = self._decode(record)
        if entry is None:
            self._state = fold_lib.skip(self._state, record.offset)
            return
        self._state = fold_lib.fold(self._state, record.offset, entry)
        if isinstance(entry.record, records.ClaimRecord):
            self._notify(messages.ClaimRecorded(record.offset, entry.record))
        self._confirm(entry.append_id, record.offset)

    def _decode(self, record: log_service.LoggedRecord) -> records.Entry | None:
        try:
            return codec.decode(record.data)
        except (codec.UnknownKindError, codec.CorruptRecordError) as error:
            self._skipped_count += 1
            logging.log_every_n(
                logging.WARNING,
                "state: Skipped the record at offset %d: %s",
                _LOG_EVERY_N_SKIPPED,
                record.offset,
                error,
            )
            return None

    def _install_snapshot(self, state: log_state.LogState) -> None:
        logging.info(
            "state: Installed a snapshot up to offset %d.", state.next_offset
        )
        before = self._state
        self._state = state
        self._tail.clear()
        for append_id in tuple(self._watches):
            offset = state.append_ids.get(append_id)
            if offset is not None:
                self._confirm(append_id, offset)
        self._notify_changes(before)

    def _confirm(self, append_id: str, offset: ids.LogOffset) -> None:
        for future in self._watches.get(append_id, ()):
            if not future.done():
                future.set_result(offset)

    def _on_watch_done(
        self, append_id: str, done: asyncio.Future[ids.LogOffset]
    ) -> None:
        watches = self._watches[append_id]
        watches.remove(done)
        if not watches:
            del self._watches[append_id]

    def _notify_changes(self, before: log_state.LogState) -> None:
        for message in messages.changes_between(before, self._state):
            self._notify(message)

    def _set_readiness(self, reason: readiness_lib.Reason) -> None:
        if reason is self._readiness.reason:
            return
        logging.info("state: Readiness is %s.", reason.value)
        self._readiness = readiness_lib.Readiness(reason)
        if self._readiness.is_ready:
            self._became_ready.set()
        self._notify(messages.ReadinessChanged(self._readiness))

    def _notify(self, message: messages.StateMessage) -> None:
        for handler in self._subscribers:
            handler(message)
