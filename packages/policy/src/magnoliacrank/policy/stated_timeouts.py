"""Tells callers' first attempts from repeated ones by the timeout they state.

Load pattern: callers that were refused under overload come back after a while.
By then many are too late to be answered within the latency objective, which
counts from their first attempt. A first attempt states the caller's whole
timeout, a repeated one what is left of it.
"""

from __future__ import annotations

import collections
import statistics

_SAMPLES = 64
"""Number of whole timeouts that are kept."""

_MIN_SAMPLES = 16
"""Number of whole timeouts from which shorter ones are recognized."""

_CALM_S = 5.0
"""Seconds after a refusal during which a timeout may be the rest of one."""

_SHORTEST_SHARE = 0.05
"""Share of the whole timeouts that are shorter than the usual range."""


class StatedTimeouts:
    """Whole timeouts of one route's callers, learned while none is refused."""

    def __init__(self) -> None:
        self._whole_s: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )
        self._refused_s = float("-inf")
        self._shortest_s = 0.0
        self._median_s = 0.0

    def on_refused(self, now_s: float) -> None:
        """Records that a caller was refused and may come back.

        Args:
            now_s: Current monotonic time in seconds.
        """
        self._refused_s = now_s

    def on_request(self, timeout_s: float, now_s: float) -> None:
        """Records a request's timeout, unless it may be the rest of one.

        Args:
            timeout_s: Seconds that the caller still waits, as it states.
            now_s: Current monotonic time in seconds.
        """
        if now_s - self._refused_s < _CALM_S:
            return
        self._whole_s.append(timeout_s)
        ordered = sorted(self._whole_s)
        self._shortest_s = ordered[int(len(ordered) * _SHORTEST_SHARE)]
        self._median_s = statistics.median_low(ordered)

    def elapsed_s(self, timeout_s: float) -> float:
        """Estimates how long ago a request's caller first asked, in seconds.

        It is 0 for a timeout in the usual range and while that isn't known. So
        callers with a short timeout of their own aren't taken for others that
        came back, if they have asked in calm times.

        Args:
            timeout_s: Seconds that the caller still waits, as it states.
        """
        is_known = len(self._whole_s) >= _MIN_SAMPLES
        if not is_known or timeout_s >= self._shortest_s:
            return 0.0
        return self._median_s - timeout_s
