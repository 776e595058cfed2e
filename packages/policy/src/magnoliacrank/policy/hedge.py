"""Decides when a second copy of an idempotent request is worth its cost."""

from __future__ import annotations

from magnoliacrank.model import request
from magnoliacrank.policy import quantile_tracker

_QUANTILE = 0.97
_TRAFFIC_SHARE = 0.03
_MAX_TOKENS = 5.0
_MIN_ANSWERS = 50


class Hedger:
    """Hedging delay from the observed latency, budget from the traffic.

    One per service. Requests earn tokens and hedges spend them, so hedges
    stay a share of traffic however slow the backend servers become.
    """

    def __init__(self, traffic_share: float = _TRAFFIC_SHARE) -> None:
        self._traffic_share = traffic_share
        self._tokens = 0.0
        self._latencies: dict[str, quantile_tracker.QuantileTracker] = {}
        self._answers: dict[str, int] = {}

    def on_request(self) -> None:
        """Earns budget for one request of a caller."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._traffic_share)

    def on_answer(self, route: str, latency_s: float) -> None:
        """Takes in the latency of a served answer in seconds."""
        tracker = self._latencies.get(route)
        if tracker is None:
            tracker = quantile_tracker.QuantileTracker(_QUANTILE)
            self._latencies[route] = tracker
        tracker.add(latency_s)
        self._answers[route] = self._answers.get(route, 0) + 1

    def delay_s(
        self, route: str, request_class: request.RequestClass
    ) -> float | None:
        """Returns after how many seconds to hedge, or None for never."""
        if request_class is not request.RequestClass.IDEMPOTENT:
            return None
        if self._answers.get(route, 0) < _MIN_ANSWERS:
            return None
        return self._latencies[route].value

    @property
    def can_spend(self) -> bool:
        """Whether the budget covers one hedge."""
        return self._tokens >= 1.0

    def try_spend(self) -> bool:
        """Takes the budget for one hedge; False when it is used up."""
        if not self.can_spend:
            return False
        self._tokens -= 1.0
        return True
