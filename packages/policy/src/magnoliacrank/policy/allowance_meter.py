"""Enforces each customer's request rate and concurrency on one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import configuration
    from magnoliacrank.model import ids

_BURST_S = 1.0
"""Seconds of a customer's rate that its token bucket holds."""

_MIN_BURST = 4.0
"""Least capacity of a token bucket, in requests."""


@attrs.define
class _CustomerUsage:
    """Token bucket and number of requests in flight of one customer."""

    rate_per_s: float
    concurrency: int
    tokens: float
    refilled_s: float
    in_flight: int = 0

    @property
    def burst(self) -> float:
        """Capacity of the token bucket, in requests."""
        return max(_MIN_BURST, self.rate_per_s * _BURST_S)

    def refill(self, now_s: float) -> None:
        """Adds the tokens earned since the last refill."""
        passed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(self.burst, self.tokens + passed_s * self.rate_per_s)
        self.refilled_s = max(self.refilled_s, now_s)


class AllowanceMeter:
    """Limits the request rate and the concurrency of each customer.

    An allowance is what a customer may use over all instances; this instance
    grants a fraction of it. A customer without an allowance is not limited.
    """

    def __init__(self) -> None:
        """Creates a meter without allowances."""
        self._usage_by_customer: dict[ids.CustomerId, _CustomerUsage] = {}

    def set_allowances(
        self,
        allowances: Iterable[configuration.Allowance],
        fraction: float,
        now_s: float,
    ) -> None:
        """Replaces the allowances.

        Customers that still have one keep their count of requests in flight.

        Args:
            allowances: Allowances over all instances.
            fraction: Fraction of each allowance that this instance may grant.
            now_s: Current monotonic time in seconds.
        """
        usage_by_customer = {}
        for allowance in allowances:
            rate_per_s = allowance.rate_per_s * fraction
            concurrency = max(1, int(allowance.concurrency * fraction))
            usage = self._usage_by_customer.get(allowance.customer)
            if usage is None:
                usage = _CustomerUsage(rate_per_s, concurrency, 0.0, now_s)
                usage.tokens = usage.burst
            usage.refill(now_s)
            usage.rate_per_s = rate_per_s
            usage.concurrency = concurrency
            usage_by_customer[allowance.customer] = usage
        self._usage_by_customer = usage_by_customer

    def take_token(self, customer: ids.CustomerId, now_s: float) -> bool:
        """Takes one token of a customer's rate; False if none is left."""
        usage = self._usage_by_customer.get(customer)
        if usage is None:
            return True
        usage.refill(now_s)
        if usage.tokens < 1.0:
            return False
        usage.tokens -= 1.0
        return True

    def can_start(self, customer: ids.CustomerId) -> bool:
        """Returns whether a customer may have one more request in flight."""
        usage = self._usage_by_customer.get(customer)
        return usage is None or usage.in_flight < usage.concurrency

    def on_started(self, customer: ids.CustomerId) -> None:
        """Counts a request of a customer as in flight."""
        usage = self._usage_by_customer.get(customer)
        if usage is not None:
            usage.in_flight += 1

    def on_finished(self, customer: ids.CustomerId) -> None:
        """Counts a request of a customer as no longer in flight."""
        usage = self._usage_by_customer.get(customer)
        if usage is not None:
            usage.in_flight = max(0, usage.in_flight - 1)
