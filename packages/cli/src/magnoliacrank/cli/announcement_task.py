"""AnnouncementTask: keeps an instance's announcement in the store renewed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
import attrs

from magnoliacrank.gateway import periodic_task
from magnoliacrank.model import server
from magnoliacrank.platform import instance_list
from magnoliacrank.policy import instance_leases

if TYPE_CHECKING:
    from magnoliacrank.model import instance

_TICK_S = 0.2
"""Time within which a change is announced, and a failed call is repeated."""


class AnnouncementTask:
    """Announces an instance, renews its lease and withdraws it at the end.

    Args:
        announced: Where instances are announced.
        own: The instance.
    """

    def __init__(
        self,
        announced: instance_list.InstanceList,
        own: instance.EntryInstance,
    ) -> None:
        self._announced = announced
        self._own = own
        self._ticks_left = 0
        self._task = periodic_task.PeriodicTask("list", _TICK_S, self._tick)

    async def start(self) -> None:
        """Begins to announce."""
        await self._task.start()

    def leave(self) -> None:
        """Announces that the instance is leaving."""
        self._own = attrs.evolve(self._own, state=server.ListedState.LEAVING)
        self._ticks_left = 0

    async def close(self) -> None:
        """Withdraws the instance; without the store its lease runs out."""
        await self._task.close()
        try:
            await self._announced.withdraw(self._own.instance_id)
        except instance_list.InstanceListUnavailableError as error:
            logging.warning("list: Not withdrawn: %s.", error)

    async def _tick(self) -> None:
        if self._ticks_left > 0:
            self._ticks_left -= 1
            return
        own = self._own
        try:
            await self._announced.announce(own)
        except instance_list.InstanceListUnavailableError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "list: Not announced: %s.", 10, error
            )
            return
        if own is self._own:
            self._ticks_left = round(instance_leases.RENEWAL_S / _TICK_S)
