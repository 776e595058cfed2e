"""Load of other instances on a backend server, from its aged reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import server

_HALF_LIFE_S = 0.05
_TRUST_GAIN = 0.1
_TRUST_LOSS = 0.5
_FROZEN_REPORTS = 8
_DECAY = math.log(2.0) / _HALF_LIFE_S


class LoadEstimate:
    """Discounts a server's load reports by their age and their record.

    A report below what this instance alone runs there contradicts itself, and
    one that stays the same while the own load changes is frozen. Both cost
    trust; consistent reports earn it back.
    """

    __slots__ = (
        "_last",
        "_others",
        "_own_changes",
        "_own_seen",
        "_reported_s",
        "_trust",
    )

    def __init__(self) -> None:
        self._others = 0.0
        self._reported_s = -math.inf
        self._trust = 1.0
        self._last = -1
        self._own_seen = -1
        self._own_changes = 0

    @property
    def trust(self) -> float:
        """How far the reports are believed, from 0 to 1."""
        return self._trust

    def on_report(
        self, report: server.LoadReport, own_in_flight: int, now_s: float
    ) -> None:
        """Takes in a report.

        Args:
            report: The report.
            own_in_flight: Requests of this instance in flight on the server
                when the report was made.
            now_s: Monotonic time in seconds.
        """
        load = report.in_flight + report.queued
        if load < own_in_flight or self._is_frozen(load, own_in_flight):
            self._trust *= _TRUST_LOSS
        else:
            self._trust += (1.0 - self._trust) * _TRUST_GAIN
        self._others = max(0.0, float(load - own_in_flight))
        self._reported_s = now_s

    def others(self, now_s: float) -> float:
        """Returns the load of others in requests, as far as it is known."""
        if self._others == 0.0:
            return 0.0
        age_s = now_s - self._reported_s
        return self._others * self._trust * math.exp(-_DECAY * age_s)

    def _is_frozen(self, load: int, own_in_flight: int) -> bool:
        if load != self._last:
            self._last = load
            self._own_changes = 0
        elif own_in_flight != self._own_seen:
            self._own_changes += 1
        self._own_seen = own_in_flight
        return self._own_changes >= _FROZEN_REPORTS
