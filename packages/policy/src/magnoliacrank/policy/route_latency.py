"""Usual latency of routes, to which single backend servers are compared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import quantile_tracker

if TYPE_CHECKING:
    from magnoliacrank.model import ids

_INITIAL_LATENCY_S = 0.02
"""Latency in seconds that is assumed before the first answer."""

_LATE_FACTOR = 2.0
"""Least multiple of the median from which a request counts as late."""


class RouteLatency:
    """Tracks the median and the 95th percentile of a route's served answers."""

    __slots__ = ("_median", "_tail")

    def __init__(self) -> None:
        self._median = quantile_tracker.QuantileTracker(0.5)
        self._tail = quantile_tracker.QuantileTracker(0.95)

    @property
    def expected_s(self) -> float:
        """Median latency in seconds."""
        return self._median.value or _INITIAL_LATENCY_S

    @property
    def late_s(self) -> float:
        """Age in seconds above which an unfinished request counts as late."""
        return max(self._tail.value, _LATE_FACTOR * self.expected_s)

    def add(self, latency_s: float) -> None:
        """Adds the latency of one served answer in seconds."""
        self._median.add(latency_s)
        self._tail.add(latency_s)


class RouteLatencies:
    """Usual latency by route and data centre.

    The data centre is part of the key, so that network distance does not count
    as slowness of a server.
    """

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, ids.DataCentre], RouteLatency] = {}

    def for_route(
        self, route: str, data_centre: ids.DataCentre
    ) -> RouteLatency:
        """Returns the usual latency of a route in a data centre."""
        key = (route, data_centre)
        latency = self._latencies.get(key)
        if latency is None:
            latency = RouteLatency()
            self._latencies[key] = latency
        return latency
