"""Estimates the load that other instances put on a backend server.

The estimate is based on the load reports of the server.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import server

_HALF_LIFE_S = 0.05
"""Time in seconds after which a report counts half."""

_TRUST_GAIN = 0.1
"""Share of the missing trust that a consistent report restores."""

_TRUST_LOSS_FACTOR = 0.5
"""Factor on the trust after an inconsistent report."""

_FROZEN_AFTER_REPORTS = 8
"""Reports of an unchanged load, while the own load changed, after which the
reports count as frozen."""

_DECAY_PER_S = math.log(2.0) / _HALF_LIFE_S


class LoadEstimate:
    """Discounts a server's load reports by their age and their reliability.

    A report below what this instance alone runs there contradicts itself, and
    a load that stays the same while the own load changes is frozen. Both
    reduce the trust in the server's reports; consistent reports restore it.
    """

    __slots__ = (
        "_last_load",
        "_last_own_in_flight",
        "_others_load",
        "_reported_s",
        "_trust",
        "_unchanged_reports",
    )

    def __init__(self) -> None:
        self._others_load = 0.0
        self._reported_s = -math.inf
        self._trust = 1.0
        self._last_load = -1
        self._last_own_in_flight = -1
        self._unchanged_reports = 0

    @property
    def trust(self) -> float:
        """Trust in the server's reports, from 0 to 1."""
        return self._trust

    def on_report(
        self, report: server.LoadReport, own_in_flight: int, now_s: float
    ) -> None:
        """Updates the estimate and the trust with a load report.

        Args:
            report: Load report of the server.
            own_in_flight: Requests of this instance in flight on the server
                when the report was made.
            now_s: Current monotonic time in seconds.
        """
        load = report.in_flight + report.queued
        if load < own_in_flight or self._is_frozen(load, own_in_flight):
            self._trust *= _TRUST_LOSS_FACTOR
        else:
            self._trust += (1.0 - self._trust) * _TRUST_GAIN
        self._others_load = max(0.0, float(load - own_in_flight))
        self._reported_s = now_s

    def others_load(self, now_s: float) -> float:
        """Returns the estimated number of requests of other instances."""
        if self._others_load == 0.0:
            return 0.0
        age_s = now_s - self._reported_s
        return self._others_load * self._trust * math.exp(-_DECAY_PER_S * age_s)

    def _is_frozen(self, load: int, own_in_flight: int) -> bool:
        """Returns whether the reported load seems to be stuck.

        That is so when it has stayed the same although the number of this
        instance's own requests in flight changed at least
        `_FROZEN_AFTER_REPORTS` times from one report to the next.
        """
        if load != self._last_load:
            self._last_load = load
            self._unchanged_reports = 0
        elif own_in_flight != self._last_own_in_flight:
            self._unchanged_reports += 1
        self._last_own_in_flight = own_in_flight
        return self._unchanged_reports >= _FROZEN_AFTER_REPORTS
