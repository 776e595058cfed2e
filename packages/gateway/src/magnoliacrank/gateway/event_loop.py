"""The event loop of the product: uvloop, with io_uring switched off."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING
from typing import Any

import uvloop

if TYPE_CHECKING:
    from collections.abc import Coroutine

_IO_URING_VARIABLE = "UV_USE_IO_URING"
"""Environment variable that libuv reads when its first loop starts."""


def disable_io_uring() -> None:
    """Forbids io_uring to libuv; has to come before the first loop."""
    os.environ[_IO_URING_VARIABLE] = "0"


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Returns a new uvloop event loop that does not use io_uring."""
    disable_io_uring()
    return uvloop.new_event_loop()


def run(main: Coroutine[Any, Any, int]) -> int:
    """Runs a coroutine to its end on a new event loop.

    Args:
        main: The program.

    Returns:
        The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
