"""Event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

_Result = TypeVar("_Result")


class NothingScheduledError(Exception):
    """Every task waits for something that no timer brings about."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that use no sockets in virtual time, from 0 s on."""

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def jump(self, seconds: float) -> None:
        """Advances the virtual time."""
        self._now_s += seconds


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's time where it would have waited."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise NothingScheduledError
        self._loop.jump(timeout)
        return events


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
