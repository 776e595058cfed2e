"""DeadlineWatch: fails the expired exchanges of a pool, with a single timer."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.gateway import server_connection


class DeadlineWatch:
    """Fails the exchanges of one connection pool at their deadlines.

    The timer is set to the earliest deadline. It is not changed by a request
    with a later deadline nor by an exchange that ends in time, which keeps
    the cost of a request low.

    Args:
        busy: The pool's own set of connections with a request in progress;
            the pool keeps it up to date.
    """

    def __init__(self, busy: set[server_connection.ServerConnection]) -> None:
        self._busy = busy
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline_s = math.inf

    def on_sent(self, deadline_s: float) -> None:
        """Sets the timer if a request that was sent has an earlier deadline.

        Args:
            deadline_s: Deadline on the monotonic clock, in seconds.
        """
        if deadline_s < self._timer_deadline_s:
            self._arm(deadline_s)

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_deadline_s = math.inf

    def _arm(self, deadline_s: float) -> None:
        self.close()
        self._timer_deadline_s = deadline_s
        left_s = max(0.0, deadline_s - time.monotonic())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_s, self._on_timer)

    def _on_timer(self) -> None:
        self.close()
        now_s = time.monotonic()
        for connection in list(self._busy):
            connection.expire(now_s)
        deadlines_s = [item.deadline_s for item in self._busy]
        future = [
            deadline_s for deadline_s in deadlines_s if deadline_s > now_s
        ]
        if future:
            self._arm(min(future))
