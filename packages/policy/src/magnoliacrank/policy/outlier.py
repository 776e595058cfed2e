"""Tells a failing backend server from one that met a bad request."""

from __future__ import annotations

import math

_WEIGHT = 0.2
_CONSECUTIVE_FAILURES = 3
_FAILURE_SHARE = 0.4
_SHARE_OVER_PEERS = 0.2
_MIN_OUTCOMES = 5
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 15.0


class Outlier:
    """Failure record of one server and the time of its next trial."""

    __slots__ = (
        "_backoff_s",
        "_consecutive",
        "_outcomes",
        "_share",
        "_trial_s",
    )

    def __init__(self) -> None:
        self._share = 0.0
        self._consecutive = 0
        self._outcomes = 0
        self._backoff_s = _FIRST_EJECTION_S
        self._trial_s = -math.inf

    @property
    def failure_share(self) -> float:
        """Share of recent outcomes that were failures."""
        return self._share

    def on_success(self) -> None:
        """Takes in a served answer."""
        self._outcomes += 1
        self._consecutive = 0
        self._share *= 1.0 - _WEIGHT

    def on_failure(self) -> None:
        """Takes in a failure of the server."""
        self._outcomes += 1
        self._consecutive += 1
        self._share += (1.0 - self._share) * _WEIGHT

    def should_eject(self, peers_share: float) -> bool:
        """Returns whether its failures stand out.

        Args:
            peers_share: Failure share over all servers of the service.
        """
        if self._share <= peers_share + _SHARE_OVER_PEERS:
            return False
        if self._consecutive >= _CONSECUTIVE_FAILURES:
            return True
        return self._outcomes >= _MIN_OUTCOMES and self._share >= _FAILURE_SHARE

    def eject(self, now_s: float) -> None:
        """Sets the next trial, later with each ejection in a row."""
        self._trial_s = now_s + self._backoff_s
        self._backoff_s = min(_MAX_EJECTION_S, 2.0 * self._backoff_s)

    def may_try(self, now_s: float) -> bool:
        """Returns whether a single trial is due."""
        return now_s >= self._trial_s

    def on_trial(self, now_s: float) -> None:
        """Marks that the trial was sent."""
        self._trial_s = now_s + self._backoff_s

    def readmit(self) -> None:
        """Forgets the failures after a trial that succeeded."""
        self._share = 0.0
        self._consecutive = 0
        self._outcomes = 0

    def settle(self) -> None:
        """Forgets past ejections once the server is trusted again."""
        self._backoff_s = _FIRST_EJECTION_S
