"""KeyedView: the newest record of each key of one topic of the store."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import TypeVar

from magnoliacrank.platform import store_records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from magnoliacrank.platform import store_client

    Comparison = Callable[[bytes | None, bytes | None], bool]


class KeyedView:
    """Last-write-wins map of keyed records, ordered by their offset.

    Merging records is idempotent and commutative, so they may come from the
    store and from other instances in any order.

    Args:
        is_same: Whether two values are equivalent. A record whose value is
            equivalent to the previous one does not count as a change.
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
        """Offset in the topic from which the next read of the store starts."""
        return self._next_offset

    @property
    def mark(self) -> int:
        """Offset after the newest record that counted as a change."""
        return self._mark

    @property
    def seen(self) -> int:
        """Offset below which this view contains every change of the topic."""
        return self._seen

    def values(self) -> dict[str, store_records.KeyedRecord]:
        """Returns the records of all keys that are not deleted, by key."""
        return {
            key: record
            for key, record in self._records.items()
            if record.value is not None
        }

    @contextlib.contextmanager
    def merging(
        self, records: Iterable[store_records.KeyedRecord]
    ) -> Iterator[list[store_records.KeyedRecord]]:
        """Merges records while the caller applies the changes among them.

        If applying them raises an exception, the records count as unread, so
        that a repeated read brings the same changes again.

        Args:
            records: Records in any order.

        Yields:
            The records that count as changes.
        """
        records = list(records)
        keys = {record.key for record in records}
        known = {key: self._records.get(key) for key in keys}
        changed = {key: self._changed.get(key) for key in keys}
        mark = self._mark
        try:
            yield [record for record in records if self._merge(record)]
        except BaseException:
            _restore(self._records, known)
            _restore(self._changed, changed)
            self._mark = mark
            raise

    def advance(self, next_offset: int) -> None:
        """Advances the read position after a read of the store.

        Args:
            next_offset: Offset from which to read on.
        """
        self._next_offset = max(self._next_offset, next_offset)
        self.note_seen(next_offset)

    def note_seen(self, seen: int) -> None:
        """Marks the view as complete up to an offset.

        Args:
            seen: Offset below which no change is missing.
        """
        self._seen = max(self._seen, seen)

    def expand_listing(
        self, newest: store_client.NewestRecords
    ) -> list[store_records.KeyedRecord]:
        """Returns a complete listing of the topic as records to merge.

        Keys that the listing lacks count as deleted, unless their record is
        newer than the listing.

        Args:
            newest: Newest record of each key in the store.
        """
        listed = {record.key for record in newest.records}
        dropped = [
            store_records.KeyedRecord(key, None, newest.end - 1)
            for key, record in self._records.items()
            if key not in listed and record.offset < newest.end
        ]
        return [*newest.records, *dropped]

    def changes_since(self, mark: int) -> list[store_records.KeyedRecord]:
        """Returns the records of keys that changed at or after an offset."""
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


_ValueT = TypeVar("_ValueT")


def _restore(
    table: dict[str, _ValueT], before: dict[str, _ValueT | None]
) -> None:
    for key, value in before.items():
        if value is None:
            table.pop(key, None)
        else:
            table[key] = value
