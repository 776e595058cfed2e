"""DrainEstimate: how fast a service's queue empties, and who can't be served.

Load pattern: more requests arrive than the backend servers can run. What
can't be served in time is refused on arrival, with the time at which room is
expected.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_WINDOW_S = 1.0
"""Span over which dispatches are counted, in seconds."""

_MIN_RATE_PER_S = 2.0
"""Rate that is assumed where nothing was dispatched lately."""

_MIN_RETRY_AFTER_S = 0.6
"""Least time that a caller is told to stay away on overload, before it is
spread; one that comes back sooner meets the same queue."""

_MAX_RETRY_AFTER_S = 2.0
"""Longest time that a caller is told to stay away."""


class DrainEstimate:
    """Rate of dispatches of one service at this instance."""

    def __init__(self) -> None:
        self._dispatches: collections.deque[float] = collections.deque()

    def on_dispatch(self, now_s: float) -> None:
        """Counts a request that found a backend server.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._dispatches.append(now_s)

    def rate_per_s(self, now_s: float) -> float:
        """Returns the requests dispatched in a second.

        Args:
            now_s: Monotonic time in seconds.
        """
        while self._dispatches and self._dispatches[0] < now_s - _WINDOW_S:
            self._dispatches.popleft()
        return max(len(self._dispatches) / _WINDOW_S, _MIN_RATE_PER_S)

    def wait_s(self, ahead: int, now_s: float) -> float:
        """Returns the expected wait behind other requests, in seconds.

        Args:
            ahead: Requests that go first.
            now_s: Monotonic time in seconds.
        """
        return ahead / self.rate_per_s(now_s)

    def retry_after_s(
        self, ahead: int, now_s: float, spread: random.Random
    ) -> float:
        """Returns when a refused caller is to come back, spread out.

        Args:
            ahead: Requests that wait.
            now_s: Monotonic time in seconds.
            spread: Randomness, so that callers do not return together.
        """
        wait_s = max(self.wait_s(ahead, now_s), _MIN_RETRY_AFTER_S)
        return min(wait_s * spread.uniform(0.75, 1.5), _MAX_RETRY_AFTER_S)
