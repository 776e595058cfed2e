"""Chooses the data centres whose entry instances a caller should connect to.

Load pattern: operators take a data centre out of service while its callers go
on sending. An entry instance there would have to relay each request and its
answer between data centres; callers reach a data centre that still serves just
as quickly themselves.
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
