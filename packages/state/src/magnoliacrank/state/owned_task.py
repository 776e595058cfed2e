"""Wrapper for a component's background task."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine


class OwnedTask:
    """Background asyncio task that runs from `start` to `close`.

    Args:
        name: Name of the task, for debugging.
        run: Coroutine function that the task runs.
    """

    def __init__(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        self._name = name
        self._run = run
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the task."""
        self._task = asyncio.create_task(self._run(), name=self._name)

    async def close(self) -> None:
        """Cancels the task and waits for its end; idempotent."""
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
