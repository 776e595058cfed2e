"""Announcer: makes this instance known, and learns of the others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliacrank.entry import owned_task
from magnoliacrank.platform import store_client

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.platform import settings_file
    from magnoliacrank.policy import crew_roster

_PREFIX = "instance/"
_CALL_TIMEOUT_S = 1.0
_FIRST_PAUSE_S = 0.4
_MAX_PAUSE_S = 3.0


class _Announcement(msgspec.Struct):
    """What the store keeps of an instance."""

    ip: str
    """IP address of the instance."""


class Announcer:
    """Writes this instance to the store once, and reads who else is there.

    Heartbeats do the rest: whoever is sent one knows its sender.

    Args:
        settings: Name and address of this instance.
        store: Where instances are announced.
        roster: Who is sent heartbeats.
        log: Where failures are logged.
        clock: Seconds.
    """

    def __init__(
        self,
        settings: settings_file.InstanceSettings,
        store: store_client.StoreClient,
        roster: crew_roster.CrewRoster,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._roster = roster
        self._log = log
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to announce."""
        self._task = owned_task.spawn_loop(self._run, "announcer", self._log)

    async def close(self) -> None:
        """Stops announcing."""
        await owned_task.stop(self._task)

    async def _run(self) -> None:
        # Announcing comes before reading: of two instances that start
        # together, at least one sees the other.
        await self._until_done(self._announce)
        await self._until_done(self._read)

    async def _until_done(
        self,
        step: Callable[[], Awaitable[bool]],
    ) -> None:
        pause_s = _FIRST_PAUSE_S
        while not await step():
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def _announce(self) -> bool:
        value = msgspec.json.encode(_Announcement(self._settings.ip))
        result = await self._store.append(
            store_client.MEMBERS_TOPIC,
            _PREFIX + self._settings.node,
            value,
            _CALL_TIMEOUT_S,
        )
        return self._succeeded("announcement failed", result)

    async def _read(self) -> bool:
        newest = await self._store.newest(
            store_client.MEMBERS_TOPIC, _CALL_TIMEOUT_S
        )
        if isinstance(newest, store_client.StoreFailure):
            return self._succeeded("instances not read", newest)
        now_s = self._clock()
        for record in newest.records:
            if record.value is None or not record.key.startswith(_PREFIX):
                continue
            try:
                known = msgspec.json.decode(record.value, type=_Announcement)
            except msgspec.DecodeError as error:
                self._log.warning(
                    "announcement unreadable",
                    key=record.key,
                    reason=str(error),
                )
                continue
            self._roster.introduce(known.ip, now_s)
        return True

    def _succeeded(self, event: str, result: object) -> bool:
        if not isinstance(result, store_client.StoreFailure):
            return True
        self._log.warning(event, reason=result.kind.value, detail=result.detail)
        return False
