"""Placement: which of the backend servers just asked gets a request.

Load pattern: neighbours slow a server several times over, anew every 150 ms,
so only a report from this very moment says anything.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import crowding

if TYPE_CHECKING:
    from magnoliacrank.model import backend_entry

GOOD_SLOWDOWN = 1.5
"""Slowdown up to which a free server is taken without asking others."""

_USUAL_PACE = 1.6
"""Pace up to which a server counts as keeping its promise."""

_UNKNOWN_CROWDING = 1.2
"""Cost factor of a nearly full server where no slowdown is known."""

_REMOTE_COST = 1.1
"""Cost factor of a server in another data centre."""

_REMOTE_COST_PER_MB = 8.0
"""Further cost factor of each megabyte between data centres."""


class Fit(enum.IntEnum):
    """How well a server suits, best first."""

    GOOD = 0
    """Free and at its usual speed."""

    SLOW = 1
    """Free and slowed down."""

    FULL = 2
    """All slots are taken."""

    UNFIT = 3
    """Not healthy."""


@attrs.frozen
class Rating:
    """Comparable rating of one server; the least is the best."""

    fit: Fit
    """How well it suits."""

    cost: float
    """Expected duration in units of usual work."""

    @property
    def order(self) -> tuple[int, float]:
        """Sort key."""
        return (self.fit, self.cost)


def rate(
    report: backend_entry.LoadReport,
    sent_since: int,
    pace: float,
    crowding_factor: float,
    *,
    is_remote: bool,
    transfer_bytes: int,
) -> Rating:
    """Rates a server by its newest report.

    Args:
        report: What it said.
        sent_since: Requests sent to it since, by this instance.
        pace: Duration of its work against what it promises.
        crowding_factor: Duration at nearly full servers against others.
        is_remote: Whether it stands in another data centre.
        transfer_bytes: Size of the bodies of the request and its answer.
    """
    if not report.is_healthy:
        return Rating(Fit.UNFIT, 1.0)
    cost = report.slowdown * max(pace / _USUAL_PACE, 1.0)
    if is_remote:
        cost *= _REMOTE_COST + _REMOTE_COST_PER_MB * transfer_bytes / 1e6
    if not report.tells_load:
        return Rating(Fit.GOOD, cost * (1 + sent_since))
    busy = report.running + report.waiting + sent_since
    if busy >= report.slots:
        return Rating(Fit.FULL, cost * (1 + (busy + 1) / report.slots))
    if crowding.is_nearly_full(busy + 1, report.slots):
        if not crowding.is_last_slot_worth_using(report.slots, crowding_factor):
            return Rating(Fit.FULL, cost * crowding_factor)
        cost *= max(crowding_factor, _UNKNOWN_CROWDING)
    if cost <= GOOD_SLOWDOWN:
        return Rating(Fit.GOOD, cost)
    return Rating(Fit.SLOW, cost)
