"""AdmissionLevel: priority at which a service is short, agreed by instances.

Load pattern: many instances place requests on the same backend servers, and
these are short. At one instance urgent requests find no server while another,
which has only less urgent ones, takes each slot that becomes free: the order of
one queue says nothing of the others.

Each instance reports the level at which it is short itself; the heartbeats
carry it. Less urgent requests than the agreed level yield: they don't take a
server on arrival and search less often, so that a free slot is found by the
urgent first, wherever they wait. They are not rejected for the level: a report
that is wrong or stale costs them some hundredths of a second, and room that
the urgent leave is used.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import service_load

if TYPE_CHECKING:
    from collections.abc import Iterable

LOWEST_PRIORITY = service_load.LOWEST_PRIORITY

_WINDOW_S = 1.0
"""Sliding window over which shortage is counted, in seconds."""

_SHORT_SHARE = 0.05
"""Share of the requests up to a priority that get no server, from which that
priority is short."""

_MIN_SHORT = 3
"""Number of such requests from which a priority is short."""

_HOLD_S = 1.5
"""Time in seconds for which a level holds after the last sign of a shortage.
It bridges the pauses of heartbeats and of a shortage that the level relieves,
so that the level doesn't go up and down with each of them."""

_MIN_DEMAND_SHARE = 0.1
"""Share of the demand whose instances have to be short for a level to count. A
single instance that is cut off from its servers lowers the level of none that
has most of the callers."""

_MAX_AGE_S = 2.0
"""Time in seconds after which an agreed level lapses unless it is renewed."""

_MIN_YIELD_S = 0.015
"""Least pause between the searches of requests that yield, in seconds."""

_MAX_YIELD_S = 0.06
"""Pause between their searches while these find no free server, in seconds;
five times that of others."""

_MAX_YIELD_SHARE = 0.25
"""Longest such pause as a share of the time that a request may still wait."""


@attrs.frozen
class _Sample:
    at_s: float
    priority: int
    is_short: bool


def agreed_level(
    own: service_load.ServiceLoad, others: Iterable[service_load.ServiceLoad]
) -> int:
    """Returns the most urgent level that enough of the demand is short at.

    Where beliefs differ, those of instances with more callers count more.

    Args:
        own: Load of the service at this instance.
        others: Its loads at other instances, as recently reported.
    """
    loads = sorted((own, *others), key=lambda load: load.admitted_priority)
    demand = sum(load.demand_per_s for load in loads)
    short = 0.0
    for load in loads:
        if load.admitted_priority >= LOWEST_PRIORITY:
            break
        short += load.demand_per_s
        if short >= _MIN_DEMAND_SHARE * demand and short > 0:
            return load.admitted_priority
    return LOWEST_PRIORITY


class AdmissionLevel:
    """Level at which one service is short, here and as agreed."""

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()
        self._own = LOWEST_PRIORITY
        self._short_s = float("-inf")
        self._agreed = LOWEST_PRIORITY
        self._agreed_s = float("-inf")
        self._yield_s = _MAX_YIELD_S

    def on_outcome(
        self, priority: int, now_s: float, *, is_short: bool
    ) -> None:
        """Records a request that could have been in time.

        Args:
            priority: Its priority; 0 is the most urgent.
            now_s: Current monotonic time in seconds.
            is_short: Whether it got no server.
        """
        self._samples.append(_Sample(now_s, priority, is_short))
        self._drop_expired(now_s)

    def own_level(self, now_s: float) -> int:
        """Returns the level at which the service is short at this instance.

        Args:
            now_s: Current monotonic time in seconds.
        """
        self._drop_expired(now_s)
        level = self._short_level()
        if level <= self._own or now_s - self._short_s >= _HOLD_S:
            self._own = level
            self._short_s = now_s
        return self._own

    def agree(self, level: int, now_s: float) -> None:
        """Sets the agreed level, which lapses unless it is set again.

        Args:
            level: As `agreed_level` returns it.
            now_s: Current monotonic time in seconds.
        """
        self._agreed = level
        self._agreed_s = now_s

    def level(self, now_s: float) -> int:
        """Returns the largest priority number that doesn't yield.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if now_s - self._agreed_s > _MAX_AGE_S:
            return LOWEST_PRIORITY
        return self._agreed

    def on_search(self, *, found: bool) -> None:
        """Records whether a request that yields found a free server.

        Those that find one search more often: the urgent leave room.
        """
        pause_s = self._yield_s / 2 if found else _MAX_YIELD_S
        self._yield_s = max(pause_s, _MIN_YIELD_S)

    def yield_s(self, left_s: float) -> float:
        """Returns how long a request that yields pauses before a search.

        Args:
            left_s: Time in seconds for which it may still wait.
        """
        return max(min(self._yield_s, left_s * _MAX_YIELD_SHARE), 0.0)

    def _short_level(self) -> int:
        """Returns the most urgent priority that is short in the window."""
        asked = short = 0
        for priority in sorted({item.priority for item in self._samples}):
            for item in self._samples:
                asked += item.priority == priority
                short += item.priority == priority and item.is_short
            if short >= max(_MIN_SHORT, _SHORT_SHARE * asked):
                return priority
        return LOWEST_PRIORITY

    def _drop_expired(self, now_s: float) -> None:
        while self._samples and self._samples[0].at_s < now_s - _WINDOW_S:
            self._samples.popleft()
