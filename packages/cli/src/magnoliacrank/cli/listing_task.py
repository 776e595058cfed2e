"""ListingTask: polls the instance list and reports its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import periodic_task
from magnoliacrank.model import instance
from magnoliacrank.platform import instance_list
from magnoliacrank.policy import instance_leases
from magnoliacrank.policy import lost_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_LOG_PERIOD_S = 10


class ListingTask:
    """Polls the instance list and calls listeners when it has changed.

    Instances whose lease has expired are left out. While the list can't be
    read, the last listing stays in force.

    Args:
        source: Instance list to poll.
        listeners: Called with each listing that differs from the last one.
        period_s: Seconds between the end of a read and the next read.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        source: instance_list.InstanceList,
        listeners: Sequence[Callable[[instance.LiveListing], None]],
        period_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._listeners = listeners
        self._clock = clock
        self._leases = instance_leases.InstanceLeases()
        self._lost = lost_entries.LostEntries()
        self._last_listing = instance.LiveListing()
        self._task = periodic_task.PeriodicTask("list", period_s, self._read)

    async def start(self) -> None:
        """Starts polling."""
        await self._task.start()

    async def close(self) -> None:
        """Stops polling."""
        await self._task.close()

    async def _read(self) -> None:
        try:
            announced = self._lost.complete(
                await self._source.fetch(), self._clock()
            )
        except instance_list.InstanceListUnavailableError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "list: The instance list is unavailable: %s.",
                _LOG_PERIOD_S,
                error,
            )
            return
        listing = instance.LiveListing(
            self._leases.current(announced.instances, self._clock()),
            announced.servers,
        )
        if listing == self._last_listing:
            return
        self._last_listing = listing
        for listener in self._listeners:
            listener(listing)
