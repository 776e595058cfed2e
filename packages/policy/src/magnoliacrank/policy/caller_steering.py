"""Steering of callers: in which data centre they are to connect.

Load pattern: operators take a data centre out, and its callers go on. An
instance there would pass each request and its answer on between data centres;
callers reach the data centres that still serve as quickly themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


def data_centres_for(
    data_centre: str,
    services: Collection[str],
    places: Mapping[str, Collection[str]],
) -> list[str]:
    """Returns the data centres in which callers are to connect.

    Their own one serves them as long as it has a server for any of the
    services that they use.

    Args:
        data_centre: Data centre of the callers.
        services: Services that they use.
        places: By service, the data centres with servers that may get
            requests.
    """
    found = {place for service in services for place in places.get(service, ())}
    if not found or data_centre in found:
        return [data_centre]
    return sorted(found)
