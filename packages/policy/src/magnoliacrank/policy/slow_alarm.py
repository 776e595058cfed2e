"""Sequential test for a backend server that became slower than usual."""

from __future__ import annotations

import math

_DRIFT = math.log(1.6)
_THRESHOLD = 3.0
_MAX_STEP = 2.0


class SlowAlarm:
    """Cumulative sum over the logarithm of answers' relative latency.

    The sum falls with answers at the usual latency and rises with slow ones,
    so it takes a few answers in a row that are far too slow, or more that are
    somewhat too slow, to raise the alarm.
    """

    __slots__ = ("_sum",)

    def __init__(self) -> None:
        self._sum = 0.0

    def add(self, ratio: float) -> bool:
        """Takes in an answer's latency over the usual one.

        Returns:
            Whether the alarm is raised; it starts anew then.
        """
        step = min(_MAX_STEP, math.log(max(ratio, 0.01))) - _DRIFT
        self._sum = max(0.0, self._sum + step)
        if self._sum < _THRESHOLD:
            return False
        self._sum = 0.0
        return True

    def clear(self) -> None:
        """Starts anew."""
        self._sum = 0.0
