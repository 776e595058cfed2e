"""Sequential test (CUSUM) for a backend server that became slow."""

from __future__ import annotations

import math

_LOG_RATIO_DRIFT = math.log(1.6)
"""Logarithm of the latency ratio at which the sum neither rises nor falls."""

_ALARM_THRESHOLD = 3.0
"""Sum at which the alarm is raised."""

_MAX_LOG_RATIO = 2.0
"""Bound on the logarithm of one answer's latency ratio."""


class SlowdownDetector:
    """Cumulative sum (CUSUM) of the logarithm of answers' relative latency.

    The sum falls with answers at the usual latency and rises with slow ones,
    so it takes a few answers in a row that are far too slow, or more that are
    somewhat too slow, to raise the alarm.
    """

    __slots__ = ("_sum",)

    def __init__(self) -> None:
        self._sum = 0.0

    def add(self, ratio: float) -> bool:
        """Adds the latency of an answer to the sum.

        Args:
            ratio: Latency of the answer divided by the usual one.

        Returns:
            Whether the alarm is raised; the sum then restarts at 0.
        """
        step = (
            min(_MAX_LOG_RATIO, math.log(max(ratio, 0.01))) - _LOG_RATIO_DRIFT
        )
        self._sum = max(0.0, self._sum + step)
        if self._sum < _ALARM_THRESHOLD:
            return False
        self._sum = 0.0
        return True

    def reset(self) -> None:
        """Sets the sum back to 0."""
        self._sum = 0.0
