"""Rate-limited appends to the log, each confirmed by reading it back."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import time
from typing import TYPE_CHECKING
import uuid

from absl import logging
import attrs

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service
from magnoliacrank.state import codec
from magnoliacrank.state import owned_task
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.state import log_follower

_APPENDS_PER_S = 15.0
_MAX_BATCH_RECORDS = 256
_MAX_QUEUED_RECORDS = 4096
_TIMEOUT_S = 5.0
_RETRY_DELAY_S = 0.1
_OUTCOME_WAIT_S = 0.5


class Failure(enum.Enum):
    """Why an append was not confirmed."""

    LOG_UNAVAILABLE = "log-unavailable"
    """The record was not sent, or the log service refused every call for it."""

    QUEUE_FULL = "queue-full"
    """Too many records were waiting to be sent."""

    ANSWER_LOST = "answer-lost"
    """The record was sent, and the response to at least one call is missing."""

    NOT_READ_BACK = "not-read-back"
    """The log service acknowledged the record, but it was not read in time."""


@attrs.frozen
class Appended:
    """The record is in the log and was processed by this instance's follower.

    It may still have had no effect, for example under an older term.
    """

    offset: ids.LogOffset
    """Offset of the first record in the log that has the append id."""


@attrs.frozen
class NotAppended:
    """The record is not in the log and will not be appended later."""

    reason: Failure
    """Why the record was not appended."""


@attrs.frozen
class AppendUnknown:
    """The record may be in the log already or may still reach it."""

    reason: Failure
    """Why the outcome could not be determined."""


AppendResult = Appended | NotAppended | AppendUnknown
"""Outcome of one append."""


class _Progress(enum.Enum):
    """How far the append of one record has progressed."""

    WAITING = enum.auto()
    """In the queue; the log does not have the record."""

    SENT = enum.auto()
    """Sent to the log service, which has not responded yet."""

    UNKNOWN = enum.auto()
    """The response was lost; the log service may have written the record."""

    WRITTEN = enum.auto()
    """Acknowledged by the log service, but not read back yet."""


_UNCONFIRMED_RESULTS: dict[_Progress, AppendResult] = {
    _Progress.WAITING: NotAppended(Failure.LOG_UNAVAILABLE),
    _Progress.SENT: AppendUnknown(Failure.ANSWER_LOST),
    _Progress.UNKNOWN: AppendUnknown(Failure.ANSWER_LOST),
    _Progress.WRITTEN: AppendUnknown(Failure.NOT_READ_BACK),
}


@attrs.define(eq=False)
class _PendingRecord:
    """Encoded entry that is queued or sent, but not yet read back."""

    data: bytes
    """Encoded entry."""

    confirmed: asyncio.Future[ids.LogOffset]
    """Offset of the record, set once the log follower has read it."""

    progress: _Progress = _Progress.WAITING
    """How far the append has progressed."""

    call_ended: asyncio.Event = attrs.Factory(asyncio.Event)
    """Set when the latest call to the log service has ended, also in error."""

    had_lost_response: bool = False
    """Whether the response to any call for the record was lost.

    If so, a later refusal does not mean that the record is absent from the log.
    """


class Appender:
    """Appends records to the log in batches, at a limited rate of calls.

    An append counts as successful only once the log follower has read the
    record back. A record whose response was lost is sent again under the same
    append id; followers apply only the first copy.
    """

    def __init__(
        self,
        log: log_service.LogService,
        follower: log_follower.LogFollower,
        *,
        appends_per_s: float = _APPENDS_PER_S,
        batch_records: int = _MAX_BATCH_RECORDS,
        outcome_wait_s: float = _OUTCOME_WAIT_S,
        retry_delay_s: float = _RETRY_DELAY_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an appender that does not send until `start`.

        Args:
            log: Log service to append to.
            follower: Reads the log; confirms appended records.
            appends_per_s: Largest number of calls to the log service per
                second.
            batch_records: Largest number of records in one call.
            outcome_wait_s: Seconds to wait for the outcome of a call: for its
                response when an append has timed out, and for its records to
                be read back when its response was lost.
            retry_delay_s: Seconds to wait after the log service refused a
                call.
            clock: Returns monotonic time in seconds.
        """
        self._log = log
        self._follower = follower
        self._interval_s = 1.0 / appends_per_s
        self._batch_records = batch_records
        self._outcome_wait_s = outcome_wait_s
        self._retry_delay_s = retry_delay_s
        self._clock = clock
        self._queue: collections.deque[_PendingRecord] = collections.deque()
        self._has_work = asyncio.Event()
        self._append_count = 0
        self._task = owned_task.OwnedTask("appender", self._run)

    @property
    def append_count(self) -> int:
        """Number of append calls made to the log service."""
        return self._append_count

    async def start(self) -> None:
        """Starts the task that sends queued records."""
        await self._task.start()

    async def close(self) -> None:
        """Stops the sending task; queued records are not sent."""
        await self._task.close()

    async def append(
        self,
        record: records.Record,
        *,
        append_id: str | None = None,
        fence: records.Fence | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> AppendResult:
        """Appends a record and waits until it is read back from the log.

        Args:
            record: Content of the record.
            append_id: Deduplication id; a retry of the same append must pass
                the same id. A random id when None.
            fence: Fencing token: followers ignore the record unless this term
                of the job is current at the record's offset. With None, the
                record is applied regardless of terms.
            timeout_s: Seconds to wait for the record to be read back. When a
                call to the log service is then in progress, its response is
                awaited for up to `outcome_wait_s` more.
        """
        if len(self._queue) >= _MAX_QUEUED_RECORDS:
            return NotAppended(Failure.QUEUE_FULL)
        entry = records.Entry(append_id or uuid.uuid4().hex, record, fence)
        watch = self._follower.watch(entry.append_id)
        pending = _PendingRecord(codec.encode(entry), watch)
        self._queue.append(pending)
        self._has_work.set()
        try:
            await asyncio.wait([watch], timeout=timeout_s)
            if not watch.done():
                await self._wait_for_response(pending)
            if watch.done():
                return Appended(watch.result())
            return _UNCONFIRMED_RESULTS[pending.progress]
        finally:
            watch.cancel()

    async def _wait_for_response(self, pending: _PendingRecord) -> None:
        """Waits up to `outcome_wait_s` for the response to a sent record."""
        if pending.progress is not _Progress.SENT:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._outcome_wait_s):
                await pending.call_ended.wait()

    async def _run(self) -> None:
        while True:
            await self._has_work.wait()
            batch = self._next_batch()
            if not batch:
                self._has_work.clear()
                continue
            start_s = self._clock()
            delay_s = await self._send(batch)
            for pending in batch:
                pending.call_ended.set()
            elapsed_s = self._clock() - start_s
            await asyncio.sleep(max(delay_s, self._interval_s - elapsed_s))

    def _next_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        while self._queue and len(batch) < self._batch_records:
            pending = self._queue.popleft()
            if not pending.confirmed.done():
                batch.append(pending)
        return batch

    async def _send(self, batch: list[_PendingRecord]) -> float:
        """Sends one batch in one call to the log service.

        Returns:
            The least number of seconds to wait before the next call.
        """
        for pending in batch:
            pending.progress = _Progress.SENT
            pending.call_ended.clear()
        self._append_count += 1
        try:
            await self._log.append([pending.data for pending in batch])
        except log_service.LogUnavailableError as error:
            return self._on_refused(batch, error)
        except log_service.AppendOutcomeUnknownError as error:
            return await self._on_unknown(batch, error)
        for pending in batch:
            pending.progress = _Progress.WRITTEN
        return 0.0

    def _on_refused(
        self,
        batch: list[_PendingRecord],
        error: log_service.LogUnavailableError,
    ) -> float:
        logging.log_every_n_seconds(
            logging.WARNING, "state: An append was refused: %s", 10, error
        )
        for pending in batch:
            pending.progress = (
                _Progress.UNKNOWN
                if pending.had_lost_response
                else _Progress.WAITING
            )
        self._queue.extendleft(reversed(batch))
        return self._retry_delay_s

    async def _on_unknown(
        self,
        batch: list[_PendingRecord],
        error: log_service.AppendOutcomeUnknownError,
    ) -> float:
        logging.log_every_n_seconds(
            logging.WARNING,
            "state: An append's response was lost: %s",
            10,
            error,
        )
        for pending in batch:
            pending.progress = _Progress.UNKNOWN
            pending.had_lost_response = True
            pending.call_ended.set()
        await asyncio.wait(
            [pending.confirmed for pending in batch],
            timeout=self._outcome_wait_s,
        )
        self._queue.extendleft(
            pending
            for pending in reversed(batch)
            if not pending.confirmed.done()
        )
        return 0.0
