"""Snapshot writer: keeps a snapshot in the log before records expire."""

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
_CHECK_S = 1.0
_JITTER_PART = 0.2


class SnapshotWriter:
    """Appends the fold so far when the newest snapshot is old.

    Every instance runs one; a random delay makes one of them the first, and
    the others see its snapshot and wait anew. Two snapshots do no harm.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        appender: appender_lib.Appender,
        *,
        interval_s: float = _INTERVAL_S,
        max_records: int = _MAX_RECORDS,
        check_s: float = _CHECK_S,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Sets up the writer.

        Args:
            follower: Owner of the fold.
            appender: Way into the log.
            interval_s: Seconds between snapshots; well below half of the time
                for which the log keeps records.
            max_records: Records after which a snapshot is due in any case.
            check_s: Seconds between looks.
            clock: Monotonic time in seconds.
            rng: Source of the random delay.
        """
        self._follower = follower
        self._appender = appender
        self._interval_s = interval_s
        self._max_records = max_records
        self._check_s = check_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._seen_s = clock()
        self._jitter = self._rng.random()
        self._snapshot_count = 0
        self._task = owned_task.OwnedTask("snapshot-writer", self._run)
        follower.subscribe(self._on_message)

    @property
    def snapshot_count(self) -> int:
        """Snapshots that this instance appended."""
        return self._snapshot_count

    async def start(self) -> None:
        """Begins to watch the age of the newest snapshot."""
        await self._task.start()

    async def close(self) -> None:
        """Stops."""
        await self._task.close()

    def _on_message(self, message: messages.StateMessage) -> None:
        if isinstance(message, messages.SnapshotRecorded):
            self._seen_s = self._clock()
            self._jitter = self._rng.random()

    async def _run(self) -> None:
        await self._follower.wait_until_ready()
        while True:
            if self._is_due():
                await self._append()
            await asyncio.sleep(self._check_s)

    def _is_due(self) -> bool:
        state = self._follower.state
        if not self._follower.readiness.is_ready or state.next_offset == 0:
            return False
        stretch = 1.0 + _JITTER_PART * self._jitter
        if state.next_offset - state.snapshot_covers >= (
            self._max_records * stretch
        ):
            return True
        return self._clock() - self._seen_s >= self._interval_s * stretch

    async def _append(self) -> None:
        state = self._follower.state
        result = await self._appender.append(
            records.SnapshotRecord(state),
            append_id=f"snapshot-{state.next_offset}",
        )
        if isinstance(result, appender_lib.Appended):
            self._snapshot_count += 1
            logging.info(
                "state: Appended a snapshot up to %d.", state.next_offset
            )
