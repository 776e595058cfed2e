"""ServedShares: how often the requests of each priority are served.

Load pattern: more requests arrive than the backend servers can run, for much
longer than a burst. Strict order by priority would then serve the least urgent
requests not at all, though their callers need an answer now and then, too.
"""

from __future__ import annotations

import math

import attrs

_TIME_CONSTANT_S = 8.0
"""Time constant of the decaying counts, in seconds. It is longer than a burst,
during which the most urgent requests take all the room that they need."""

_LEAST_SHARE = 0.35
"""Least served share of a priority, relative to that of all priorities."""

_MIN_ASKED = 20.0
"""Decayed number of requests from which a share counts."""


@attrs.define
class _Counts:
    asked: float = 0.0
    placed: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = math.exp(-max(now_s - self.updated_s, 0.0) / _TIME_CONSTANT_S)
        self.asked *= factor
        self.placed *= factor
        self.updated_s = now_s


class ServedShares:
    """Decaying counts of the requests of one service, by priority."""

    def __init__(self) -> None:
        self._all = _Counts()
        self._by_priority: dict[int, _Counts] = {}

    def on_asked(self, priority: int, now_s: float) -> None:
        """Counts a request that needs a backend server."""
        for counts in self._counts(priority, now_s):
            counts.asked += 1.0

    def on_placed(self, priority: int, now_s: float) -> None:
        """Counts a request that got a backend server."""
        for counts in self._counts(priority, now_s):
            counts.placed += 1.0

    def is_starved(self, priority: int, now_s: float) -> bool:
        """Whether a priority is served much less often than all requests.

        Args:
            priority: The priority; 0 is the most urgent.
            now_s: Current monotonic time in seconds.
        """
        total, counts = self._counts(priority, now_s)
        if counts.asked < _MIN_ASKED:
            return False
        share = counts.placed / counts.asked
        return share < _LEAST_SHARE * total.placed / total.asked

    def _counts(self, priority: int, now_s: float) -> tuple[_Counts, _Counts]:
        both = (self._all, self._by_priority.setdefault(priority, _Counts()))
        for counts in both:
            counts.decay(now_s)
        return both
