"""Chooses the software version for each request by the shares of a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliacrank.model import ids

_MIN_FALLBACK_SHARE = 0.5
"""Share from which a version may also get requests meant for another one."""


class VersionShares:
    """Keeps each version's part of one route's requests close to its share.

    This is a smooth weighted round robin: each request adds every version's
    share to its credit, and the version with the largest credit gets the
    request, so that short runs of requests keep the shares as well.
    """

    def __init__(self, shares: Mapping[ids.SoftwareVersion, float]) -> None:
        self._shares = {name: part for name, part in shares.items() if part > 0}
        self._credits = dict.fromkeys(self._shares, 0.0)
        self._total = sum(self._shares.values())
        min_share = min(
            _MIN_FALLBACK_SHARE, max(self._shares.values(), default=0.0)
        )
        self._fallback_versions = tuple(
            name for name, part in self._shares.items() if part >= min_share
        )

    @property
    def fallback_versions(self) -> tuple[ids.SoftwareVersion, ...]:
        """Versions that may get requests meant for another one.

        These have at least half of the requests or, if none has, the largest
        share.
        """
        return self._fallback_versions

    def pick(self) -> ids.SoftwareVersion | None:
        """Returns the version for the next request, or None if all are at 0."""
        if not self._shares:
            return None
        for version, part in self._shares.items():
            self._credits[version] += part
        best = max(self._credits, key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return best

    def versions_to_try(
        self, *, is_retry: bool
    ) -> Iterable[ids.SoftwareVersion]:
        """Returns the versions to try for a request, in order.

        A version with a small share never gets more than that, neither from
        retries nor when the other versions are full.
        """
        if is_retry or len(self._shares) == 1:
            return self._fallback_versions
        first = self.pick()
        if first is None:
            return ()
        return (first, *(v for v in self._fallback_versions if v != first))
