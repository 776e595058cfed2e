"""Retry budget: bounds retries to a share of one instance's traffic."""

from __future__ import annotations

_RETRY_SHARE = 0.1
"""Retries for each first attempt."""

_MIN_RETRIES_PER_S = 1.0
"""Retries per second however small the traffic is."""

_MAX_SAVED = 50.0
"""Capacity of the budget, in retries."""


class RetryBudget:
    """Token bucket that first attempts fill and retries draw from.

    When a third of the servers fail at once, retries add at most the share
    and the small constant rate to the load on the rest.
    """

    def __init__(
        self,
        *,
        share: float = _RETRY_SHARE,
        min_retries_per_s: float = _MIN_RETRIES_PER_S,
        max_saved: float = _MAX_SAVED,
    ) -> None:
        """Creates an empty budget.

        Args:
            share: Retries for each first attempt.
            min_retries_per_s: Retries per second however small the traffic is.
            max_saved: Capacity of the budget, in retries.
        """
        self._share = share
        self._min_retries_per_s = min_retries_per_s
        self._max_saved = max_saved
        self._saved = 0.0
        self._refilled_s: float | None = None

    @property
    def saved(self) -> float:
        """Number of retries that could be made at once."""
        return self._saved

    def on_first_attempt(self, now_s: float) -> None:
        """Adds the share of one first attempt to the budget."""
        self._refill(now_s)
        self._saved = min(self._max_saved, self._saved + self._share)

    def try_spend(self, now_s: float) -> bool:
        """Takes one retry from the budget; returns False if it is empty."""
        self._refill(now_s)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        """Adds the retries of the constant rate since the last call."""
        if self._refilled_s is None:
            self._refilled_s = now_s
        passed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s += passed_s
        self._saved = min(
            self._max_saved, self._saved + passed_s * self._min_retries_per_s
        )
