"""Crowding: how much the servers of a service slow down when nearly full.

Load pattern: a burst fills all slots, and servers whose last slot is taken
work so much more slowly that they answer fewer requests than before.
"""

from __future__ import annotations

import math

_NEARLY_FULL = 0.75
"""Share of slots in use above which a server counts as nearly full."""

_SMOOTHING = 0.05
"""Weight of the newest answer."""

_MIN_SAMPLES = 10
"""Answers of both kinds without which nothing is concluded."""


class Crowding:
    """Durations of work at servers that were nearly full, against others."""

    def __init__(self) -> None:
        self._log_pace = {False: 0.0, True: 0.0}
        self._samples = {False: 0, True: 0}

    @property
    def factor(self) -> float:
        """Duration at nearly full servers against others; 1.0 if unknown."""
        if min(self._samples.values()) < _MIN_SAMPLES:
            return 1.0
        return math.exp(self._log_pace[True] - self._log_pace[False])

    def on_duration(self, busy: int, slots: int, ratio: float) -> None:
        """Counts how long work took.

        Args:
            busy: Requests at the server when it was sent, itself included.
            slots: Slots of the server.
            ratio: Duration divided by the promised one.
        """
        kind = is_nearly_full(busy, slots)
        self._samples[kind] += 1
        weight = max(_SMOOTHING, 1 / self._samples[kind])
        bounded = math.log(min(max(ratio, 0.1), 10.0))
        self._log_pace[kind] += weight * (bounded - self._log_pace[kind])


def is_nearly_full(busy: int, slots: int) -> bool:
    """Whether a server with so many requests is nearly full."""
    return busy > _NEARLY_FULL * slots


def is_last_slot_worth_using(slots: int, factor: float) -> bool:
    """Whether a server answers more with its last slot in use than without.

    Args:
        slots: Slots of the server.
        factor: Duration at nearly full servers against others.
    """
    return slots <= 1 or factor < slots / (slots - 1)
