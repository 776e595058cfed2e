"""KeyedView: the newest value of each key of one topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.platform import store_records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.platform import store_client

    Comparison = Callable[[bytes | None, bytes | None], bool]


class KeyedView:
    """Folds keyed records; the record with the highest offset counts.

    Folding is idempotent and indifferent to order, so records may come from
    the store and from other instances.

    Args:
        is_same: Whether two values say the same; a value that says the same
            as the one before is no change.
    """

    def __init__(self, is_same: Comparison) -> None:
        self._is_same = is_same
        self._records: dict[str, store_records.KeyedRecord] = {}
        self._changed: dict[str, int] = {}
        self._next_offset = 0
        self._mark = 0
        self._seen = 0

    @property
    def next_offset(self) -> int:
        """Offset from which the store is to be read."""
        return self._next_offset

    @property
    def mark(self) -> int:
        """Offset after the newest change."""
        return self._mark

    @property
    def seen(self) -> int:
        """Offset before which no change is missing."""
        return self._seen

    def values(self) -> dict[str, store_records.KeyedRecord]:
        """Returns the records of the keys that have a value."""
        return {
            key: record
            for key, record in self._records.items()
            if record.value is not None
        }

    def apply(
        self, records: Iterable[store_records.KeyedRecord]
    ) -> list[store_records.KeyedRecord]:
        """Folds records in; returns those that changed something."""
        return [record for record in records if self._merge(record)]

    def advance(self, next_offset: int) -> None:
        """Notes how far the store was read."""
        self._next_offset = max(self._next_offset, next_offset)
        self.note_seen(next_offset)

    def note_seen(self, seen: int) -> None:
        """Notes that no change before an offset is missing."""
        self._seen = max(self._seen, seen)

    def replace(
        self, newest: store_client.NewestRecords
    ) -> list[store_records.KeyedRecord]:
        """Takes over a complete listing; keys that it lacks are dropped.

        Returns:
            The records that changed something.
        """
        listed = {record.key for record in newest.records}
        dropped = [
            store_records.KeyedRecord(key, None, newest.end - 1)
            for key, record in self._records.items()
            if key not in listed and record.offset < newest.end
        ]
        changed = self.apply((*newest.records, *dropped))
        self.advance(newest.end)
        return changed

    def changes_since(self, mark: int) -> list[store_records.KeyedRecord]:
        """Returns the records that changed something at or after a mark."""
        return [
            record
            for key, record in self._records.items()
            if self._changed[key] >= mark
        ]

    def _merge(self, record: store_records.KeyedRecord) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records[record.key] = record
        before = None if known is None else known.value
        if known is not None and self._is_same(before, record.value):
            return False
        if known is None and record.value is None:
            self._changed[record.key] = record.offset
            return False
        self._changed[record.key] = record.offset
        self._mark = max(self._mark, record.offset + 1)
        return True
