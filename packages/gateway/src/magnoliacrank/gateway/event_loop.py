"""The event loop that instances run on: uvloop, with io_uring disabled."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING
from typing import Any

import uvloop

if TYPE_CHECKING:
    from collections.abc import Coroutine

_IO_URING_VARIABLE = "UV_USE_IO_URING"
"""Environment variable of libuv, read when its first loop starts."""


def disable_io_uring() -> None:
    """Keeps libuv from using io_uring; call it before the first event loop."""
    os.environ[_IO_URING_VARIABLE] = "0"


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a new uvloop event loop that does not use io_uring."""
    disable_io_uring()
    return uvloop.new_event_loop()


def run(main: Coroutine[Any, Any, int]) -> int:
    """Runs a coroutine to its end on a new event loop.

    Args:
        main: Main coroutine of the program; its result is the exit code.

    Returns:
        The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
