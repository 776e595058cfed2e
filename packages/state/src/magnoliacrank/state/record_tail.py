"""Record tail: the newest encoded records, kept in memory for peers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.platform import log_service

_MAX_RECORDS = 4096
_MAX_BYTES = 1 << 20


class RecordTail:
    """Newest records at consecutive offsets, bounded in number and bytes.

    The newest record is kept even if it alone exceeds the byte limit.
    """

    def __init__(
        self, max_records: int = _MAX_RECORDS, max_bytes: int = _MAX_BYTES
    ) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: collections.deque[log_service.LoggedRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def add(self, record: log_service.LoggedRecord) -> None:
        """Appends a record; after a gap in the offsets drops all older ones."""
        if self._records and self._records[-1].offset + 1 != record.offset:
            self.clear()
        self._records.append(record)
        self._bytes += len(record.data)
        while self._is_too_large():
            self._bytes -= len(self._records.popleft().data)

    def clear(self) -> None:
        """Drops all records."""
        self._records.clear()
        self._bytes = 0

    def records_from(
        self, offset: ids.LogOffset, limit: int
    ) -> tuple[log_service.LoggedRecord, ...] | None:
        """Returns records from an offset on.

        Args:
            offset: Offset of the first record wanted.
            limit: Largest number of records to return.

        Returns:
            The records, or None when the record at the offset is no longer
            kept.
        """
        if not self._records:
            return None
        start = offset - self._records[0].offset
        if start < 0:
            return None
        stop = min(start + limit, len(self._records))
        return tuple(self._records[i] for i in range(start, stop))

    def _is_too_large(self) -> bool:
        if len(self._records) > self._max_records:
            return True
        return self._bytes > self._max_bytes and len(self._records) > 1
