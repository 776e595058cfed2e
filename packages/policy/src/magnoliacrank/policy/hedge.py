"""Decides when to hedge an idempotent request by sending a second copy."""

from __future__ import annotations

from magnoliacrank.model import request
from magnoliacrank.policy import quantile_tracker

_DELAY_QUANTILE = 0.97
"""Quantile of a route's latency after which a request is hedged."""

_TRAFFIC_SHARE = 0.03
"""Hedges as a share of requests."""

_MAX_TOKENS = 5.0
"""Capacity of the hedge budget, in hedges."""

_MIN_ANSWERS = 50
"""Answers of a route that are needed before its requests are hedged."""


class Hedger:
    """Hedging delays by route, and the hedge budget of one service.

    Requests earn tokens and hedges spend them, so hedges stay a share of the
    traffic however slow the backend servers become.
    """

    def __init__(self, traffic_share: float = _TRAFFIC_SHARE) -> None:
        self._traffic_share = traffic_share
        self._tokens = 0.0
        self._latencies: dict[str, quantile_tracker.QuantileTracker] = {}
        self._answer_counts: dict[str, int] = {}

    def on_request(self) -> None:
        """Adds the share of one caller's request to the hedge budget."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._traffic_share)

    def on_answer(self, route: str, latency_s: float) -> None:
        """Records the latency of a served answer in seconds."""
        tracker = self._latencies.get(route)
        if tracker is None:
            tracker = quantile_tracker.QuantileTracker(_DELAY_QUANTILE)
            self._latencies[route] = tracker
        tracker.add(latency_s)
        self._answer_counts[route] = self._answer_counts.get(route, 0) + 1

    def delay_s(
        self, route: str, request_class: request.RequestClass
    ) -> float | None:
        """Returns the seconds after which to hedge, or None for never."""
        if request_class is not request.RequestClass.IDEMPOTENT:
            return None
        if self._answer_counts.get(route, 0) < _MIN_ANSWERS:
            return None
        return self._latencies[route].value

    @property
    def can_spend(self) -> bool:
        """Whether the budget covers one hedge."""
        return self._tokens >= 1.0

    def try_spend(self) -> bool:
        """Spends one hedge of the budget; returns False if it is used up."""
        if not self.can_spend:
            return False
        self._tokens -= 1.0
        return True
