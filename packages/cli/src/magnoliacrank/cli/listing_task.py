"""ListingTask: reads the instance list again and again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import periodic_task
from magnoliacrank.model import instance
from magnoliacrank.platform import instance_list
from magnoliacrank.policy import instance_leases

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_LOG_PERIOD_S = 10


class ListingTask:
    """Passes changes of the list on; an outage leaves the last list in force.

    Args:
        source: The list.
        takers: Take each list that differs from the one before.
        period_s: Seconds between two reads.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        source: instance_list.InstanceList,
        takers: Sequence[Callable[[instance.Listing], None]],
        period_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._takers = takers
        self._clock = clock
        self._leases = instance_leases.InstanceLeases()
        self._seen = instance.Listing()
        self._task = periodic_task.PeriodicTask("list", period_s, self._read)

    async def start(self) -> None:
        """Begins to read."""
        await self._task.start()

    async def close(self) -> None:
        """Stops reading."""
        await self._task.close()

    async def _read(self) -> None:
        try:
            announced = await self._source.fetch()
        except instance_list.InstanceListUnavailableError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "list: The instance list is unavailable: %s.",
                _LOG_PERIOD_S,
                error,
            )
            return
        listing = instance.Listing(
            self._leases.current(announced.instances, self._clock()),
            announced.servers,
        )
        if listing == self._seen:
            return
        self._seen = listing
        for take in self._takers:
            take(listing)
