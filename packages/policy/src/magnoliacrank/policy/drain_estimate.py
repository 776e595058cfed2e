"""Estimates how fast the queue of a service drains.

Load pattern: more requests arrive than the backend servers can run. Requests
that can't be served in time are refused on arrival.
"""

from __future__ import annotations

import collections

_WINDOW_S = 1.0
"""Sliding window in which dispatches are counted, in seconds."""

_MIN_RATE_PER_S = 2.0
"""Dispatch rate that is assumed when there were fewer dispatches."""

_LEAST_SHARE = 0.1
"""Share of all dispatches that each priority is assumed to get at least."""


class DrainEstimate:
    """Measures how fast this instance dispatches the requests of a service."""

    def __init__(self) -> None:
        self._dispatches: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def on_dispatch(self, now_s: float, priority: int = 0) -> None:
        """Counts a request that is dispatched to a backend server.

        Args:
            now_s: Current monotonic time in seconds.
            priority: Priority of the request; 0 is the most urgent.
        """
        self._dispatches.append((now_s, priority))

    def rate_per_s(self, now_s: float, priority: int = 0) -> float:
        """Returns the recent rate of dispatches that a priority can count on.

        That is what more urgent requests leave, since those that arrive later
        go first.

        Args:
            now_s: Current monotonic time in seconds.
            priority: The priority; 0 is the most urgent.
        """
        while self._dispatches and self._dispatches[0][0] < now_s - _WINDOW_S:
            self._dispatches.popleft()
        count = sum(other >= priority for _, other in self._dispatches)
        least = len(self._dispatches) * _LEAST_SHARE
        return max(max(count, least) / _WINDOW_S, _MIN_RATE_PER_S)

    def wait_s(self, ahead: int, now_s: float, priority: int = 0) -> float:
        """Returns the expected time in the queue in seconds.

        Args:
            ahead: Number of queued requests that are dispatched earlier.
            now_s: Current monotonic time in seconds.
            priority: Priority of the request that waits.
        """
        return ahead / self.rate_per_s(now_s, priority)
