"""Concurrency limit of one backend server, with slow start after a restart."""

from __future__ import annotations

import math

_COLD_LIMIT = 1
"""Limit right after a start, and the least one."""

_GROWTH_FACTOR = 1.34
"""Factor by which a step raises the limit."""

_ANSWERS_PER_SLOT = 4
"""Healthy answers for each unit of the limit that a step up needs."""

_COLD_STEP_INTERVAL_S = 0.5
"""Least time between two steps up of a cold server, in seconds."""

_REPORTED_STEP_INTERVAL_S = 0.2
"""Least time between two steps up of a cold server that reported a limit of its
own, in seconds."""

_WARM_STEP_INTERVAL_S = 0.1
"""Least time between two steps up after a cut at a warm server, in seconds."""

_MAX_HEALTHY_RATIO = 1.3
"""Ratio of the latency to the usual one up to which an answer is healthy."""

_MIN_CUT_INTERVAL_S = 0.05
"""Least time between two cuts, in seconds."""


class ConcurrencyLimit:
    """Raises the limit while answers are healthy and cuts it on overload.

    A step up needs a number of healthy answers at the current limit and a
    least time, since a burst of answers within milliseconds proves little.
    """

    __slots__ = (
        "_has_reported_limit",
        "_healthy_answers",
        "_is_cold",
        "_last_cut_s",
        "_limit",
        "_limit_changed_s",
        "_reported_limit",
        "_slots",
    )

    def __init__(self, slots: int, now_s: float) -> None:
        self._slots = slots
        self._limit = min(_COLD_LIMIT, slots)
        self._reported_limit = slots
        self._is_cold = True
        self._has_reported_limit = False
        self._healthy_answers = 0
        self._limit_changed_s = now_s
        self._last_cut_s = -math.inf

    @property
    def limit(self) -> int:
        """Requests that the server can run at once, over all instances."""
        return min(self._limit, self._reported_limit)

    @property
    def is_fully_raised(self) -> bool:
        """Whether the limit has reached the server's slots."""
        return self._limit >= self._slots

    @property
    def is_cold(self) -> bool:
        """Whether the server has not warmed up since its last known start.

        Its warm-up ends when the limit reaches the slots, or by `mark_warm`.
        """
        return self._is_cold

    def restart(self, now_s: float) -> None:
        """Falls back to the cold limit after a restart of the server."""
        self._set_limit(min(_COLD_LIMIT, self._slots), now_s)
        self._is_cold = True
        self._has_reported_limit = False
        self._reported_limit = self._slots

    def restore(self, limit: int, now_s: float) -> None:
        """Sets a limit that the server is known to sustain."""
        self._set_limit(max(1, min(limit, self._slots)), now_s)

    def mark_warm(self) -> None:
        """Marks the server as warm, whatever its limit."""
        self._is_cold = False

    def on_reported_limit(self, limit: int | None) -> None:
        """Records the concurrency limit that the server reports for itself.

        The reported limit lowers the one in force at once but never raises it
        above what the steps up have reached. A cold server that reported less
        than its slots is aware of being cold, so the steps up to its reported
        limit don't require the usual latency.

        Args:
            limit: Reported limit, or None without one that is trusted.
        """
        self._reported_limit = self._slots if limit is None else max(1, limit)
        if self._is_cold and self._reported_limit < self._slots:
            self._has_reported_limit = True

    @property
    def follows_reported_limit(self) -> bool:
        """Whether the server is cold and reported a limit below its slots."""
        return self._has_reported_limit and self._is_cold

    def on_served(self, ratio: float, now_s: float) -> None:
        """Records a served answer and raises the limit if a step is due.

        Args:
            ratio: Latency of the answer divided by the usual one.
            now_s: Current monotonic time in seconds.
        """
        if self.is_fully_raised:
            return
        is_below_reported = (
            self.follows_reported_limit and self._limit < self._reported_limit
        )
        if ratio > _MAX_HEALTHY_RATIO and not is_below_reported:
            self._healthy_answers = max(0, self._healthy_answers - 1)
            return
        self._healthy_answers += 1
        if self._healthy_answers < self._limit * _ANSWERS_PER_SLOT:
            return
        if now_s - self._limit_changed_s < self._min_step_interval_s:
            return
        raised = max(self._limit + 1, int(self._limit * _GROWTH_FACTOR))
        self._set_limit(min(raised, self._slots), now_s)

    @property
    def _min_step_interval_s(self) -> float:
        """Least time between two steps up, in seconds."""
        if not self._is_cold:
            return _WARM_STEP_INTERVAL_S
        return (
            _REPORTED_STEP_INTERVAL_S
            if self._has_reported_limit
            else _COLD_STEP_INTERVAL_S
        )

    def on_slow(self, now_s: float) -> None:
        """Halves the limit after the server became slow."""
        self._cut_limit(self._limit // 2, now_s)

    def on_shed(self, in_flight: int, now_s: float) -> None:
        """Cuts the limit after the server refused a request for overload.

        Args:
            in_flight: Requests of this instance that were in flight on the
                server, including the refused one.
            now_s: Current monotonic time in seconds.
        """
        self._cut_limit(min(self._limit, in_flight) - 1, now_s)

    def _cut_limit(self, limit: int, now_s: float) -> None:
        if now_s - self._last_cut_s < _MIN_CUT_INTERVAL_S:
            return
        self._last_cut_s = now_s
        self._set_limit(max(_COLD_LIMIT, limit), now_s)

    def _set_limit(self, limit: int, now_s: float) -> None:
        self._limit = limit
        self._healthy_answers = 0
        self._limit_changed_s = now_s
        if self.is_fully_raised:
            self._is_cold = False
