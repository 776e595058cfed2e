"""InstanceList: interface to the list of instances and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


class InstanceListUnavailableError(Exception):
    """The instance list can't be reached or gave no usable response."""


class InstanceList(Protocol):
    """List of announced entry instances and registered backend servers.

    The list lags behind the actual state.
    """

    async def fetch(self) -> instance.Announcements:
        """Returns the listed entry instances and backend servers.

        Raises:
            InstanceListUnavailableError: There was no usable response.
        """
        ...

    async def announce(self, entry: instance.EntryInstance) -> None:
        """Announces an entry instance, or renews its announcement.

        Raises:
            InstanceListUnavailableError: The announcement may not be listed.
        """
        ...

    async def withdraw(self, instance_id: ids.InstanceId) -> None:
        """Removes an entry instance from the list.

        Raises:
            InstanceListUnavailableError: The instance may still be listed.
        """
        ...
