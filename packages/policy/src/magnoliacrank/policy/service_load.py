"""Measures how much load each service has, here and at other instances.

Load pattern: the requests for one service exceed what its backend servers can
run, at some instances or in some data centres only. Rates over about a second,
sent with the heartbeats, let each instance see where room is left.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

_WINDOW_S = 1.0
"""Sliding window over which rates are measured, in seconds."""

_MAX_AGE_S = 3.0
"""Age in seconds from which another instance's report is ignored."""

LOWEST_PRIORITY = 255
"""Priority number that no request exceeds; nothing is shed at this level."""


@attrs.frozen
class ServiceLoad:
    """Load of one service at one instance over the last second."""

    service: str
    """Name of the service."""

    demand_per_s: float
    """Requests that arrived from callers, per second."""

    placed_per_s: float
    """Requests that were sent to backend servers, retries included, per
    second."""

    rejected_per_s: float
    """Requests that were rejected for lack of backend servers, per second."""

    work_s: float
    """Mean execution time at a server's usual speed, in seconds."""

    waiting: int
    """Requests that wait for a server."""

    admitted_priority: int = LOWEST_PRIORITY
    """Largest priority number that the instance admits; 0 is the most
    urgent."""

    @property
    def is_usable(self) -> bool:
        """Whether all numbers are finite and not negative."""
        rates = (
            self.demand_per_s,
            self.placed_per_s,
            self.rejected_per_s,
            self.work_s,
        )
        return all(0 <= rate < math.inf for rate in rates)


class _Rate:
    """Number of events within a sliding window."""

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque()

    def add(self, now_s: float) -> None:
        self._times_s.append(now_s)
        self._drop_expired(now_s)

    def per_s(self, now_s: float) -> float:
        self._drop_expired(now_s)
        return len(self._times_s) / _WINDOW_S

    def _drop_expired(self, now_s: float) -> None:
        while self._times_s and self._times_s[0] < now_s - _WINDOW_S:
            self._times_s.popleft()


class _ServiceCounters:
    """Counts of one service at this instance."""

    def __init__(self) -> None:
        self.arrivals = _Rate()
        self.placements = _Rate()
        self.rejections = _Rate()
        self.work_s = 0.0


class ServiceLoadMeter:
    """Counts the requests of each service at this instance."""

    def __init__(self) -> None:
        self._counters: dict[str, _ServiceCounters] = {}

    def on_arrival(self, service: str, work_s: float, now_s: float) -> None:
        """Counts a request from a caller.

        Args:
            service: Service that is to execute the request.
            work_s: Expected execution time in seconds.
            now_s: Current monotonic time in seconds.
        """
        counters = self._of(service)
        counters.arrivals.add(now_s)
        if not counters.work_s:
            counters.work_s = work_s
        counters.work_s += 0.05 * (work_s - counters.work_s)

    def on_placed(self, service: str, now_s: float) -> None:
        """Counts a request that is sent to a backend server."""
        self._of(service).placements.add(now_s)

    def on_rejected(self, service: str, now_s: float) -> None:
        """Counts a request that is rejected for lack of backend servers."""
        self._of(service).rejections.add(now_s)

    def load(
        self,
        service: str,
        waiting: int,
        now_s: float,
        admitted_priority: int = LOWEST_PRIORITY,
    ) -> ServiceLoad:
        """Returns the load of a service at this instance.

        Args:
            service: Name of the service.
            waiting: Requests of the service that wait now.
            now_s: Current monotonic time in seconds.
            admitted_priority: Largest priority number that is admitted here.
        """
        counters = self._of(service)
        return ServiceLoad(
            service=service,
            demand_per_s=counters.arrivals.per_s(now_s),
            placed_per_s=counters.placements.per_s(now_s),
            rejected_per_s=counters.rejections.per_s(now_s),
            work_s=counters.work_s,
            waiting=waiting,
            admitted_priority=admitted_priority,
        )

    def services(self) -> list[str]:
        """Returns the services that this instance had requests for."""
        return list(self._counters)

    def _of(self, service: str) -> _ServiceCounters:
        return self._counters.setdefault(service, _ServiceCounters())


@attrs.frozen
class _Report:
    data_centre: str
    received_s: float
    loads: dict[str, ServiceLoad]


class ServiceLoadRegister:
    """Loads that other instances report, by service and data centre."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def on_report(
        self,
        node: str,
        data_centre: str,
        loads: Iterable[ServiceLoad],
        now_s: float,
    ) -> None:
        """Records the loads that another instance reports.

        Args:
            node: Name of the instance.
            data_centre: Data centre of the instance.
            loads: Its loads; a service that is missing has none there.
            now_s: Current monotonic time in seconds.
        """
        self._reports[node] = _Report(
            data_centre,
            now_s,
            {load.service: load for load in loads if load.is_usable},
        )

    def loads(
        self, service: str, now_s: float
    ) -> list[tuple[str, ServiceLoad]]:
        """Returns the recent loads of a service at other instances.

        Args:
            service: Name of the service.
            now_s: Current monotonic time in seconds.

        Returns:
            Data centre and load, one item for each instance.
        """
        self._drop_expired(now_s)
        return [
            (report.data_centre, report.loads[service])
            for report in self._reports.values()
            if service in report.loads
        ]

    def data_centres(self, now_s: float) -> set[str]:
        """Returns the data centres from which recent reports have arrived.

        Args:
            now_s: Current monotonic time in seconds.
        """
        self._drop_expired(now_s)
        return {report.data_centre for report in self._reports.values()}

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            node
            for node, report in self._reports.items()
            if report.received_s < now_s - _MAX_AGE_S
        ]
        for node in expired:
            del self._reports[node]
