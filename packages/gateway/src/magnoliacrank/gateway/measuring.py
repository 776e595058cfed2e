"""ServiceProbeBudget: rate limit on the probes of one service's servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.policy import probe_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import pool_events


class ServiceProbeBudget:
    """Limits how often the pools of one service probe backend servers.

    The rate is set for the service as a whole. The members of its crew, that
    is, the instances that own its slots, share it equally, so that the probes
    of all members stay within the rate whatever their number.

    Args:
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rate_per_s = 0.0
        self._member_count = 0
        self._budget: probe_budget.ProbeBudget | None = None
        self._spent_from_earlier_budgets = 0

    @property
    def spent(self) -> int:
        """Number of probes allowed so far."""
        current = 0 if self._budget is None else self._budget.spent
        return self._spent_from_earlier_budgets + current

    def set_rate(self, rate_per_s: float) -> None:
        """Changes the rate of the service over all instances.

        Args:
            rate_per_s: Probes a second; 0 allows none.
        """
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._reset_budget()

    def set_member_count(self, member_count: int) -> None:
        """Changes how many instances share the rate.

        Args:
            member_count: Number of crew members, or 0 if this instance isn't
                one and so may not probe.
        """
        if member_count != self._member_count:
            self._member_count = member_count
            self._reset_budget()

    def on_silent(self, event: pool_events.ConnectionSilent) -> None:
        """Logs that connections to a backend server no longer answer.

        Args:
            event: The silent connection and how many were closed with it.
        """
        logging.warning(
            "gateway: %d connections to %s:%d do not answer.",
            event.retired + 1,
            event.host,
            event.port,
        )

    def try_take_probe(self) -> bool:
        """Takes one probe from the budget.

        Returns:
            Whether the budget allows a probe now.
        """
        if self._budget is None:
            return False
        return self._budget.try_spend(self._clock())

    def _reset_budget(self) -> None:
        self._spent_from_earlier_budgets = self.spent
        self._budget = None
        if self._rate_per_s <= 0 or not self._member_count:
            return
        now_s = self._clock()
        self._budget = probe_budget.ProbeBudget(self._rate_per_s, now_s)
        self._budget.set_share(1, self._member_count, now_s)
