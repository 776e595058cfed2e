"""Record tail: the newest raw records, kept to pass on to peers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.platform import log_service

_MAX_RECORDS = 4096
_MAX_BYTES = 1 << 20


class RecordTail:
    """Newest records without gaps, bounded in number and bytes."""

    def __init__(
        self, max_records: int = _MAX_RECORDS, max_bytes: int = _MAX_BYTES
    ) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: collections.deque[log_service.LoggedRecord] = (
            collections.deque()
        )
        self._bytes = 0

    def put(self, record: log_service.LoggedRecord) -> None:
        """Adds the next record; a gap drops what was before it."""
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

    def since(
        self, offset: ids.LogOffset, limit: int
    ) -> tuple[log_service.LoggedRecord, ...] | None:
        """Returns records from an offset on, or None when it is too old."""
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
