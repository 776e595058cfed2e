"""RateBucket: a token bucket for requests to a cold backend server.

Load pattern: a backend server has started, or has turned cold again, and
every waiting request finds it free.
"""

from __future__ import annotations


class RateBucket:
    """Tokens that return at a steady rate.

    Args:
        rate_per_s: Tokens that return in a second.
        burst: Most tokens that are kept.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._at_s: float | None = None

    def has_token(self, now_s: float) -> bool:
        """Whether a token is there.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._at_s is not None:
            returned = (now_s - self._at_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + returned)
        self._at_s = now_s
        return self._tokens >= 1.0

    def try_take(self, now_s: float) -> bool:
        """Takes a token, if there is one.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self.has_token(now_s):
            return False
        self._tokens -= 1.0
        return True
