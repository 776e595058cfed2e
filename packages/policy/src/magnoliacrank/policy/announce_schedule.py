"""AnnounceSchedule: when an instance uses the store for peer discovery.

Load pattern: hundreds of instances start within a second, and each call to
the store is paid for. They discover each other through their seeds (addresses
from the settings) and heartbeats. The store holds the addresses of only a few
instances, for those whose seeds are stale or down.
"""

from __future__ import annotations

import enum

_ANNOUNCED_DUTY_RANKS = 2
"""Instances at the front of the duty order that announce their address."""

_DUTY_SETTLE_S = 3.0
"""Time for which an instance must stay at the front of the duty order before
it announces its address or reads the others'; during startup the order changes
with each new instance."""

_ISOLATION_TIMEOUT_S = 1.0
"""Time without any other instance after which an instance that has seeds uses
the store."""

_READ_INTERVAL_S = 10.0
"""Interval at which the first instance in the duty order reads the addresses
in the store, to find instances that it doesn't know."""

_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0


class Step(enum.Enum):
    """Store call that an instance should make now."""

    NONE = "none"
    """No call."""

    ANNOUNCE = "announce"
    """Write this instance's address."""

    READ = "read"
    """Read the addresses of the other instances."""


class AnnounceSchedule:
    """Decides when one instance writes to and reads from the store.

    An instance writes its address if it stays near the front of the duty
    order or is isolated, that is, receives heartbeats from no other instance.
    Only the first in the duty order and isolated instances read. Failed calls
    are retried with exponential backoff.

    Args:
        started_s: Monotonic time in seconds at which the instance started.
        has_seeds: Whether its settings list seeds, that is, addresses of other
            instances.
    """

    def __init__(self, started_s: float, *, has_seeds: bool) -> None:
        self._isolated_since_s: float | None = started_s
        self._isolation_timeout_s = _ISOLATION_TIMEOUT_S if has_seeds else 0.0
        self._duty_since_s: float | None = None
        self._is_announced = False
        self._is_lost = False
        self._next_read_s = started_s
        self._next_attempt_s = started_s
        self._backoff_s = _INITIAL_BACKOFF_S

    def next_step(
        self, now_s: float, *, is_alone: bool, duty_order: int
    ) -> Step:
        """Returns the store call to make now.

        Args:
            now_s: Current monotonic time, in seconds.
            is_alone: Whether the instance knows no other live instance.
            duty_order: Position of the instance in the duty order, from 0. The
                first instance performs tasks that one instance does for all.
        """
        self._update_state(now_s, is_alone=is_alone, duty_order=duty_order)
        if now_s < self._next_attempt_s:
            return Step.NONE
        is_isolated = (
            self._isolated_since_s is not None
            and now_s - self._isolated_since_s >= self._isolation_timeout_s
        )
        is_duty_holder = (
            self._duty_since_s is not None
            and now_s - self._duty_since_s >= _DUTY_SETTLE_S
        )
        # Announces before it reads, so that of two instances which start
        # together at least one finds the other's address.
        if self._is_lost or (
            not self._is_announced and (is_isolated or is_duty_holder)
        ):
            return Step.ANNOUNCE
        is_reader = is_duty_holder and duty_order == 0
        if (is_isolated or is_reader) and now_s >= self._next_read_s:
            return Step.READ
        return Step.NONE

    def on_announced(self) -> None:
        """Records that this instance's address was written to the store."""
        self._is_announced = True
        self._is_lost = False
        self._backoff_s = _INITIAL_BACKOFF_S

    def on_store_rewound(self) -> None:
        """Records that the store may have lost this instance's address.

        An instance that has announced it does so again, whether or not it is
        still isolated or on duty.
        """
        self._is_lost = self._is_announced

    def on_read(self, now_s: float) -> None:
        """Records that the addresses of the other instances were read.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        if self._isolated_since_s is None:
            self._next_read_s = now_s + _READ_INTERVAL_S
            return
        self._next_read_s = now_s + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)

    def on_failed(self, now_s: float) -> None:
        """Records that a call to the store failed, and delays the next one.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self._next_attempt_s = now_s + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)

    def _update_state(
        self, now_s: float, *, is_alone: bool, duty_order: int
    ) -> None:
        if not is_alone:
            self._isolated_since_s = None
        elif self._isolated_since_s is None:
            self._isolated_since_s = now_s
        if is_alone or duty_order >= _ANNOUNCED_DUTY_RANKS:
            self._duty_since_s = None
        elif self._duty_since_s is None:
            self._duty_since_s = now_s
