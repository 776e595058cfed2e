"""Outlier detection: tells a failing server from one that got a bad request."""

from __future__ import annotations

import math

_SMOOTHING_WEIGHT = 0.2
"""Weight of the newest outcome in the failure share."""

_EJECT_CONSECUTIVE_FAILURES = 3
"""Consecutive failures from which a server may be ejected."""

_EJECT_FAILURE_SHARE = 0.4
"""Failure share from which a server may be ejected."""

_MIN_SHARE_OVER_SERVICE = 0.2
"""Excess of the failure share over that of the service needed for ejection."""

_MIN_OUTCOMES = 5
"""Outcomes that are needed to eject a server by its failure share."""

_INITIAL_EJECTION_S = 0.5
"""Seconds from the first ejection to the trial request, then doubled."""

_MAX_EJECTION_S = 15.0
"""Longest time from an ejection to the trial request, in seconds."""


class OutlierDetector:
    """Failure statistics of one server, and the time of its next trial request.

    An ejected server gets single trial requests until one succeeds.
    """

    __slots__ = (
        "_backoff_s",
        "_consecutive_failures",
        "_failure_share",
        "_next_trial_s",
        "_outcome_count",
    )

    def __init__(self) -> None:
        self._failure_share = 0.0
        self._consecutive_failures = 0
        self._outcome_count = 0
        self._backoff_s = _INITIAL_EJECTION_S
        self._next_trial_s = -math.inf

    @property
    def failure_share(self) -> float:
        """Share of recent outcomes that were failures."""
        return self._failure_share

    def on_success(self) -> None:
        """Records a served answer."""
        self._outcome_count += 1
        self._consecutive_failures = 0
        self._failure_share *= 1.0 - _SMOOTHING_WEIGHT

    def on_failure(self) -> None:
        """Records a failure of the server."""
        self._outcome_count += 1
        self._consecutive_failures += 1
        self._failure_share += (1.0 - self._failure_share) * _SMOOTHING_WEIGHT

    def should_eject(self, service_failure_share: float) -> bool:
        """Returns whether the server fails clearly more than the whole service.

        Args:
            service_failure_share: Recent share of failures over all servers of
                the service.
        """
        if (
            self._failure_share
            <= service_failure_share + _MIN_SHARE_OVER_SERVICE
        ):
            return False
        if self._consecutive_failures >= _EJECT_CONSECUTIVE_FAILURES:
            return True
        return (
            self._outcome_count >= _MIN_OUTCOMES
            and self._failure_share >= _EJECT_FAILURE_SHARE
        )

    def eject(self, now_s: float) -> None:
        """Schedules the next trial; consecutive ejections double the delay."""
        self._next_trial_s = now_s + self._backoff_s
        self._backoff_s = min(_MAX_EJECTION_S, 2.0 * self._backoff_s)

    def is_trial_due(self, now_s: float) -> bool:
        """Returns whether a trial request may be sent now."""
        return now_s >= self._next_trial_s

    def on_trial(self, now_s: float) -> None:
        """Postpones the next trial, since one has just been sent."""
        self._next_trial_s = now_s + self._backoff_s

    def readmit(self) -> None:
        """Resets the failure statistics after a successful trial."""
        self._failure_share = 0.0
        self._consecutive_failures = 0
        self._outcome_count = 0

    def reset_backoff(self) -> None:
        """Resets the delay of trials once the server has warmed up again."""
        self._backoff_s = _INITIAL_EJECTION_S
