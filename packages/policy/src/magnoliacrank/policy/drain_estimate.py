"""Estimates how fast the queue of a service drains, and a Retry-After time.

Load pattern: more requests arrive than the backend servers can run. Requests
that can't be served in time are refused on arrival, with the time after which
capacity is expected.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_WINDOW_S = 1.0
"""Sliding window in which dispatches are counted, in seconds."""

_MIN_RATE_PER_S = 2.0
"""Dispatch rate that is assumed when there were fewer dispatches."""

_LEAST_SHARE = 0.1
"""Share of all dispatches that each priority is assumed to get at least."""

_MIN_RETRY_AFTER_S = 0.6
"""Least time in seconds after which a caller refused for overload should retry,
before jitter; one that retries sooner finds the same queue."""

_MAX_RETRY_AFTER_S = 2.0
"""Longest time in seconds after which a refused caller should retry."""


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

    def retry_after_s(
        self, ahead: int, now_s: float, rng: random.Random
    ) -> float:
        """Returns after how many seconds a refused caller should retry.

        Args:
            ahead: Number of queued requests.
            now_s: Current monotonic time in seconds.
            rng: Source of the jitter that keeps callers from retrying together.
        """
        wait_s = max(self.wait_s(ahead, now_s), _MIN_RETRY_AFTER_S)
        return min(wait_s * rng.uniform(0.75, 1.5), _MAX_RETRY_AFTER_S)
