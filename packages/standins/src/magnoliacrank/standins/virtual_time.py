"""Event loop in virtual time, which jumps to the next timer without waiting."""

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
    """All tasks are blocked and no timer is set, so none can ever continue."""


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that use no sockets in virtual time, which starts at 0 s."""

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_TimeAdvancingSelector(self))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advances the virtual time by a number of seconds."""
        self._now_s += seconds


class _TimeAdvancingSelector(selectors.SelectSelector):
    """Advances the loop's virtual time instead of waiting for a timeout."""

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
        self._loop.advance(timeout)
        return events


def run(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine to its end in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
