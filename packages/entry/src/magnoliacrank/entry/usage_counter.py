"""UsageCounter: counts the requests of customers by window of true time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from magnoliacrank.policy import true_time
from magnoliacrank.policy import usage_windows

if TYPE_CHECKING:
    from collections.abc import Callable


class UsageCounter:
    """Counts the requests of this instance that backend servers began to run.

    Args:
        window_s: Length of a window in seconds.
        late_s: Seconds after the end of a window until which it is due.
        clock: Returns the monotonic time in seconds.
        is_enabled: Whether usage has to be reported; if not, nothing is
            counted.
        time_of_day: Returns the seconds since 1970 by the machine's clock.
    """

    def __init__(
        self,
        window_s: float,
        late_s: float,
        clock: Callable[[], float],
        *,
        is_enabled: bool,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.window_s = window_s
        self.late_s = late_s
        self.kept_windows = usage_windows.windows_to_keep(window_s, late_s)
        self.meter = usage_windows.UsageMeter(self.kept_windows)
        self.clock = clock
        self._is_enabled = is_enabled
        self._time_of_day = time_of_day
        self._true_time = true_time.TrueTime()

    @property
    def clocks(self) -> list[str]:
        """Names of the instances whose clocks were heard of."""
        return self._true_time.nodes

    def unix_s(self) -> float:
        """Returns the estimated seconds since 1970 in true time."""
        return self._true_time.unix_s(self.clock(), self._time_of_day())

    def current_window(self) -> int:
        """Returns the number of the current window."""
        return usage_windows.window_at(self.unix_s(), self.window_s)

    def left_s(self, window: int) -> float:
        """Returns the seconds until the usage of a window is due."""
        return (window + 1) * self.window_s + self.late_s - self.unix_s()

    def on_peer_time(self, node: str, time_ms: int) -> None:
        """Records the time of day that a heartbeat states.

        Args:
            node: Name of the sender.
            time_ms: Milliseconds since 1970 by the sender's clock.
        """
        if self._is_enabled:
            self._true_time.on_peer_time(node, time_ms / 1000, self.clock())

    def add(self, customer: str) -> int | None:
        """Counts a request that is about to be sent to a server.

        Args:
            customer: Name of the customer; empty if unknown.

        Returns:
            The window in which it was counted, or None if it wasn't.
        """
        if not self._is_enabled or not customer:
            return None
        window = self.current_window()
        self.meter.add(customer, window)
        return window

    def withdraw(self, customer: str, window: int | None) -> None:
        """Takes back a request that the server did not run.

        Args:
            customer: Name of the customer.
            window: The window that `add` returned.
        """
        if window is not None:
            self.meter.withdraw(customer, window)
