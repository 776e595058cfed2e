"""PeriodicTask: calls a function repeatedly, with a fixed delay in between."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.state import owned_task

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class PeriodicTask:
    """Runs a coroutine function periodically in a task of its own.

    An exception of a call is logged and does not end the task.

    Args:
        name: Name of the task, which precedes its log messages.
        period_s: Seconds between the end of a call and the start of the next.
        call: Function that is called.
    """

    def __init__(
        self, name: str, period_s: float, call: Callable[[], Awaitable[None]]
    ) -> None:
        self._name = name
        self._period_s = period_s
        self._call = call
        self._task = owned_task.OwnedTask(name, self._run)

    async def start(self) -> None:
        """Starts the task; the first call is made at once."""
        await self._task.start()

    async def close(self) -> None:
        """Stops the task; a call in progress is cancelled."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            try:
                await self._call()
            except Exception:  # One failed call must not end the task.
                logging.exception("%s: A periodic call failed.", self._name)
            await asyncio.sleep(self._period_s)
