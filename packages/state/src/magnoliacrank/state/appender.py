"""Appender: writes records within a budget and confirms them by reading."""

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
_BATCH_RECORDS = 256
_QUEUE_RECORDS = 4096
_TIMEOUT_S = 5.0
_RETRY_DELAY_S = 0.1
_SETTLE_S = 0.5


class Failure(enum.Enum):
    """Why an append was not confirmed."""

    LOG_UNAVAILABLE = "log-unavailable"
    QUEUE_FULL = "queue-full"
    ANSWER_LOST = "answer-lost"
    NOT_READ_BACK = "not-read-back"


@attrs.frozen
class Appended:
    """The record is in the log and was folded here."""

    offset: ids.LogOffset
    """Offset of the record that folded first under its append id."""


@attrs.frozen
class NotAppended:
    """The record is not in the log and never will be."""

    reason: Failure
    """Why it was not appended."""


@attrs.frozen
class AppendUnknown:
    """The record may be in the log, now or soon."""

    reason: Failure
    """What is not known."""


AppendResult = Appended | NotAppended | AppendUnknown
"""Outcome of one append."""


class _Progress(enum.Enum):
    """How far a record came."""

    WAITING = enum.auto()
    SENT = enum.auto()
    UNKNOWN = enum.auto()
    WRITTEN = enum.auto()


_UNCONFIRMED: dict[_Progress, AppendResult] = {
    _Progress.WAITING: NotAppended(Failure.LOG_UNAVAILABLE),
    _Progress.SENT: AppendUnknown(Failure.ANSWER_LOST),
    _Progress.UNKNOWN: AppendUnknown(Failure.ANSWER_LOST),
    _Progress.WRITTEN: AppendUnknown(Failure.NOT_READ_BACK),
}


@attrs.define(eq=False)
class _Pending:
    """A record on its way into the log."""

    data: bytes
    confirmed: asyncio.Future[ids.LogOffset]
    progress: _Progress = _Progress.WAITING
    answered: asyncio.Event = attrs.Factory(asyncio.Event)
    was_unknown: bool = False


class Appender:
    """Appends records in batches, no more often than the budget allows."""

    def __init__(
        self,
        log: log_service.LogService,
        follower: log_follower.LogFollower,
        *,
        appends_per_s: float = _APPENDS_PER_S,
        batch_records: int = _BATCH_RECORDS,
        settle_s: float = _SETTLE_S,
        retry_delay_s: float = _RETRY_DELAY_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._follower = follower
        self._interval_s = 1.0 / appends_per_s
        self._batch_records = batch_records
        self._settle_s = settle_s
        self._retry_delay_s = retry_delay_s
        self._clock = clock
        self._queue: collections.deque[_Pending] = collections.deque()
        self._has_work = asyncio.Event()
        self._append_count = 0
        self._task = owned_task.OwnedTask("appender", self._run)

    @property
    def append_count(self) -> int:
        """Appends that were sent to the log."""
        return self._append_count

    async def start(self) -> None:
        """Begins to append."""
        await self._task.start()

    async def close(self) -> None:
        """Stops appending; records that wait are given up."""
        await self._task.close()

    async def append(
        self,
        record: records.Record,
        *,
        append_id: str | None = None,
        fence: records.Fence | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> AppendResult:
        """Appends a record and waits until it was read back.

        Args:
            record: Content.
            append_id: Identifies the append, the same for a repeat; a new one
                when None.
            fence: Term under which the record counts.
            timeout_s: Seconds after which the append is given up.
        """
        if len(self._queue) >= _QUEUE_RECORDS:
            return NotAppended(Failure.QUEUE_FULL)
        entry = records.Entry(append_id or uuid.uuid4().hex, record, fence)
        watch = self._follower.watch(entry.append_id)
        pending = _Pending(codec.encode(entry), watch)
        self._queue.append(pending)
        self._has_work.set()
        try:
            await asyncio.wait([watch], timeout=timeout_s)
            if not watch.done():
                await self._wait_for_answer(pending)
            if watch.done():
                return Appended(watch.result())
            return _UNCONFIRMED[pending.progress]
        finally:
            watch.cancel()

    async def _wait_for_answer(self, pending: _Pending) -> None:
        """Gives an append that is under way a moment to be answered."""
        if pending.progress is not _Progress.SENT:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settle_s):
                await pending.answered.wait()

    async def _run(self) -> None:
        while True:
            await self._has_work.wait()
            batch = self._next_batch()
            if not batch:
                self._has_work.clear()
                continue
            begun_s = self._clock()
            delay_s = await self._send(batch)
            for pending in batch:
                pending.answered.set()
            spent_s = self._clock() - begun_s
            await asyncio.sleep(max(delay_s, self._interval_s - spent_s))

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        while self._queue and len(batch) < self._batch_records:
            pending = self._queue.popleft()
            if not pending.confirmed.done():
                batch.append(pending)
        return batch

    async def _send(self, batch: list[_Pending]) -> float:
        """Sends a batch; returns the seconds to wait before the next."""
        for pending in batch:
            pending.progress = _Progress.SENT
            pending.answered.clear()
        self._append_count += 1
        try:
            await self._log.append([pending.data for pending in batch])
        except log_service.LogUnavailableError as error:
            return self._on_refused(batch, error)
        except log_service.AppendUnknownError as error:
            return await self._on_unknown(batch, error)
        for pending in batch:
            pending.progress = _Progress.WRITTEN
        return 0.0

    def _on_refused(
        self, batch: list[_Pending], error: log_service.LogUnavailableError
    ) -> float:
        logging.log_every_n_seconds(
            logging.WARNING, "state: An append was refused: %s", 10, error
        )
        for pending in batch:
            pending.progress = (
                _Progress.UNKNOWN if pending.was_unknown else _Progress.WAITING
            )
        self._queue.extendleft(reversed(batch))
        return self._retry_delay_s

    async def _on_unknown(
        self, batch: list[_Pending], error: log_service.AppendUnknownError
    ) -> float:
        logging.log_every_n_seconds(
            logging.WARNING, "state: An append's answer was lost: %s", 10, error
        )
        for pending in batch:
            pending.progress = _Progress.UNKNOWN
            pending.was_unknown = True
            pending.answered.set()
        await asyncio.wait(
            [pending.confirmed for pending in batch], timeout=self._settle_s
        )
        self._queue.extendleft(
            pending
            for pending in reversed(batch)
            if not pending.confirmed.done()
        )
        return 0.0
