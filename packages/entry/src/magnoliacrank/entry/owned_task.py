"""Starts and stops background tasks, and logs exceptions that end them."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from magnoliacrank.entry import event_log

FAILURE_EVENT = "task failed"
"""Name of the log line about an exception that ended a task."""

_RESTART_DELAY_S = 0.5
"""Delay before a failed loop is restarted; limits the rate of log lines."""


def spawn(
    work: Coroutine[Any, Any, None], name: str, log: event_log.EventLog
) -> asyncio.Task[None]:
    """Starts a task and logs an exception that ends it.

    Args:
        work: Coroutine that the task runs.
        name: Name of the task in the log.
        log: Log for the exception.
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
    """Starts a task that is restarted after each exception.

    For tasks that an instance depends on: without its reader or heartbeats it
    would keep serving from stale data. Exceptions are logged. The task ends
    when a run returns normally.

    Args:
        run: Returns the coroutine of one run.
        name: Name of the task in the log.
        log: Log for the exceptions.
    """

    async def keep_running() -> None:
        while True:
            try:
                await run()
            except Exception as error:  # Any fault restarts the loop.
                _log_failure(error, name, log)
                await asyncio.sleep(_RESTART_DELAY_S)
            else:
                return

    return spawn(keep_running(), name, log)


async def stop(*tasks: asyncio.Task[None] | None) -> None:
    """Cancels tasks and waits until they have ended; skips None."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


def _log_failure(
    error: BaseException, name: str, log: event_log.EventLog
) -> None:
    log.warning(
        FAILURE_EVENT,
        task=name,
        error=repr(error),
        stack="".join(traceback.format_tb(error.__traceback__)),
    )
