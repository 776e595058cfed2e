"""Starts tasks whose faults are logged."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from magnoliacrank.entry import event_log

_RESTART_DELAY_S = 0.5
"""Pause before a loop that failed is started again; it bounds the log."""


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
            _log_failure(error, name, log)

    task.add_done_callback(on_done)
    return task


def spawn_loop(
    run: Callable[[], Coroutine[Any, Any, None]],
    name: str,
    log: event_log.EventLog,
) -> asyncio.Task[None]:
    """Starts a task that an instance can't do without.

    An exception is logged, and the work started again: an instance whose
    reader or heartbeats have ended would go on with what it knew.

    Args:
        run: Returns the work; it ends only with an exception or when done.
        name: Name of the task, for the log.
        log: Where its faults are logged.
    """

    async def keep_running() -> None:
        while True:
            try:
                await run()
            except Exception as error:  # One fault must not end the part.
                _log_failure(error, name, log)
                await asyncio.sleep(_RESTART_DELAY_S)
            else:
                return

    return spawn(keep_running(), name, log)


async def stop(*tasks: asyncio.Task[None] | None) -> None:
    """Cancels tasks and waits for their end."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


def _log_failure(
    error: BaseException, name: str, log: event_log.EventLog
) -> None:
    log.warning(
        "task failed",
        task=name,
        error=repr(error),
        stack="".join(traceback.format_tb(error.__traceback__)),
    )
