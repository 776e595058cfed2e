"""DutyLease: decides whether this instance may perform a singular duty.

The holder of the duty is named by a record in a topic of the store. Every write
to the topic is conditional on its end, so a write that succeeds proves that no
other instance has written since this one last read. Each such write gives the
holder the duty for the lease time. Another instance takes the duty only after
it has seen the topic unchanged for longer than that; hence there is at most one
holder, and a former holder waits for the lease time before it returns.

Failure: the holder is paused, loses the store or is killed, the store returns
from an older copy (a new era), or another holder had a higher token. In each
case the instance stops acting until it has taken the duty anew.
"""

from __future__ import annotations

import attrs

_ERA_STEP = 1 << 32
"""Tokens of an era of the store start at a multiple of this, so that they
exceed all of older eras, also those whose records were lost."""

_REFUSED_STEP = 1 << 16
"""Increase of the token after a refusal by the platform, which has seen tokens
that the records don't show."""

_WAIT_FACTOR = 1.1
"""Time that another instance waits, as a multiple of the lease time; allows for
clocks that differ in speed."""

_HOLD_FACTOR = 0.9
"""Time for which a holder acts after a write, as a multiple of the lease
time."""


@attrs.frozen
class DutyRecord:
    """Record in the store that names the holder of a duty."""

    holder: str
    """Name of the instance that holds the duty."""

    token: int
    """Fencing token; larger than that of every earlier holder."""

    era: int
    """Era of the store in which the duty was taken."""


@attrs.frozen
class TopicMark:
    """State of the duty's topic; unequal after every write."""

    era: int
    """Era of the store."""

    end: int
    """Offset at which the topic ends."""


class DutyLease:
    """Tracks the holder of a duty as one instance sees it.

    Args:
        node: Name of this instance.
        lease_s: Lease time in seconds.
    """

    def __init__(self, node: str, lease_s: float) -> None:
        self._node = node
        self._lease_s = lease_s
        self._record: DutyRecord | None = None
        self._mark: TopicMark | None = None
        self._seen_s = float("-inf")
        self._acts_until_s = float("-inf")
        self._is_held = False
        self._refused_token = 0
        self._blocked_until_s = float("-inf")
        self._known_era: int | None = None

    @property
    def record(self) -> DutyRecord | None:
        """Newest known record of the holder; None if there is none."""
        return self._record

    @property
    def is_held(self) -> bool:
        """Whether this instance took the duty and knows no other holder."""
        return self._is_held

    @property
    def token(self) -> int:
        """Fencing token of this instance; only valid while it is the holder."""
        return 0 if self._record is None else self._record.token

    @property
    def mark(self) -> TopicMark | None:
        """Known state of the topic; None if it must be read before a write."""
        return self._mark

    def on_read(
        self, record: DutyRecord | None, mark: TopicMark, now_s: float
    ) -> None:
        """Records what a read of the topic has shown.

        Args:
            record: Record of the holder, or None.
            mark: State of the topic.
            now_s: Monotonic time in seconds after the read.
        """
        if record != self._record or mark.era != self.era:
            self._is_held = False
        is_new_era = self._known_era not in (None, mark.era)
        if is_new_era and not self.was_exclusive(now_s):
            # A holder of the previous era may have acted just now, and its
            # record may be lost.
            self._block(now_s)
        self._known_era = mark.era
        if mark != self._mark:
            self._seen_s = now_s
        self._record, self._mark = record, mark

    @property
    def seen_s(self) -> float:
        """Monotonic time in seconds at which the topic last was seen changed.

        Minus infinity before the first read.
        """
        return self._seen_s

    @property
    def era(self) -> int:
        """Era of the newest known record; 0 if there is none."""
        return 0 if self._record is None else self._record.era

    def earliest_take_s(self) -> float:
        """Returns the monotonic time from which this instance may take over.

        An instance may take a duty without a holder, or its own, at once,
        unless the platform has just refused its token.
        """
        if self._record is None or self._record.holder == self._node:
            return self._blocked_until_s
        wait_s = self._lease_s * _WAIT_FACTOR
        return max(self._seen_s + wait_s, self._blocked_until_s)

    def next_record(self, era: int) -> DutyRecord:
        """Returns the record with which this instance takes the duty.

        Args:
            era: Current era of the store.
        """
        known = max(self.token, era * _ERA_STEP)
        if self._refused_token and self._refused_token >= self.token:
            known = max(known, self._refused_token + _REFUSED_STEP)
        return DutyRecord(self._node, known + 1, era)

    def on_taken(
        self, record: DutyRecord, mark: TopicMark, started_s: float
    ) -> None:
        """Records that this instance has written its record.

        Args:
            record: The record.
            mark: State of the topic after the write.
            started_s: Monotonic time in seconds before the write.
        """
        self._record = record
        self._is_held = True
        self.on_written(mark, started_s)

    def on_written(self, mark: TopicMark, started_s: float) -> None:
        """Records a successful conditional write, which extends the lease.

        Args:
            mark: State of the topic after the write.
            started_s: Monotonic time in seconds before the write.
        """
        self._mark = mark
        if mark.era != self.era:
            self._is_held = False
            return
        self._acts_until_s = started_s + self._lease_s * _HOLD_FACTOR

    def on_write_unknown(self) -> None:
        """Records a write that failed or may have run: the topic is unknown."""
        self._mark = None

    def on_era(self, era: int) -> None:
        """Gives up the duty if the store has returned from an older copy.

        Args:
            era: Current era of the store.
        """
        if era != self.era:
            self._is_held = False
            self._mark = None

    def may_act(self, now_s: float) -> bool:
        """Returns whether no other instance can hold the duty now.

        Args:
            now_s: Current monotonic time in seconds, which also passes while
                the machine is suspended.
        """
        return self._is_held and now_s < self._acts_until_s

    def was_exclusive(self, now_s: float) -> bool:
        """Returns whether the lease hasn't run out, held or just given up.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return now_s < self._acts_until_s

    def on_refused(self, now_s: float) -> None:
        """Gives up a token that the platform refused as too low.

        Args:
            now_s: Current monotonic time in seconds.
        """
        self._refused_token = max(self._refused_token, self.token)
        self._acts_until_s = float("-inf")
        self._block(now_s)
        self.release()

    def release(self) -> None:
        """Gives up the duty."""
        self._is_held = False

    def _block(self, now_s: float) -> None:
        self._blocked_until_s = now_s + self._lease_s * _WAIT_FACTOR
