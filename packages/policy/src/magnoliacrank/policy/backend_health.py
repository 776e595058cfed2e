"""BackendHealth: what this instance's own traffic says of a backend server.

Load pattern: a server fails a part of its requests while its health check is
good, fails fast, falls silent, or works several times slower than it says.
"""

from __future__ import annotations

import enum
import math

_BLOCKING_FAILURES = 2
"""Failures in a row after which a server is avoided."""

_BLOCKING_SHARE = 0.3
"""Smoothed share of failures above which a server is avoided."""

_SMOOTHING = 0.2
"""Weight of the newest request in the smoothed share and pace."""

_FIRST_BLOCK_S = 0.8
"""First time for which a server is avoided, doubled at each repeat."""

_MAX_BLOCK_S = 6.4
"""Longest time for which a server is avoided."""

_FIRST_SILENCE_S = 0.25
"""First pause after a health request without an answer, then doubled."""

_MAX_SILENCE_S = 2.0
"""Longest pause after a health request without an answer."""

_REFUSAL_PAUSE_S = 0.05
"""Pause after an answer that refused a request."""


class Outcome(enum.Enum):
    """How a request at a backend server ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"


class BackendHealth:
    """Failures, silence and pace of one backend server."""

    def __init__(self) -> None:
        self._streak = 0
        self._failure_share = 0.0
        self._blocks = 0
        self._blocked_until_s = 0.0
        self._silences = 0
        self._silent_until_s = 0.0
        self._log_pace = 0.0

    @property
    def pace(self) -> float:
        """Smoothed duration of its work against what it promised.

        The geometric mean, so that a few long requests don't count as slow.
        """
        return math.exp(self._log_pace)

    def is_blocked(self, now_s: float) -> bool:
        """Whether other servers go first.

        Args:
            now_s: Monotonic time in seconds.
        """
        return now_s < self._blocked_until_s

    def is_silent(self, now_s: float) -> bool:
        """Whether it has left a health request unanswered a moment ago.

        Args:
            now_s: Monotonic time in seconds.
        """
        return now_s < self._silent_until_s

    def on_outcome(self, outcome: Outcome, now_s: float) -> None:
        """Counts the end of a request.

        Args:
            outcome: How it ended.
            now_s: Monotonic time in seconds.
        """
        if outcome is Outcome.REFUSED:
            pause_s = now_s + _REFUSAL_PAUSE_S
            self._blocked_until_s = max(self._blocked_until_s, pause_s)
            return
        failed = outcome is Outcome.FAILED
        self._failure_share += _SMOOTHING * (failed - self._failure_share)
        if not failed:
            self._streak = 0
            if self._failure_share < _BLOCKING_SHARE / 4:
                self._blocks = 0
            return
        self._streak += 1
        if (
            self._streak >= _BLOCKING_FAILURES
            or self._failure_share > _BLOCKING_SHARE
        ):
            length_s = min(_FIRST_BLOCK_S * 2**self._blocks, _MAX_BLOCK_S)
            self._blocks += 1
            self._blocked_until_s = now_s + length_s

    def on_duration(self, ratio: float) -> None:
        """Counts how long work took against what the server promised.

        Args:
            ratio: Duration divided by the promised one.
        """
        bounded = min(max(ratio, 0.1), 10.0)
        self._log_pace += _SMOOTHING * (math.log(bounded) - self._log_pace)

    def on_silence(self, now_s: float) -> None:
        """Counts a health request without an answer.

        Args:
            now_s: Monotonic time in seconds.
        """
        length_s = min(_FIRST_SILENCE_S * 2**self._silences, _MAX_SILENCE_S)
        self._silences += 1
        self._silent_until_s = now_s + length_s

    def on_report(self) -> None:
        """Counts an answer to a health request."""
        self._silences = 0
        self._silent_until_s = 0.0
