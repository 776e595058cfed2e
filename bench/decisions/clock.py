"""Virtual time: a scheduler of callbacks on a simpy environment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import simpy

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Simulated clock that runs scheduled callbacks in order of time."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now_s(self) -> float:
        """Virtual time in seconds since the start of the run."""
        return self._environment.now

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules one call of a callback after a delay in seconds."""
        timeout = self._environment.timeout(delay_s)
        timeout.callbacks.append(lambda _: callback())

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Calls a callback periodically, first after one period."""

        def run() -> None:
            callback()
            self.after(period_s, run)

        self.after(period_s, run)

    def run(self, until_s: float) -> None:
        """Runs all callbacks that are due before a virtual time."""
        self._environment.run(until=until_s)
