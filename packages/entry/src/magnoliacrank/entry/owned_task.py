"""Starts tasks whose faults are logged."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from magnoliacrank.entry import event_log


def spawn(
    work: Coroutine[Any, Any, None], name: str, log: event_log.EventLog
) -> asyncio.Task[None]:
    """Starts a task; an exception that ends it is logged.

    Args:
        work: What the task does.
        name: Name of the task, for the log.
        log: Where its fault is logged.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)

    def on_done(done: asyncio.Task[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            log.warning(
                "task failed",
                task=name,
                error=repr(error),
                stack="".join(traceback.format_tb(error.__traceback__)),
            )

    task.add_done_callback(on_done)
    return task


async def stop(*tasks: asyncio.Task[None] | None) -> None:
    """Cancels tasks and waits for their end."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
