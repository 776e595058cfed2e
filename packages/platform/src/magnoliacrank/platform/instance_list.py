"""Instance list: announced entry instances and registered backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


class InstanceListUnavailableError(Exception):
    """The instance list gave no usable answer."""


class InstanceList(Protocol):
    """Entry instances and backend servers; it lags behind what is true."""

    async def fetch(self) -> instance.Announcements:
        """Returns what instances and servers say of themselves.

        Raises:
            InstanceListUnavailableError: There was no usable answer.
        """
        ...

    async def announce(self, entry: instance.EntryInstance) -> None:
        """Announces an instance, or renews its announcement.

        Raises:
            InstanceListUnavailableError: It may not have been announced.
        """
        ...

    async def withdraw(self, instance_id: ids.InstanceId) -> None:
        """Takes an instance off the list.

        Raises:
            InstanceListUnavailableError: It may still be listed.
        """
        ...
