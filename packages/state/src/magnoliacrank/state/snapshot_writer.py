"""Snapshot writer: appends snapshots of the log state before records expire."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import messages
from magnoliacrank.state import owned_task
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.state import log_follower

_INTERVAL_S = 600.0
_MAX_RECORDS = 5000
_CHECK_INTERVAL_S = 1.0
_JITTER_FRACTION = 0.2


class SnapshotWriter:
    """Appends a snapshot of the log state when the newest one is too old.

    Every instance runs a writer. A random part of the delay lets one of them
    write first; the others read its snapshot and restart their delay. Two
    snapshots at about the same time are harmless.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        appender: appender_lib.Appender,
        *,
        interval_s: float = _INTERVAL_S,
        max_records: int = _MAX_RECORDS,
        check_interval_s: float = _CHECK_INTERVAL_S,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a writer that does nothing until `start`.

        Args:
            follower: Provides the log state and reports new snapshots.
            appender: Appends the snapshots to the log.
            interval_s: Age of the newest snapshot, in seconds, at which a new
                one is due, apart from the random delay; must be well below
                half of the log's retention time.
            max_records: Number of records after the newest snapshot at which a
                new one is due regardless of age; the random part raises this
                number too.
            check_interval_s: Seconds between checks whether a snapshot is due.
            clock: Returns monotonic time in seconds.
            rng: Source of the random delay; a new one when None.
        """
        self._follower = follower
        self._appender = appender
        self._interval_s = interval_s
        self._max_records = max_records
        self._check_interval_s = check_interval_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._last_snapshot_s = clock()
        self._jitter = self._rng.random()
        self._snapshot_count = 0
        self._task = owned_task.OwnedTask("snapshot-writer", self._run)
        follower.subscribe(self._on_message)

    @property
    def snapshot_count(self) -> int:
        """Number of snapshots that this instance appended."""
        return self._snapshot_count

    async def start(self) -> None:
        """Starts the task that checks whether a snapshot is due."""
        await self._task.start()

    async def close(self) -> None:
        """Stops writing snapshots."""
        await self._task.close()

    def _on_message(self, message: messages.StateMessage) -> None:
        if isinstance(message, messages.SnapshotRecorded):
            self._last_snapshot_s = self._clock()
            self._jitter = self._rng.random()

    async def _run(self) -> None:
        await self._follower.wait_until_ready()
        while True:
            if self._is_due():
                await self._append_snapshot()
            await asyncio.sleep(self._check_interval_s)

    def _is_due(self) -> bool:
        state = self._follower.state
        if not self._follower.readiness.is_ready or state.next_offset == 0:
            return False
        jitter_factor = 1.0 + _JITTER_FRACTION * self._jitter
        if state.next_offset - state.snapshot_covers >= (
            self._max_records * jitter_factor
        ):
            return True
        return (
            self._clock() - self._last_snapshot_s
            >= self._interval_s * jitter_factor
        )

    async def _append_snapshot(self) -> None:
        state = self._follower.state
        result = await self._appender.append(
            records.SnapshotRecord(state),
            append_id=f"snapshot-{state.next_offset}",
        )
        if isinstance(result, appender_lib.Appended):
            self._snapshot_count += 1
            logging.info(
                "state: Appended a snapshot up to offset %d.",
                state.next_offset,
            )
