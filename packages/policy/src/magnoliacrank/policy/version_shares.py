"""Picks the software version for a request by the shares of a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliacrank.model import ids

_MAJORITY = 0.5


class VersionShares:
    """Keeps each version's part of one route's requests close to its share.

    Each request adds every version's share to its credit and the largest
    credit is served, so that short runs of requests keep the shares as well.
    """

    def __init__(self, shares: Mapping[ids.SoftwareVersion, float]) -> None:
        self._shares = {name: part for name, part in shares.items() if part > 0}
        self._credits = dict.fromkeys(self._shares, 0.0)
        self._total = sum(self._shares.values())
        bound = min(_MAJORITY, max(self._shares.values(), default=0.0))
        self._majority = tuple(
            name for name, part in self._shares.items() if part >= bound
        )

    @property
    def majority(self) -> tuple[ids.SoftwareVersion, ...]:
        """Versions that may take over the requests of another one."""
        return self._majority

    def pick(self) -> ids.SoftwareVersion | None:
        """Returns the version for the next request, None when all are at 0."""
        if not self._shares:
            return None
        for version, part in self._shares.items():
            self._credits[version] += part
        best = max(self._credits, key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return best

    def order(self, *, is_retry: bool) -> Iterable[ids.SoftwareVersion]:
        """Returns the versions to try, in order.

        A version on a small share gets no more than it, neither from retries
        nor when the others are full.
        """
        if is_retry or len(self._shares) == 1:
            return self._majority
        first = self.pick()
        if first is None:
            return ()
        return (first, *(v for v in self._majority if v != first))
