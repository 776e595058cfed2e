"""Health of one backend server, judged by the traffic of this instance.

Load pattern: a server fails some of its requests while its health check
passes, fails fast, stops answering, or works several times slower than it
reports.
"""

from __future__ import annotations

import enum
import math

_BLOCK_AFTER_FAILURES = 2
"""Consecutive failures after which a server is avoided."""

_BLOCK_FAILURE_SHARE = 0.3
"""Smoothed share of failures above which a server is avoided."""

_SMOOTHING_WEIGHT = 0.2
"""Weight of the newest request in the smoothed failure share and duration."""

_INITIAL_BLOCK_S = 0.8
"""Seconds for which a server is avoided first; doubled at each repeat."""

_MAX_BLOCK_S = 6.4
"""Longest time for which a server is avoided, in seconds."""

_INITIAL_CHECK_BACKOFF_S = 0.25
"""Seconds of backoff after the first unanswered health check, then doubled."""

_MAX_CHECK_BACKOFF_S = 2.0
"""Longest backoff after an unanswered health check, in seconds."""

_REFUSAL_BLOCK_S = 0.05
"""Seconds for which a server is avoided after it refused a request."""


class Outcome(enum.Enum):
    """How a request at a backend server ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"


class BackendHealth:
    """Tracks failures, unanswered health checks and speed of one server."""

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._failure_share = 0.0
        self._block_count = 0
        self._blocked_until_s = 0.0
        self._unanswered_checks = 0
        self._check_backoff_until_s = 0.0
        self._log_duration_ratio = 0.0

    @property
    def duration_ratio(self) -> float:
        """Smoothed ratio of the actual to the expected duration of requests.

        The expected duration is the route's usual one times the slowdown that
        the server reported. The mean is geometric, so that a few long requests
        don't make the server look slow.
        """
        return math.exp(self._log_duration_ratio)

    def is_blocked(self, now_s: float) -> bool:
        """Returns whether the server is to be avoided while others are usable.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return now_s < self._blocked_until_s

    def is_unresponsive(self, now_s: float) -> bool:
        """Returns whether the backoff after an unanswered health check runs.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return now_s < self._check_backoff_until_s

    def on_outcome(self, outcome: Outcome, now_s: float) -> None:
        """Records how a request ended.

        Args:
            outcome: How it ended.
            now_s: Current monotonic time in seconds.
        """
        if outcome is Outcome.REFUSED:
            blocked_until_s = now_s + _REFUSAL_BLOCK_S
            self._blocked_until_s = max(self._blocked_until_s, blocked_until_s)
            return
        failed = outcome is Outcome.FAILED
        self._failure_share += _SMOOTHING_WEIGHT * (
            failed - self._failure_share
        )
        if not failed:
            self._consecutive_failures = 0
            if self._failure_share < _BLOCK_FAILURE_SHARE / 4:
                self._block_count = 0
            return
        self._consecutive_failures += 1
        if (
            self._consecutive_failures >= _BLOCK_AFTER_FAILURES
            or self._failure_share > _BLOCK_FAILURE_SHARE
        ):
            block_s = min(_INITIAL_BLOCK_S * 2**self._block_count, _MAX_BLOCK_S)
            self._block_count += 1
            self._blocked_until_s = now_s + block_s

    def on_duration(self, ratio: float) -> None:
        """Records the duration of a request.

        Args:
            ratio: Actual duration divided by the expected one.
        """
        bounded = min(max(ratio, 0.1), 10.0)
        self._log_duration_ratio += _SMOOTHING_WEIGHT * (
            math.log(bounded) - self._log_duration_ratio
        )

    def on_unanswered_check(self, now_s: float) -> None:
        """Records an unanswered health check.

        Args:
            now_s: Current monotonic time in seconds.
        """
        backoff_s = min(
            _INITIAL_CHECK_BACKOFF_S * 2**self._unanswered_checks,
            _MAX_CHECK_BACKOFF_S,
        )
        self._unanswered_checks += 1
        self._check_backoff_until_s = now_s + backoff_s

    def on_answered_check(self) -> None:
        """Records an answered health check."""
        self._unanswered_checks = 0
        self._check_backoff_until_s = 0.0
