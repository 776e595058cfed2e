"""Measures how much the servers of a service slow down when nearly full.

Load pattern: a burst fills all slots, and servers whose last slot is in use
slow down so much that they answer fewer requests than before.
"""

from __future__ import annotations

import math

_NEARLY_FULL_SHARE = 0.75
"""Share of slots in use above which a server counts as nearly full."""

_MIN_SMOOTHING_WEIGHT = 0.05
"""Least weight of the newest answer in the mean."""

_MIN_SAMPLES = 10
"""Answers needed both from nearly full and from other servers."""


class Crowding:
    """Compares request durations at nearly full and at other servers."""

    def __init__(self) -> None:
        self._log_duration_ratio = {False: 0.0, True: 0.0}
        self._sample_counts = {False: 0, True: 0}

    @property
    def factor(self) -> float:
        """Ratio of the duration at nearly full servers to that at others.

        It is 1.0 while there are too few samples.
        """
        if min(self._sample_counts.values()) < _MIN_SAMPLES:
            return 1.0
        return math.exp(
            self._log_duration_ratio[True] - self._log_duration_ratio[False]
        )

    def on_duration(self, busy: int, slots: int, ratio: float) -> None:
        """Records the duration of a request.

        Args:
            busy: Requests at the server when this one was sent, including it.
            slots: Slots of the server, that is, requests that it runs at once.
            ratio: Actual duration divided by the expected one.
        """
        was_nearly_full = is_nearly_full(busy, slots)
        self._sample_counts[was_nearly_full] += 1
        weight = max(
            _MIN_SMOOTHING_WEIGHT, 1 / self._sample_counts[was_nearly_full]
        )
        log_ratio = math.log(min(max(ratio, 0.1), 10.0))
        self._log_duration_ratio[was_nearly_full] += weight * (
            log_ratio - self._log_duration_ratio[was_nearly_full]
        )


def is_nearly_full(busy: int, slots: int) -> bool:
    """Returns whether `busy` requests make a server nearly full."""
    return busy > _NEARLY_FULL_SHARE * slots


def is_last_slot_worth_using(slots: int, factor: float) -> bool:
    """Returns whether using its last slot increases a server's throughput.

    Args:
        slots: Slots of the server.
        factor: Ratio of the duration at nearly full servers to that at others.
    """
    return slots <= 1 or factor < slots / (slots - 1)
