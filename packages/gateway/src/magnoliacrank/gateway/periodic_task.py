"""PeriodicTask: calls a function at a fixed period."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.state import owned_task

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class PeriodicTask:
    """Owns one task; a call that fails is logged and does not end it.

    Args:
        name: Name of the part, for the log.
        period_s: Seconds between the end of a call and the next.
        call: What is done each time.
    """

    def __init__(
        self, name: str, period_s: float, call: Callable[[], Awaitable[None]]
    ) -> None:
        self._name = name
        self._period_s = period_s
        self._call = call
        self._task = owned_task.OwnedTask(name, self._run)

    async def start(self) -> None:
        """Begins to call."""
        await self._task.start()

    async def close(self) -> None:
        """Stops; a call in progress is cancelled."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            try:
                await self._call()
            except Exception:  # One fault must not end the part.
                logging.exception("%s: A periodic call failed.", self._name)
            await asyncio.sleep(self._period_s)
