"""Log service in memory with faults, for tests and the HTTP stand-in."""

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
    """Faults that a test switches on and off."""

    is_down: bool = False
    """Every call fails and nothing is written."""

    delay_s: float = 0.0
    """Seconds before every answer."""

    lost_answers: int = 0
    """Number of appends to come that are written but not answered."""


class MemoryLog:
    """One stream of records, kept for a limited time and number."""

    def __init__(
        self,
        *,
        retention_s: float | None = None,
        retention_records: int | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._records: list[bytes] = []
        self._written_at_s: list[float] = []
        self._oldest = 0
        self._retention_s = retention_s
        self._retention_records = retention_records
        self._clock = clock
        self._grown = asyncio.Event()
        self.faults = LogFaults()

    @property
    def end_offset(self) -> ids.LogOffset:
        """Offset that the next record gets."""
        return ids.LogOffset(self._oldest + len(self._records))

    @property
    def oldest_offset(self) -> ids.LogOffset:
        """Oldest offset that is still retained."""
        return ids.LogOffset(self._oldest)

    def write(self, records: Sequence[bytes]) -> ids.LogOffset:
        """Writes records and returns the offset of the first."""
        first = self.end_offset
        now_s = self._clock()
        self._records.extend(records)
        self._written_at_s.extend(now_s for _ in records)
        self._expire_by_number()
        self._grown.set()
        self._grown = asyncio.Event()
        return first

    def expire_before(self, offset: int) -> None:
        """Forgets the records before an offset."""
        count = min(max(offset - self._oldest, 0), len(self._records))
        del self._records[:count]
        del self._written_at_s[:count]
        self._oldest += count

    def page(self, offset: int, limit: int) -> log_service.LogPage:
        """Returns what a read at this moment answers."""
        self._expire_by_age()
        start = min(max(offset, self._oldest), self.end_offset)
        index = start - self._oldest
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
        await self._disturb()
        first = self.write(records)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise log_service.AppendUnknownError("the answer was lost")
        return first

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> log_service.LogPage:
        """See `LogService.read`."""
        await self._disturb()
        if offset >= self.end_offset and wait_s > 0.0:
            await self._wait_for_growth(wait_s)
        if self.faults.is_down:
            raise log_service.LogUnavailableError("the log is down")
        return self.page(offset, limit)

    async def close(self) -> None:
        """See `LogService.close`; the records stay."""

    async def _disturb(self) -> None:
        if self.faults.delay_s > 0.0:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            raise log_service.LogUnavailableError("the log is down")

    async def _wait_for_growth(self, wait_s: float) -> None:
        grown = self._grown
        try:
            async with asyncio.timeout(wait_s):
                await grown.wait()
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
        self.expire_before(self._oldest + count)

    def _expire_by_number(self) -> None:
        if self._retention_records is not None:
            self.expire_before(self.end_offset - self._retention_records)
