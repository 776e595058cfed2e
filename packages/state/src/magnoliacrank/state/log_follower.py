"""Log follower: the task that reads the log and owns the fold."""

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
    """Reads the log, folds it, and tells subscribers what changed.

    Records come from the log or from peers, whichever is first; both give the
    same fold at the same offset.
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
        self._log_heard_s: float | None = None
        self._log_current_s: float | None = None
        self._claims_from: ids.LogOffset | None = None
        self._task = owned_task.OwnedTask("log-follower", self._run)

    @property
    def state(self) -> log_state.LogState:
        """The fold."""
        return self._state

    @property
    def readiness(self) -> readiness_lib.Readiness:
        """Whether the fold may be acted on."""
        return self._readiness

    @property
    def skipped_count(self) -> int:
        """Records that were corrupt or of an unknown kind."""
        return self._skipped_count

    @property
    def log_heard_s(self) -> float | None:
        """Time of the log's last answer on the given clock, or None."""
        return self._log_heard_s

    @property
    def log_current_s(self) -> float | None:
        """Time at which the newest read was sent that reached the log's end."""
        return self._log_current_s

    @property
    def claims_from(self) -> ids.LogOffset | None:
        """Offset from which on every claim was told, or None."""
        return self._claims_from

    async def start(self) -> None:
        """Begins to read the log."""
        await self._task.start()

    async def close(self) -> None:
        """Stops reading; the fold stays as it is."""
        await self._task.close()

    def subscribe(
        self, handler: Callable[[messages.StateMessage], None]
    ) -> None:
        """Calls a handler with each message; it must not block."""
        self._subscribers.append(handler)

    async def wait_until_ready(self) -> None:
        """Waits until the fold has caught up once."""
        await self._became_ready.wait()

    def watch(self, append_id: str) -> asyncio.Future[ids.LogOffset]:
        """Returns a future of the offset at which an append is read.

        The caller cancels the future when it gives up.
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
        """Folds records that a peer read from the log.

        Args:
            offset: Offset of the first record.
            data: Records without gaps.
            end_offset: Next offset of the peer's fold when the peer is ready;
                the fold is ready once it is there.

        Returns:
            Whether they join on to the fold; if not, nothing was taken.
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
        """Returns records for a peer, or None when it needs a snapshot."""
        if offset >= self._state.next_offset:
            return ()
        return self._tail.since(offset, limit)

    def snapshot(self) -> bytes:
        """Returns the fold for a peer."""
        return codec.encode_state(self._state)

    def on_peer_snapshot(self, data: bytes) -> bool:
        """Takes a ready peer's fold when it is ahead of the own one.

        Returns:
            Whether it was taken.
        """
        try:
            state = codec.decode_state(data)
        except codec.CorruptRecordError as error:
            logging.error("state: A peer's snapshot is corrupt: %s", error)
            return False
        is_ahead = state.next_offset > self._state.next_offset
        if is_ahead:
            self._install(state)
        if state.next_offset >= self._state.next_offset:
            self._set_readiness(readiness_lib.Reason.READY)
        return is_ahead

    async def _run(self) -> None:
        while True:
            offset = self._scan_offset
            if offset is None:
                offset = self._state.next_offset
            asked_s = self._clock()
            try:
                page = await self._log.read(
                    offset, self._page_records, self._long_poll_s
                )
            except log_service.LogUnavailableError as error:
                self._on_log_unavailable(error)
                await asyncio.sleep(self._retry_delay_s)
                continue
            self._log_heard_s = self._clock()
            is_read_on = self._on_page(page)
            if self._state.next_offset >= page.end_offset:
                self._log_current_s = asked_s
            if not is_read_on:
                await asyncio.sleep(self._retry_delay_s)

    def _on_log_unavailable(
        self, error: log_service.LogUnavailableError
    ) -> None:
        logging.log_every_n_seconds(
            logging.WARNING, "state: The log is unavailable: %s", 10, error
        )
        if not self._readiness.is_ready:
            self._set_readiness(readiness_lib.Reason.LOG_UNAVAILABLE)

    def _on_page(self, page: log_service.LogPage) -> bool:
        """Takes a page; returns whether to read on at once."""
        if page.end_offset < self._state.next_offset:
            logging.log_every_n_seconds(
                logging.ERROR,
                "state: The log ends at %d, before the fold at %d.",
                10,
                page.end_offset,
                self._state.next_offset,
            )
            # A fold that was ready stays in force; the log may only lag.
            if not self._readiness.is_ready:
                self._set_readiness(readiness_lib.Reason.LOG_REWOUND)
            return False
        if page.oldest_offset > self._state.next_offset:
            return self._scan_for_snapshot(page)
        self._scan_offset = None
        if self._claims_from is None:
            self._claims_from = self._state.next_offset
        self._fold_records(page.records)
        if self._state.next_offset >= page.end_offset:
            self._set_readiness(readiness_lib.Reason.READY)
        return True

    def _scan_for_snapshot(self, page: log_service.LogPage) -> bool:
        """Looks for a snapshot that joins on to the retained records."""
        if self._scan_offset is None:
            logging.info(
                "state: Records before %d have expired; looking for a "
                "snapshot.",
                page.oldest_offset,
            )
            self._claims_from = page.oldest_offset
        for record in page.records:
            state = self._snapshot_in(record)
            if state is None or state.next_offset < page.oldest_offset:
                continue
            if state.next_offset > self._state.next_offset:
                self._install(state)
                self._scan_offset = None
                return True
        self._scan_offset = page.next_offset
        if page.next_offset < page.end_offset:
            return True
        self._set_readiness(readiness_lib.Reason.SNAPSHOT_MISSING)
        return False

    def _snapshot_in(
        self, record: log_service.LoggedRecord
    ) -> log_state.LogState | None:
        entry = self._decode(record)
        if entry is None:
            return None
        if isinstance(entry.record, records.ClaimRecord):
            self._tell(messages.ClaimRecorded(record.offset, entry.record))
        if isinstance(entry.record, records.SnapshotRecord):
            return entry.record.state
        return None

    def _fold_records(self, logged: Sequence[log_service.LoggedRecord]) -> None:
        for record in logged:
            if record.offset != self._state.next_offset:
                continue
            before = self._state
            self._fold_record(record)
            # Slot ledgers need each crew record, also those of one page.
            self._tell_changes(before)

    def _fold_record(self, record: log_service.LoggedRecord) -> None:
        self._tail.put(record)
        entry = self._decode(record)
        if entry is None:
            self._state = fold_lib.skip(self._state, record.offset)
            return
        self._state = fold_lib.fold(self._state, record.offset, entry)
        if isinstance(entry.record, records.ClaimRecord):
            self._tell(messages.ClaimRecorded(record.offset, entry.record))
        self._confirm(entry.append_id, record.offset)

    def _decode(self, record: log_service.LoggedRecord) -> records.Entry | None:
        try:
            return codec.decode(record.data)
        except (codec.UnknownKindError, codec.CorruptRecordError) as error:
            self._skipped_count += 1
            logging.log_every_n(
                logging.WARNING,
                "state: Skipped the record at %d: %s",
                _LOG_EVERY_N_SKIPPED,
                record.offset,
                error,
            )
            return None

    def _install(self, state: log_state.LogState) -> None:
        logging.info("state: Took a snapshot up to %d.", state.next_offset)
        before = self._state
        self._state = state
        self._tail.clear()
        for append_id in tuple(self._watches):
            offset = state.append_ids.get(append_id)
            if offset is not None:
                self._confirm(append_id, offset)
        self._tell_changes(before)

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

    def _tell_changes(self, before: log_state.LogState) -> None:
        for message in messages.between(before, self._state):
            self._tell(message)

    def _set_readiness(self, reason: readiness_lib.Reason) -> None:
        if reason is self._readiness.reason:
            return
        logging.info("state: Readiness is %s.", reason.value)
        self._readiness = readiness_lib.Readiness(reason)
        if self._readiness.is_ready:
            self._became_ready.set()
        self._tell(messages.ReadinessChanged(self._readiness))

    def _tell(self, message: messages.StateMessage) -> None:
        for handler in self._subscribers:
            handler(message)
