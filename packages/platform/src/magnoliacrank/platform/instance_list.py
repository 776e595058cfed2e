"""Instance list: the platform's lagging list of live and leaving instances."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import instance


class InstanceListUnavailableError(Exception):
    """The instance list gave no usable answer."""


class InstanceList(Protocol):
    """The platform's list of entry instances and backend servers."""

    async def fetch(self) -> instance.Listing:
        """Returns the list; it lags behind what is true.

        Raises:
            InstanceListUnavailableError: There was no usable answer.
        """
        ...

    async def close(self) -> None:
        """Releases the connections to the platform."""
        ...
