"""Chooses the data centres whose entry instances a caller should connect to.

Load pattern: operators take a data centre out of service while its callers go
on sending. An entry instance there would have to relay each request and its
answer between data centres; callers reach a data centre that still serves just
as quickly themselves.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

_TIME_CONSTANT_S = 10.0
"""Time constant of the lasting share in seconds. Callers cache addresses for
up to three times their lifetime, so a faster share would swing."""

_ENTER_SHARE = 0.05
"""Lasting share from which on callers are steered to another data centre."""

_LEAVE_SHARE = 0.02
"""Lasting share below which they no longer are."""

_MAX_SHARE = 0.3
"""Largest share of look-ups that is steered, whatever the shortage."""

_MAX_AGE_S = 3.0
"""Age in seconds from which a statement is ignored; three heartbeats to
followers."""


def data_centres_for(
    data_centre: str,
    services: Collection[str],
    places: Mapping[str, Collection[str]],
) -> list[str]:
    """Returns the data centres in which callers should connect.

    This is their own data centre as long as it has a server for any of the
    services that they use, or if no data centre has one.

    Args:
        data_centre: Data centre of the callers.
        services: Names of the services that they use.
        places: For each service, the data centres with servers that may get
            requests.
    """
    found = {place for service in services for place in places.get(service, ())}
    if not found or data_centre in found:
        return [data_centre]
    return sorted(found)


@attrs.frozen
class LastingShare:
    """Share of a service's requests that a data centre lastingly lacks."""

    service: str
    """Name of the service."""

    data_centre: str
    """Data centre that has room for them."""

    share: float
    """Share of the requests, from 0 to 1."""

    @property
    def is_usable(self) -> bool:
        """Whether the share is a number from 0 to 1."""
        return 0.0 <= self.share <= 1.0


@attrs.define
class _Average:
    share: float
    updated_s: float
    is_stated: bool = False


class LastingShares:
    """Slow averages of the shares that leave a data centre.

    Steered callers lower the demand from which the share is computed, so about
    half of a lasting shortage is steered and the rest forwarded. An average
    that isn't raised by what it causes can't run away.
    """

    def __init__(self) -> None:
        self._averages: dict[tuple[str, str], _Average] = {}

    def update(
        self, service: str, shares: Mapping[str, float], now_s: float
    ) -> None:
        """Follows the present shares of a service.

        Args:
            service: Name of the service.
            shares: Present share by data centre; 0 for those missing.
            now_s: Current monotonic time in seconds.
        """
        known = {place for name, place in self._averages if name == service}
        for place in known | set(shares):
            average = self._averages.setdefault(
                (service, place), _Average(0.0, now_s)
            )
            elapsed_s = max(now_s - average.updated_s, 0.0)
            weight = 1 - math.exp(-elapsed_s / _TIME_CONSTANT_S)
            average.share += weight * (shares.get(place, 0.0) - average.share)
            average.updated_s = now_s
            limit = _LEAVE_SHARE if average.is_stated else _ENTER_SHARE
            average.is_stated = average.share >= limit

    def stated(self, now_s: float) -> list[LastingShare]:
        """Returns the shares by which callers are to be steered.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return [
            LastingShare(service, place, average.share)
            for (service, place), average in self._averages.items()
            if average.is_stated and now_s - average.updated_s <= _MAX_AGE_S
        ]


class StatedShares:
    """Lasting shares that the instances of the own data centre state."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, list[LastingShare]]] = {}

    def on_report(
        self, node: str, shares: Iterable[LastingShare], now_s: float
    ) -> None:
        """Records what an instance states.

        Args:
            node: Name of the instance.
            shares: Its shares; none if it knows of no shortage.
            now_s: Current monotonic time in seconds.
        """
        found = [share for share in shares if share.is_usable]
        if found:
            self._reports[node] = (now_s, found)
        else:
            self._reports.pop(node, None)

    def steered(
        self, demands: Mapping[str, float], now_s: float
    ) -> dict[str, float]:
        """Returns the share of look-ups that goes to each data centre.

        Args:
            demands: Demand in slots by service, of the services that the
                callers use.
            now_s: Current monotonic time in seconds.
        """
        total = sum(demands.values())
        recent = [
            shares
            for received_s, shares in self._reports.values()
            if now_s - received_s <= _MAX_AGE_S
        ]
        if not total or not recent:
            return {}
        found: dict[str, float] = {}
        for shares in recent:
            for share in shares:
                part = demands.get(share.service, 0.0) / total / len(recent)
                place = share.data_centre
                found[place] = found.get(place, 0.0) + part * share.share
        excess = max(sum(found.values()) / _MAX_SHARE, 1.0)
        return {place: share / excess for place, share in found.items()}


def steered_data_centre(
    steered: Mapping[str, float], draw: float
) -> str | None:
    """Returns the data centre to which a look-up is steered, or None.

    Args:
        steered: Share of look-ups by data centre.
        draw: Random number from 0 to below 1.
    """
    for place, share in sorted(steered.items()):
        if draw < share:
            return place
        draw -= share
    return None
