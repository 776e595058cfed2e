"""KeyedView: the newest record of each key of one topic of the store."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.platform import store_records
from magnoliacrank.policy import rewound_records

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from magnoliacrank.platform import store_client

Position = tuple[int, int]
"""Era of the store and offset in the topic, which starts lower in a new era."""


class Comparison(Protocol):
    """Compares the values of a topic's records."""

    rewrite_window_s: float
    """Seconds for which a known value may stay in force in a new era."""

    def is_same(self, before: bytes | None, after: bytes | None) -> bool:
        """Returns whether two values are equivalent.

        A record whose value is equivalent to the previous one does not count
        as a change.
        """

    def judge(
        self, key: str, known: bytes | None, listed: bytes | None
    ) -> rewound_records.Standing:
        """Judges a value in the first listing of an era by the known value."""


@attrs.frozen
class EraListing:
    """Complete listing of a topic with which a new era starts."""

    era: int
    """The era."""

    records: tuple[store_records.KeyedRecord, ...]
    """Newest record of each key."""

    end: int
    """Offset from which on records were certainly written in this era."""

    retained: tuple[store_records.KeyedRecord, ...] = ()
    """Records of older eras that another instance retains."""


@attrs.frozen
class _HeldRecord:
    """Record that takes effect later, unless its key is written again."""

    record: store_records.KeyedRecord
    until_s: float


@attrs.define
class _Content:
    """State of a view, of which a copy undoes a failed change of era."""

    era: int = 0
    first_era: int | None = None
    records: dict[str, store_records.KeyedRecord] = attrs.field(factory=dict)
    changed: dict[str, Position] = attrs.field(factory=dict)
    held: dict[str, _HeldRecord] = attrs.field(factory=dict)
    next_offset: int = 0
    certain_from: int = 0
    mark: Position = (0, 0)
    seen: Position = (0, 0)

    def copy(self) -> _Content:
        return attrs.evolve(
            self,
            records=dict(self.records),
            changed=dict(self.changed),
            held=dict(self.held),
        )


class KeyedView:
    """Last-write-wins map of keyed records, ordered by era and offset.

    Merging records is idempotent and commutative within an era, so they may
    come from the store and from other instances in any order.

    When the store comes back from an older copy, a new era starts with a full
    listing. A known value that the copy may lack is retained, and the listed
    one is held until the key is written again or the rewrite window ends.

    Args:
        comparison: Compares values.
    """

    def __init__(self, comparison: Comparison) -> None:
        self._comparison = comparison
        self._content = _Content()

    @property
    def era(self) -> int:
        """Era of the store in which this view is complete up to `seen`."""
        return self._content.era

    @property
    def is_first_era(self) -> bool:
        """Whether the view was empty at the start of its era."""
        return self._content.first_era == self._content.era

    @property
    def next_offset(self) -> int:
        """Offset in the topic from which the next read of the store starts."""
        return self._content.next_offset

    @property
    def certain_from(self) -> int:
        """Offset from which on records were certainly written in this era."""
        return self._content.certain_from

    @property
    def mark(self) -> Position:
        """Position after the newest record that counted as a change."""
        return self._content.mark

    @property
    def seen(self) -> Position:
        """Position below which this view contains every change."""
        return self._content.seen

    @property
    def held(self) -> list[store_records.KeyedRecord]:
        """Listed records that have not taken effect yet."""
        return [held.record for held in self._content.held.values()]

    def values(self) -> dict[str, store_records.KeyedRecord]:
        """Returns the records of all keys that are not deleted, by key."""
        return {
            key: record
            for key, record in self._content.records.items()
            if record.value is not None
        }

    @contextlib.contextmanager
    def merging(
        self,
        records: Iterable[store_records.KeyedRecord],
        *,
        are_changes: bool = False,
    ) -> Iterator[list[store_records.KeyedRecord]]:
        """Merges records while the caller applies the changes among them.

        If applying them raises an exception, the records count as unread, so
        that a repeated read brings the same changes again.

        Args:
            records: Records of the current era, in any order.
            are_changes: Whether they are changes at another instance. This one
                then passes them on also if it knows the same value, since it
                may have missed another one in between.

        Yields:
            The records that count as changes.
        """
        records = list(records)
        if not records:
            yield []
            return
        before = self._content.copy()
        try:
            yield [
                record
                for record in records
                if self._merge(record, counts_if_same=are_changes)
            ]
        except BaseException:
            self._content = before
            raise

    @contextlib.contextmanager
    def starting_era(
        self, listing: EraListing, now_s: float
    ) -> Iterator[list[store_records.KeyedRecord]]:
        """Starts an era, while the caller applies the changes.

        The view may have started the same era already, from a listing without
        the records that another instance retains.

        If applying them raises an exception, the era counts as not started.

        Args:
            listing: Complete listing of the topic.
            now_s: Current monotonic time, in seconds.

        Yields:
            The records that count as changes.
        """
        before = self._content.copy()
        try:
            yield self._start_era(listing, now_s)
        except BaseException:
            self._content = before
            raise

    def due(self, now_s: float) -> list[store_records.KeyedRecord]:
        """Returns the held records whose rewrite window has ended.

        Merging them puts them in force.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return [
            held.record
            for held in self._content.held.values()
            if now_s >= held.until_s
        ]

    def advance(self, next_offset: int) -> None:
        """Advances the read position after a read of the store.

        Args:
            next_offset: Offset from which to read on.
        """
        content = self._content
        content.next_offset = max(content.next_offset, next_offset)
        self.note_seen(next_offset)

    def note_seen(self, seen: int) -> None:
        """Marks the view as complete up to an offset of the current era.

        Args:
            seen: Offset below which no change is missing.
        """
        content = self._content
        content.seen = max(content.seen, (content.era, seen))

    def expand_listing(
        self, newest: store_client.NewestRecords
    ) -> list[store_records.KeyedRecord]:
        """Returns a complete listing of the current era as records to merge.

        Keys that the listing lacks count as deleted, unless their record is
        newer than the listing, or was retained at the start of the era because
        the store lacked the key then, too.

        Args:
            newest: Newest record of each key in the store.
        """
        content = self._content
        listed = {record.key for record in newest.records}
        missing = {
            key for key, held in content.held.items() if not held.record.value
        }
        dropped = [
            store_records.KeyedRecord(key, None, newest.end - 1, content.era)
            for key, record in content.records.items()
            if key not in listed
            and key not in missing
            and record.position < (content.era, newest.end)
        ]
        return [*newest.records, *dropped]

    def changes_since(self, mark: Position) -> list[store_records.KeyedRecord]:
        """Returns the records of keys that changed at or after a position.

        These are all records if the position is of an older era. Otherwise
        held records are among them: to a view that was complete at the
        position they are new.
        """
        content = self._content
        if mark[0] < content.era:
            return list(content.records.values())
        changes = [
            record
            for key, record in content.records.items()
            if content.changed[key] >= mark
        ]
        return changes + [
            record for record in self.held if record.position >= mark
        ]

    def _start_era(
        self, listing: EraListing, now_s: float
    ) -> list[store_records.KeyedRecord]:
        content = self._content
        listed = {
            key: store_records.KeyedRecord(
                key, None, listing.end - 1, listing.era
            )
            for key in content.records
        }
        if listing.era == content.era:
            listed.update(content.records)
        else:
            content.held.clear()
        listed.update((record.key, record) for record in listing.records)
        changed = {
            record.key: record
            for record in listing.retained
            if self._merge_retained(record, listing)
        }
        if listing.era != content.era:
            content.era = listing.era
            if content.first_era is None:
                content.first_era = listing.era
            content.next_offset = 0
            content.certain_from = listing.end
            content.mark = (listing.era, 0)
            content.seen = (listing.era, listing.end)
        for record in listed.values():
            if self._merge_listed(record, now_s):
                changed[record.key] = record
        return list(changed.values())

    def _merge_retained(
        self, record: store_records.KeyedRecord, listing: EraListing
    ) -> bool:
        """Merges a record of an older era that another instance retains."""
        content = self._content
        known = content.records.get(record.key)
        if known is None or known.era < listing.era:
            return self._merge(record)
        if known.offset >= listing.end:
            return False
        content.records[record.key] = record
        content.changed[record.key] = record.position
        return not self._comparison.is_same(known.value, record.value)

    def _merge_listed(
        self, record: store_records.KeyedRecord, now_s: float
    ) -> bool:
        content = self._content
        known = content.records.get(record.key)
        if known is not None and known.position >= record.position:
            return False
        if (
            known is None
            or record.offset >= content.certain_from
            or self._comparison.is_same(known.value, record.value)
        ):
            return self._merge(record, counts_if_same=True)
        standing = self._comparison.judge(record.key, known.value, record.value)
        if standing is rewound_records.Standing.NEWER:
            return self._merge(record)
        until_s = math.inf
        if standing is rewound_records.Standing.UNCERTAIN:
            until_s = now_s + self._comparison.rewrite_window_s
        content.held[record.key] = _HeldRecord(record, until_s)
        return False

    def _merge(
        self,
        record: store_records.KeyedRecord,
        *,
        counts_if_same: bool = False,
    ) -> bool:
        """Merges a record; returns whether its value is to be applied.

        Args:
            record: The record.
            counts_if_same: Whether it is a change for other instances also if
                the value is the known one: they may know or hold another.
        """
        content = self._content
        key = record.key
        known = content.records.get(key)
        if known is not None and known.position >= record.position:
            return False
        held = content.held.get(key)
        if held is not None:
            if record is not held.record and (
                record.position <= held.record.position
            ):
                return False
            del content.held[key]
        content.records[key] = record
        is_same = known is not None and self._comparison.is_same(
            known.value, record.value
        )
        if is_same and held is None and not counts_if_same:
            return False
        content.changed[key] = record.position
        if known is None and record.value is None:
            return False
        content.mark = max(content.mark, (record.era, record.offset + 1))
        return not is_same
