"""MemoryLog: in-memory log service with faults, for tests."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


@attrs.define
class LogFaults:
    """Faults of a log that a test switches on and off."""

    is_down: bool = False
    """Whether every call fails and nothing is written."""

    delay_s: float = 0.0
    """Delay of every answer in seconds."""

    lost_answers: int = 0
    """Number of upcoming appends that are written but get no answer."""


class MemoryLog:
    """One log of records, with optional limits on their age and number.

    Args:
        retention_s: Age in seconds at which records expire, or None.
        retention_records: Maximum number of records to retain, or None.
        clock: Returns the monotonic time in seconds.

    Attributes:
        faults: Faults that tests switch on and off.
    """

    def __init__(
        self,
        *,
        retention_s: float | None = None,
        retention_records: int | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._records: list[bytes] = []
        self._written_at_s: list[float] = []
        self._first_offset = 0
        self._retention_s = retention_s
        self._retention_records = retention_records
        self._clock = clock
        self._appended = asyncio.Event()
        self.faults = LogFaults()

    @property
    def end_offset(self) -> ids.LogOffset:
        """Offset that the next appended record gets."""
        return ids.LogOffset(self._first_offset + len(self._records))

    @property
    def oldest_offset(self) -> ids.LogOffset:
        """Offset of the oldest record that is still retained."""
        return ids.LogOffset(self._first_offset)

    def write(self, records: Sequence[bytes]) -> ids.LogOffset:
        """Appends records without faults; returns the offset of the first."""
        first = self.end_offset
        now_s = self._clock()
        self._records.extend(records)
        self._written_at_s.extend(now_s for _ in records)
        self._expire_by_number()
        self._appended.set()
        self._appended = asyncio.Event()
        return first

    def expire_before(self, offset: int) -> None:
        """Deletes the records before an offset, as if they had expired."""
        count = min(max(offset - self._first_offset, 0), len(self._records))
        del self._records[:count]
        del self._written_at_s[:count]
        self._first_offset += count

    def page(self, offset: int, limit: int) -> log_service.LogPage:
        """Returns what a read at `offset` answers, without fault or waiting."""
        self._expire_by_age()
        start = min(max(offset, self._first_offset), self.end_offset)
        index = start - self._first_offset
        chosen = self._records[index : index + limit]
        return log_service.LogPage(
            records=tuple(
                log_service.LoggedRecord(ids.LogOffset(start + i), data)
                for i, data in enumerate(chosen)
            ),
            next_offset=ids.LogOffset(start + len(chosen)),
            oldest_offset=self.oldest_offset,
            end_offset=self.end_offset,
        )

    async def append(self, records: Sequence[bytes]) -> ids.LogOffset:
        """See `LogService.append`."""
        await self._apply_faults()
        first = self.write(records)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise log_service.AppendOutcomeUnknownError(
                "the answer to the append was lost"
            )
        return first

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> log_service.LogPage:
        """See `LogService.read`."""
        await self._apply_faults()
        if offset >= self.end_offset and wait_s > 0.0:
            await self._wait_for_append(wait_s)
        if self.faults.is_down:
            raise log_service.LogUnavailableError("the log is down")
        return self.page(offset, limit)

    async def close(self) -> None:
        """See `LogService.close`; the records are kept."""

    async def _apply_faults(self) -> None:
        if self.faults.delay_s > 0.0:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            raise log_service.LogUnavailableError("the log is down")

    async def _wait_for_append(self, wait_s: float) -> None:
        appended = self._appended
        try:
            async with asyncio.timeout(wait_s):
                await appended.wait()
        except TimeoutError:
            return

    def _expire_by_age(self) -> None:
        if self._retention_s is None:
            return
        limit_s = self._clock() - self._retention_s
        count = 0
        while (
            count < len(self._written_at_s)
            and self._written_at_s[count] < limit_s
        ):
            count += 1
        self.expire_before(self._first_offset + count)

    def _expire_by_number(self) -> None:
        if self._retention_records is not None:
            self.expire_before(self.end_offset - self._retention_records)
