"""DeadlineWatch: ends exchanges at their deadlines with one timer a pool."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.gateway import server_connection


class DeadlineWatch:
    """Ends the exchanges of one pool at their deadlines.

    The timer runs to the earliest deadline. A later one costs nothing when it
    comes, and an exchange that ends in time does not touch the timer.

    Args:
        busy: Connections with a request under way, as kept by the pool.
    """

    def __init__(self, busy: set[server_connection.ServerConnection]) -> None:
        self._busy = busy
        self._timer: asyncio.TimerHandle | None = None
        self._armed_s = math.inf

    def on_sent(self, deadline_s: float) -> None:
        """A request was sent.

        Args:
            deadline_s: Monotonic time in seconds.
        """
        if deadline_s < self._armed_s:
            self._arm(deadline_s)

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._armed_s = math.inf

    def _arm(self, deadline_s: float) -> None:
        self.close()
        self._armed_s = deadline_s
        left_s = max(0.0, deadline_s - time.monotonic())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_s, self._on_timer)

    def _on_timer(self) -> None:
        self.close()
        now_s = time.monotonic()
        for connection in list(self._busy):
            connection.expire(now_s)
        left = [item.deadline_s for item in self._busy]
        future = [deadline_s for deadline_s in left if deadline_s > now_s]
        if future:
            self._arm(min(future))
