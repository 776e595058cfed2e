"""Measuring: spends one service's part of the measuring budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.policy import probe_budget

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import pool_events


class Measuring:
    """Grants probes to the pools of one service on this instance.

    The members of the crew share the service's rate equally, so their probes
    sum to it whatever their number.

    Args:
        clock: Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rate_per_s = 0.0
        self._members = 0
        self._budget: probe_budget.ProbeBudget | None = None
        self._spent_before = 0

    @property
    def spent(self) -> int:
        """Probes granted so far."""
        current = 0 if self._budget is None else self._budget.spent
        return self._spent_before + current

    def set_rate(self, rate_per_s: float) -> None:
        """Takes in the service's rate over all instances.

        Args:
            rate_per_s: Probes a second.
        """
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._renew()

    def set_members(self, members: int) -> None:
        """Takes in how many instances share the rate; 0 for no part in it."""
        if members != self._members:
            self._members = members
            self._renew()

    def on_silent(self, event: pool_events.ConnectionSilent) -> None:
        """Logs connections that were found silent."""
        logging.warning(
            "gateway: %d connections to %s:%d are silent.",
            event.retired + 1,
            event.host,
            event.port,
        )

    def may_probe(self) -> bool:
        """Whether the budget allows one probe now; spends it."""
        if self._budget is None:
            return False
        return self._budget.take_one(self._clock())

    def _renew(self) -> None:
        self._spent_before = self.spent
        self._budget = None
        if self._rate_per_s <= 0 or not self._members:
            return
        now_s = self._clock()
        self._budget = probe_budget.ProbeBudget(self._rate_per_s, now_s)
        self._budget.set_share(1, self._members, now_s)
