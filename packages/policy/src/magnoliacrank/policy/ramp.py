"""Concurrency limit of one backend server, grown by evidence."""

from __future__ import annotations

import math

_COLD_LIMIT = 1
_GROWTH = 1.34
_ANSWERS_PER_SLOT = 4
_COLD_STEP_S = 0.5
_GUIDED_STEP_S = 0.2
_RECOVERY_STEP_S = 0.1
_HEALTHY_RATIO = 1.3
_MIN_CUT_S = 0.05


class Ramp:
    """Raises the limit while answers stay healthy and cuts it on bad signs.

    A step up needs a number of healthy answers at the present limit and a
    least time, since a burst of answers within milliseconds says little.
    """

    __slots__ = (
        "_answers",
        "_changed_s",
        "_cut_s",
        "_is_cold",
        "_is_guided",
        "_limit",
        "_reported",
        "_slots",
    )

    def __init__(self, slots: int, now_s: float) -> None:
        self._slots = slots
        self._limit = min(_COLD_LIMIT, slots)
        self._reported = slots
        self._is_cold = True
        self._is_guided = False
        self._answers = 0
        self._changed_s = now_s
        self._cut_s = -math.inf

    @property
    def limit(self) -> int:
        """Requests that the server bears at once."""
        return min(self._limit, self._reported)

    @property
    def is_full(self) -> bool:
        """Whether the limit has reached the server's slots."""
        return self._limit >= self._slots

    @property
    def is_cold(self) -> bool:
        """Whether the limit has not reached the slots since the start."""
        return self._is_cold

    def restart(self, now_s: float) -> None:
        """Falls back to the cold limit."""
        self._set(min(_COLD_LIMIT, self._slots), now_s)
        self._is_cold = True
        self._is_guided = False
        self._reported = self._slots

    def restore(self, limit: int, now_s: float) -> None:
        """Sets a limit that is known to be borne."""
        self._set(max(1, min(limit, self._slots)), now_s)

    def end_cold(self) -> None:
        """Takes in that the server is warm, whatever its limit."""
        self._is_cold = False

    def on_reported_limit(self, limit: int | None) -> None:
        """Takes in the concurrency that the server asks for itself.

        It lowers the limit at once. It raises none, but a server that asked
        for less than its slots knows that it is cold, so the steps up to what
        it asks for need no usual latency.
        """
        self._reported = self._slots if limit is None else max(1, limit)
        if self._is_cold and self._reported < self._slots:
            self._is_guided = True

    @property
    def is_guided(self) -> bool:
        """Whether the server itself tells what it bears while it is cold."""
        return self._is_guided and self._is_cold

    def on_served(self, ratio: float, now_s: float) -> None:
        """Takes in a served answer.

        Args:
            ratio: Its latency over the usual one.
            now_s: Monotonic time in seconds.
        """
        if self.is_full:
            return
        is_asked_for = self.is_guided and self._limit < self._reported
        if ratio > _HEALTHY_RATIO and not is_asked_for:
            self._answers = max(0, self._answers - 1)
            return
        self._answers += 1
        if self._answers < self._limit * _ANSWERS_PER_SLOT:
            return
        if now_s - self._changed_s < self._step_s:
            return
        raised = max(self._limit + 1, int(self._limit * _GROWTH))
        self._set(min(raised, self._slots), now_s)

    @property
    def _step_s(self) -> float:
        """Least time between two steps up, in seconds."""
        if not self._is_cold:
            return _RECOVERY_STEP_S
        return _GUIDED_STEP_S if self._is_guided else _COLD_STEP_S

    def on_slow(self, now_s: float) -> None:
        """Halves the limit of a server that became slow."""
        self._cut(self._limit // 2, now_s)

    def on_shed(self, in_flight: int, now_s: float) -> None:
        """Takes in a refusal for load with so many requests in flight."""
        self._cut(min(self._limit, in_flight) - 1, now_s)

    def _cut(self, limit: int, now_s: float) -> None:
        if now_s - self._cut_s < _MIN_CUT_S:
            return
        self._cut_s = now_s
        self._set(max(_COLD_LIMIT, limit), now_s)

    def _set(self, limit: int, now_s: float) -> None:
        self._limit = limit
        self._answers = 0
        self._changed_s = now_s
        if self.is_full:
            self._is_cold = False
