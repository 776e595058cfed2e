"""RequestMetrics: request counts and latencies in the Prometheus format."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING

from aioprometheus import collectors
from aioprometheus import renderer
import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


@attrs.frozen
class _Series:
    """Labels of one time series of the request counter."""

    service: ids.ServiceName
    route: str
    outcome: verdict.Verdict


@attrs.define
class _Latencies:
    """Latency histogram of one route: counts by bucket, and the sum."""

    counts: list[int] = attrs.Factory(lambda: [0] * (len(_BUCKETS_S) + 1))
    sum_s: float = 0.0


class RequestMetrics:
    """Counts finished requests by service, route and verdict.

    The request path increments plain integers, which is cheap; they are
    copied to the Prometheus registry at each scrape.
    """

    def __init__(self) -> None:
        self._requests: collections.Counter[_Series] = collections.Counter()
        self._latencies: dict[tuple[str, str], _Latencies] = {}
        self._registry = collectors.Registry()
        self._request_total = collectors.Counter(
            "magnoliacrank_requests_total",
            "Requests by verdict.",
            registry=self._registry,
        )
        self._latency = collectors.Gauge(
            "magnoliacrank_request_duration_seconds_bucket",
            "Requests answered within le seconds.",
            registry=self._registry,
        )

    @property
    def registry(self) -> collectors.Registry:
        """Registry for further metrics of this instance."""
        return self._registry

    def on_finished(
        self,
        service: ids.ServiceName,
        route: str,
        outcome: verdict.Verdict,
        duration_s: float,
    ) -> None:
        """Counts one request.

        Args:
            service: Service of the request.
            route: Name of the request's route.
            outcome: Verdict on the request.
            duration_s: Seconds from the arrival of the request's head to the
                end of its answer.
        """
        self._requests[_Series(service, route, outcome)] += 1
        latencies = self._latencies.get((service, route))
        if latencies is None:
            latencies = _Latencies()
            self._latencies[(service, route)] = latencies
        latencies.counts[bisect.bisect_left(_BUCKETS_S, duration_s)] += 1
        latencies.sum_s += duration_s

    def render(self, accepts: Sequence[str]) -> tuple[bytes, str]:
        """Returns the metrics page and its content type.

        Args:
            accepts: Accept headers of the scrape.
        """
        self._update_collectors()
        content, fields = renderer.render(self._registry, list(accepts))
        return content, fields["Content-Type"]

    def _update_collectors(self) -> None:
        for series, count in self._requests.items():
            labels = {
                "service": str(series.service),
                "route": series.route,
                "verdict": series.outcome.outcome.value,
                "reason": series.outcome.reason.value,
            }
            self._request_total.set(labels, count)
        for (service, route), latencies in self._latencies.items():
            self._update_latency_buckets(service, route, latencies)

    def _update_latency_buckets(
        self, service: str, route: str, latencies: _Latencies
    ) -> None:
        total = 0
        bounds = [*(f"{bound:g}" for bound in _BUCKETS_S), "+Inf"]
        for bound, count in zip(bounds, latencies.counts, strict=True):
            total += count
            labels = {"service": service, "route": route, "le": bound}
            self._latency.set(labels, total)
