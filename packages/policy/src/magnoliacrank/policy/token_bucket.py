"""Token bucket, for example for the requests to a cold backend server.

Load pattern: a backend server has started, or has become cold again, and looks
free to every queued request.
"""

from __future__ import annotations


class TokenBucket:
    """Token bucket that refills at a constant rate and starts full.

    Args:
        rate_per_s: Tokens added per second.
        burst: Capacity of the bucket in tokens.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s: float | None = None

    def has_token(self, now_s: float) -> bool:
        """Returns whether a token is available, without taking it.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if self._refilled_s is not None:
            returned = (now_s - self._refilled_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + returned)
        self._refilled_s = now_s
        return self._tokens >= 1.0

    def try_take(self, now_s: float) -> bool:
        """Takes a token; returns False if none is available.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if not self.has_token(now_s):
            return False
        self._tokens -= 1.0
        return True
