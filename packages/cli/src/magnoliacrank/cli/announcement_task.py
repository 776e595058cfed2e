"""AnnouncementTask: keeps an instance's lease in the instance list renewed."""

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
"""Seconds between checks whether an announcement is due; a change of state is
announced, and a failed announcement repeated, within this time."""


class AnnouncementTask:
    """Registers an entry instance in the instance list and renews its lease.

    Readers of the list drop an instance whose lease has expired.

    Args:
        registry: Instance list to which the announcements are written.
        own: The instance to announce.
    """

    def __init__(
        self,
        registry: instance_list.InstanceList,
        own: instance.EntryInstance,
    ) -> None:
        self._registry = registry
        self._own = own
        self._ticks_until_renewal = 0
        self._task = periodic_task.PeriodicTask("list", _TICK_S, self._tick)

    async def start(self) -> None:
        """Starts the periodic announcements."""
        await self._task.start()

    def leave(self) -> None:
        """Marks the instance as leaving in its next announcement.

        The announcement is made at the task's next check.
        """
        self._own = attrs.evolve(self._own, state=server.ListedState.LEAVING)
        self._ticks_until_renewal = 0

    async def close(self) -> None:
        """Stops the announcements and removes the instance from the list.

        If the store can't be reached, the entry stays until its lease expires.
        """
        await self._task.close()
        try:
            await self._registry.withdraw(self._own.instance_id)
        except instance_list.InstanceListUnavailableError as error:
            logging.warning(
                "list: Could not withdraw the announcement: %s.", error
            )

    async def _tick(self) -> None:
        if self._ticks_until_renewal > 0:
            self._ticks_until_renewal -= 1
            return
        own = self._own
        try:
            await self._registry.announce(own)
        except instance_list.InstanceListUnavailableError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "list: Not announced: %s.",
                10,
                error,
            )
            return
        if own is self._own:
            self._ticks_until_renewal = round(
                instance_leases.RENEWAL_S / _TICK_S
            )
