"""Retry budget: retries as a share of the traffic of one instance."""

from __future__ import annotations

_SHARE = 0.1
_TRICKLE_PER_S = 1.0
_MOST_SAVED = 50.0


class RetryBudget:
    """Saves part of each first attempt and spends one on each retry.

    When a third of the servers fail at once, the retries add at most the
    share and the small trickle to the load on the rest.
    """

    def __init__(
        self,
        *,
        share: float = _SHARE,
        trickle_per_s: float = _TRICKLE_PER_S,
        most_saved: float = _MOST_SAVED,
    ) -> None:
        """Starts with nothing saved.

        Args:
            share: Retries for each first attempt.
            trickle_per_s: Retries a second however small the traffic is.
            most_saved: Most retries saved up.
        """
        self._share = share
        self._trickle_per_s = trickle_per_s
        self._most_saved = most_saved
        self._saved = 0.0
        self._filled_s: float | None = None

    @property
    def saved(self) -> float:
        """Retries that could be spent at once."""
        return self._saved

    def on_first_attempt(self, now_s: float) -> None:
        """Saves the share of one first attempt."""
        self._fill(now_s)
        self._saved = min(self._most_saved, self._saved + self._share)

    def spend(self, now_s: float) -> bool:
        """Spends one retry; False when there is none."""
        self._fill(now_s)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _fill(self, now_s: float) -> None:
        """Adds the trickle of the time that passed."""
        if self._filled_s is None:
            self._filled_s = now_s
        passed_s = max(0.0, now_s - self._filled_s)
        self._filled_s += passed_s
        self._saved = min(
            self._most_saved, self._saved + passed_s * self._trickle_per_s
        )
