"""Announcer: publishes this instance's address, and reads those of others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliacrank.entry import owned_task
from magnoliacrank.platform import store_client
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import announce_schedule

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.platform import instance_settings
    from magnoliacrank.policy import instance_roster

_KEY_PREFIX = "instance/"
_CALL_TIMEOUT_S = 1.0
_TICK_S = 0.2


class _Announcement(msgspec.Struct):
    """Value of an instance's record in the store."""

    ip: str
    """IP address of the instance."""


class Announcer:
    """Peer discovery through the store, for instances without working seeds.

    Seeds are addresses of other instances from the settings. Only a few
    instances write their address to the store. An instance reads the addresses
    while it receives heartbeats from no other instance; the first in the duty
    order rereads them regularly. Heartbeats are then sent to these addresses.

    Args:
        settings: Name, address and seeds of this instance.
        store: Store with the addresses of instances.
        roster: Membership; the addresses that are read are added to it.
        log: Log for failed calls and unreadable records.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        settings: instance_settings.InstanceSettings,
        store: store_client.StoreClient,
        roster: instance_roster.InstanceRoster,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._roster = roster
        self._log = log
        self._clock = clock
        self._schedule = announce_schedule.AnnounceSchedule(
            clock(), has_seeds=bool(settings.seeds)
        )
        self._steps: dict[
            announce_schedule.Step, Callable[[], Awaitable[bool]]
        ] = {
            announce_schedule.Step.ANNOUNCE: self._announce,
            announce_schedule.Step.READ: self._read,
        }
        self._task: asyncio.Task[None] | None = None
        store.add_era_listener(lambda _: self._schedule.on_store_rewound())

    async def start(self) -> None:
        """Starts the background task."""
        self._task = owned_task.spawn_loop(self._run, "announcer", self._log)

    async def close(self) -> None:
        """Stops the background task."""
        await owned_task.stop(self._task)

    async def _run(self) -> None:
        while True:
            now_s = self._clock()
            step = self._schedule.next_step(
                now_s,
                is_alone=self._roster.is_alone(now_s),
                duty_order=self._roster.duty_order(now_s),
            )
            if step is announce_schedule.Step.NONE:
                await asyncio.sleep(_TICK_S)
            elif not await self._steps[step]():
                self._schedule.on_failed(self._clock())

    async def _announce(self) -> bool:
        value = msgspec.json.encode(_Announcement(self._settings.ip))
        result = await self._store.append(
            store_client.MEMBERS_TOPIC,
            _KEY_PREFIX + self._settings.node,
            value,
            _CALL_TIMEOUT_S,
        )
        if not self._succeeded("announcement failed", result):
            return False
        self._schedule.on_announced()
        return True

    async def _read(self) -> bool:
        newest = await self._store.newest(
            store_client.MEMBERS_TOPIC, _CALL_TIMEOUT_S
        )
        if isinstance(newest, store_client.StoreFailure):
            return self._succeeded("instances not read", newest)
        now_s = self._clock()
        for record in newest.records:
            if record.value is None or not record.key.startswith(_KEY_PREFIX):
                continue
            try:
                announcement = msgspec.json.decode(
                    record.value, type=_Announcement
                )
                wire_values.check_ip_address(announcement.ip, "ip")
            except wire_values.MALFORMED_ERRORS as error:
                self._log.warning(
                    "announcement unreadable",
                    key=record.key,
                    reason=str(error),
                )
                continue
            self._roster.add_address(announcement.ip, now_s)
        self._schedule.on_read(now_s)
        return True

    def _succeeded(self, event: str, result: object) -> bool:
        if not isinstance(result, store_client.StoreFailure):
            return True
        self._log.warning(event, reason=result.kind.value, detail=result.detail)
        return False
