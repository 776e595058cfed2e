"""EntryMetrics: counters and latencies of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors
from aioprometheus.formats import text
from hdrh import histogram

if TYPE_CHECKING:
    from collections.abc import Callable

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class EntryMetrics:
    """Counters, gauges and latencies, rendered in Prometheus' text format."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._requests = self._counter(
            "magnoliacrank_requests_total", "Requests by route and outcome."
        )
        self._refusals = self._counter(
            "magnoliacrank_refusals_total", "Own refusals by reason."
        )
        self._rejections = self._counter(
            "magnoliacrank_rejections_total",
            "Requests rejected for lack of servers, by service and priority.",
        )
        self._crossings = self._counter(
            "magnoliacrank_crossings_total",
            "Requests to servers of other data centres.",
        )
        self._crossing_bytes = self._counter(
            "magnoliacrank_crossing_bytes_total",
            "Expected bytes of these requests and their answers.",
        )
        self._spillover_shares = self._gauge(
            "magnoliacrank_spillover_share",
            "Share of requests for which the data centre lacks servers.",
        )
        self._gauges = self._gauge(
            "magnoliacrank_state", "Ages in seconds and counts by name."
        )
        self._latency = self._gauge(
            "magnoliacrank_latency_seconds", "Latency by quantile."
        )
        self._histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )
        self._gauge_sources: dict[str, Callable[[], float]] = {}

    def add_gauge(self, name: str, source: Callable[[], float]) -> None:
        """Adds a gauge whose value is read when metrics are rendered.

        Args:
            name: Value of the gauge's `name` label.
            source: Returns the current value.
        """
        self._gauge_sources[name] = source

    def on_request(self, route: str, outcome: str, duration_s: float) -> None:
        """Counts a finished request and records its latency.

        Args:
            route: Name of its route; empty if no route matched.
            outcome: Verdict of the request, HTTP status of a refusal, or
                `caller-left`.
            duration_s: Time from arrival to the end, in seconds.
        """
        self._requests.inc({"route": route, "outcome": outcome})
        self._histogram.record_value(max(int(duration_s * 1e6), _LOWEST_US))

    def on_refusal(self, reason: str) -> None:
        """Counts a request that this instance refused."""
        self._refusals.inc({"reason": reason})

    def on_rejection(self, service: str, priority: int, cause: str) -> None:
        """Counts a request that was rejected for lack of servers.

        Args:
            service: Name of its service.
            priority: Its priority; 0 is the most urgent.
            cause: What decided, as in the log line of the refusal.
        """
        self._rejections.inc(
            {"service": service, "priority": str(priority), "cause": cause}
        )

    def on_crossing(self, service: str, data_centre: str, size: int) -> None:
        """Counts a request that is sent to another data centre.

        Args:
            service: Service that executes the request.
            data_centre: Data centre of the server.
            size: Size of its body plus the expected size of its answer.
        """
        labels = {"service": service, "data_centre": data_centre}
        self._crossings.inc(labels)
        self._crossing_bytes.add(labels, size)

    def set_spillover_share(self, service: str, share: float) -> None:
        """Sets the share of a service's requests that is to leave."""
        self._spillover_shares.set({"service": service}, share)

    def render(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        for name, source in self._gauge_sources.items():
            self._gauges.set({"name": name}, source())
        for quantile in _QUANTILES:
            value_us = self._histogram.get_value_at_percentile(quantile)
            self._latency.set({"quantile": f"{quantile:g}"}, value_us / 1e6)
        return bytes(text.TextFormatter().marshall(self._registry))

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> collectors.Gauge:
        return collectors.Gauge(name, doc, registry=self._registry)
