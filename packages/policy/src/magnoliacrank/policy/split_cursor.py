"""SplitCursor: spreads a route's requests over services by weight.

Load pattern: few requests a second on a route with uneven weights, where
random choice strays from the weights.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.model import route_plan


class SplitCursor:
    """Smooth weighted round robin over the shares of one route.

    Args:
        shares: Services with their weights.
        offset: Start within a round, from 0 to 1, so that instances differ.
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
        """Returns the service that the next request goes to."""
        for index, step in enumerate(self._steps):
            self._credits[index] += step
        best = max(range(len(self._steps)), key=self._credits.__getitem__)
        self._credits[best] -= 1.0
        return self._shares[best].service
