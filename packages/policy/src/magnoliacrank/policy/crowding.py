"""Measures how much the servers of a service slow down when nearly full.

Load pattern: a burst fills all slots, and servers whose last slot is in use
slow down so much that they answer fewer requests than before.
"""

from __future__ import annotations

import math

_NEARLY_FULL_SHARE = 0.75
"""Share of slots in use above which a server counts as nearly full."""

_MIN_SMOOTHING_WEIGHT = 0.05
"""Least weight of the newest answer in the means."""

_MIN_SAMPLES = 10
"""Answers needed both from nearly full and from other servers."""

_CONFIDENCE_DEVIATIONS = 3.0
"""Standard errors by which the durations must differ. Neighbours that slow a
server down scatter them, and a server whose last slots are given up yields no
further answers that could correct the mistake."""


class Crowding:
    """Compares request durations at nearly full and at other servers."""

    def __init__(self) -> None:
        self._nearly_full = _LogDurations()
        self._others = _LogDurations()

    @property
    def factor(self) -> float:
        """Ratio of the duration at nearly full servers to that at others.

        It is the least ratio that the answers leave probable, and 1.0 while
        there are too few of them.
        """
        if min(self._nearly_full.count, self._others.count) < _MIN_SAMPLES:
            return 1.0
        difference = self._nearly_full.mean - self._others.mean
        error = math.hypot(
            self._nearly_full.standard_error, self._others.standard_error
        )
        return math.exp(max(difference - _CONFIDENCE_DEVIATIONS * error, 0.0))

    def on_duration(self, busy: int, slots: int, ratio: float) -> None:
        """Records the duration of a request.

        Args:
            busy: Requests at the server when this one was sent, including it.
            slots: Slots of the server, that is, requests that it runs at once.
            ratio: Actual duration divided by the expected one.
        """
        group = (
            self._nearly_full if is_nearly_full(busy, slots) else self._others
        )
        group.add(math.log(min(max(ratio, 0.1), 10.0)))


class _LogDurations:
    """Moving mean and variance of logarithms of duration ratios."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self._variance = 0.0

    @property
    def standard_error(self) -> float:
        """Standard error of the mean."""
        samples = min(self.count, 2 / _MIN_SMOOTHING_WEIGHT - 1)
        return math.sqrt(self._variance / samples)

    def add(self, value: float) -> None:
        """Adds one value."""
        self.count += 1
        weight = max(_MIN_SMOOTHING_WEIGHT, 1 / self.count)
        difference = value - self.mean
        self.mean += weight * difference
        self._variance += weight * (
            (1 - weight) * difference * difference - self._variance
        )


def is_nearly_full(busy: int, slots: int) -> bool:
    """Returns whether `busy` requests make a server nearly full."""
    return busy > _NEARLY_FULL_SHARE * slots


def worthwhile_slots(slots: int, factor: float) -> int:
    """Returns the slots of a server that are worth using.

    Args:
        slots: Slots of the server.
        factor: Ratio of the duration at nearly full servers to that at others.
    """
    return slots if is_last_slot_worth_using(slots, factor) else slots - 1


def is_last_slot_worth_using(slots: int, factor: float) -> bool:
    """Returns whether using its last slot increases a server's throughput.

    Args:
        slots: Slots of the server.
        factor: Ratio of the duration at nearly full servers to that at others.
    """
    return slots <= 1 or factor < slots / (slots - 1)
