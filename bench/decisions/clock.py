"""Virtual time: callbacks on a simpy environment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import simpy

if TYPE_CHECKING:
    from collections.abc import Callable


class Clock:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._environment.now

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls back after a delay."""
        timeout = self._environment.timeout(delay_s)
        timeout.callbacks.append(lambda _: callback())

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Calls back periodically."""

        def run() -> None:
            callback()
            self.after(period_s, run)

        self.after(period_s, run)

    def run(self, until_s: float) -> None:
        """Runs up to a virtual time."""
        self._environment.run(until=until_s)
