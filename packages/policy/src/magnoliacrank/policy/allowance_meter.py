"""Allowance meter: one instance's share of what each customer may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import configuration
    from magnoliacrank.model import ids

_BURST_S = 1.0
_LEAST_BURST = 4.0


@attrs.define
class _Meter:
    """Use of one customer."""

    rate_per_s: float
    concurrency: int
    tokens: float
    filled_s: float
    in_flight: int = 0

    @property
    def burst(self) -> float:
        """Most requests at once after a quiet time."""
        return max(_LEAST_BURST, self.rate_per_s * _BURST_S)

    def fill(self, now_s: float) -> None:
        """Adds the tokens of the time that passed."""
        passed_s = max(0.0, now_s - self.filled_s)
        self.tokens = min(self.burst, self.tokens + passed_s * self.rate_per_s)
        self.filled_s = max(self.filled_s, now_s)


class AllowanceMeter:
    """Rate and concurrency of each customer on this instance.

    A customer without an allowance is not limited here.
    """

    def __init__(self) -> None:
        """Starts without allowances."""
        self._meters: dict[ids.CustomerId, _Meter] = {}

    def set_allowances(
        self,
        allowances: Iterable[configuration.Allowance],
        fraction: float,
        now_s: float,
    ) -> None:
        """Changes the allowances; what is in flight stays counted.

        Args:
            allowances: Allowances over all instances.
            fraction: Part of each that this instance may grant.
            now_s: Monotonic time in seconds.
        """
        meters = {}
        for allowance in allowances:
            rate_per_s = allowance.rate_per_s * fraction
            concurrency = max(1, int(allowance.concurrency * fraction))
            meter = self._meters.get(allowance.customer)
            if meter is None:
                meter = _Meter(rate_per_s, concurrency, 0.0, now_s)
                meter.tokens = meter.burst
            meter.fill(now_s)
            meter.rate_per_s = rate_per_s
            meter.concurrency = concurrency
            meters[allowance.customer] = meter
        self._meters = meters

    def take_token(self, customer: ids.CustomerId, now_s: float) -> bool:
        """Uses one request of the rate; False when none is left."""
        meter = self._meters.get(customer)
        if meter is None:
            return True
        meter.fill(now_s)
        if meter.tokens < 1.0:
            return False
        meter.tokens -= 1.0
        return True

    def can_start(self, customer: ids.CustomerId) -> bool:
        """Returns whether one more request may be in flight."""
        meter = self._meters.get(customer)
        return meter is None or meter.in_flight < meter.concurrency

    def on_started(self, customer: ids.CustomerId) -> None:
        """Counts a request in flight."""
        meter = self._meters.get(customer)
        if meter is not None:
            meter.in_flight += 1

    def on_finished(self, customer: ids.CustomerId) -> None:
        """Counts a request as no longer in flight."""
        meter = self._meters.get(customer)
        if meter is not None:
            meter.in_flight = max(0, meter.in_flight - 1)
