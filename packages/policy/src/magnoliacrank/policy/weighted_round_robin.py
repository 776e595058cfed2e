"""Splits the requests of a route over services by weight.

Load pattern: few requests per second on a route with uneven weights, where
a random choice would deviate from the weights.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import route_plan


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of one route.

    Args:
        shares: Services with their weights.
        offset: Start position within a round, from 0 to 1, so that instances
            differ.
    """

    def __init__(
        self,
        shares: tuple[route_plan.ServiceShare, ...],
        offset: float,
    ) -> None:
        total = sum(share.weight for share in shares)
        self._shares = shares
        self._steps = [share.weight / total for share in shares]
        self._credits = [step * offset for step in self._steps]

    @property
    def shares(self) -> tuple[route_plan.ServiceShare, ...]:
        """Services with their weights."""
        return self._shares

    def next_service(self) -> str:
        """Returns the service for the next request."""
        for index, step in enumerate(self._steps):
            self._credits[index] += step
        best = max(range(len(self._steps)), key=self._credits.__getitem__)
        self._credits[best] -= 1.0
        return self._shares[best].service
