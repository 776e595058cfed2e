"""AnnounceSchedule: when an instance makes itself known in the store.

Load pattern: hundreds of instances start within a second, and each call to
the store is paid for. They meet at their seeds and through heartbeats; the
store keeps only a few addresses, for those whose seeds are stale or down.
"""

from __future__ import annotations

import enum

_HOLDERS = 2
"""Places in line for duties whose holders are announced."""

_HOLD_S = 3.0
"""Time for which an instance holds a duty before it is announced; at a start
the line changes with each instance that is heard."""

_ALONE_S = 1.0
"""Time alone after which an instance that has seeds turns to the store."""

_REREAD_S = 10.0
"""Interval at which the first in line looks for instances it doesn't know."""

_FIRST_RETRY_S = 0.5
_MAX_RETRY_S = 15.0


class Step(enum.Enum):
    """What is to be done now."""

    NONE = "none"
    """Nothing."""

    ANNOUNCE = "announce"
    """Write the own address."""

    READ = "read"
    """Read the addresses of others."""


class AnnounceSchedule:
    """Steps of one instance.

    Args:
        started_s: Monotonic time in seconds at which it started.
        has_seeds: Whether it knows where to meet others.
    """

    def __init__(self, started_s: float, *, has_seeds: bool) -> None:
        self._alone_s: float | None = started_s
        self._alone_limit_s = _ALONE_S if has_seeds else 0.0
        self._held_s: float | None = None
        self._is_announced = False
        self._next_read_s = started_s
        self._next_try_s = started_s
        self._retry_s = _FIRST_RETRY_S

    def next_step(
        self, now_s: float, *, is_alone: bool, duty_order: int
    ) -> Step:
        """Returns what is to be done.

        Args:
            now_s: Monotonic time in seconds.
            is_alone: Whether no other instance is heard.
            duty_order: Place in line for duties, from 0.
        """
        self._note(now_s, is_alone=is_alone, duty_order=duty_order)
        if now_s < self._next_try_s:
            return Step.NONE
        is_lost = (
            self._alone_s is not None
            and now_s - self._alone_s >= self._alone_limit_s
        )
        is_holder = self._held_s is not None and now_s - self._held_s >= _HOLD_S
        # Announcing comes before reading: of two instances that start
        # together, at least one sees the other.
        if not self._is_announced and (is_lost or is_holder):
            return Step.ANNOUNCE
        is_reader = is_holder and duty_order == 0
        if (is_lost or is_reader) and now_s >= self._next_read_s:
            return Step.READ
        return Step.NONE

    def on_announced(self) -> None:
        """The own address was written."""
        self._is_announced = True
        self._retry_s = _FIRST_RETRY_S

    def on_read(self, now_s: float) -> None:
        """The addresses of others were read.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._alone_s is None:
            self._next_read_s = now_s + _REREAD_S
            return
        self._next_read_s = now_s + self._retry_s
        self._retry_s = min(self._retry_s * 2, _MAX_RETRY_S)

    def on_failed(self, now_s: float) -> None:
        """A call to the store failed.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._next_try_s = now_s + self._retry_s
        self._retry_s = min(self._retry_s * 2, _MAX_RETRY_S)

    def _note(self, now_s: float, *, is_alone: bool, duty_order: int) -> None:
        if not is_alone:
            self._alone_s = None
        elif self._alone_s is None:
            self._alone_s = now_s
        if is_alone or duty_order >= _HOLDERS:
            self._held_s = None
        elif self._held_s is None:
            self._held_s = now_s
