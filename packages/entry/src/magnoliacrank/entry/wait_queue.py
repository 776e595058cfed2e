"""WaitQueue: requests of one service that wait for a backend server.

Load pattern: all servers are busy. Requests go on by priority and age, and a
few at a time look for a free server, so that health requests stay bounded.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools

MAX_SEARCHING = 3
"""Requests that look for a server at the same time."""

PRIORITY_STEP_S = 0.1
"""Head start of each rank of priority, in seconds of waiting.

Bounded, so that no rank starves another."""


class WaitQueue:
    """A queue by priority and arrival."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._searching = 0
        self._slot_freed = asyncio.Event()

    @property
    def length(self) -> int:
        """Requests that wait or look for a server."""
        return self._searching + sum(
            not future.done() for _, _, future in self._waiting
        )

    async def acquire_turn(
        self, priority: int, arrived_s: float, timeout_s: float
    ) -> bool:
        """Waits for a turn to look for a server; False if none came.

        Args:
            priority: Rank; 0 is the highest.
            arrived_s: Monotonic time of arrival in seconds.
            timeout_s: Longest time to wait.
        """
        if self._searching < MAX_SEARCHING:
            self._searching += 1
            return True
        future: asyncio.Future[None] = asyncio.Future()
        key = arrived_s + priority * PRIORITY_STEP_S
        heapq.heappush(self._waiting, (key, next(self._sequence), future))
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release_turn()
            raise
        return True

    def release_turn(self) -> None:
        """Hands the turn to the next request."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._searching -= 1

    def on_slot_freed(self) -> None:
        """A server has finished a request."""
        self._slot_freed.set()

    async def wait_until_freed(self, timeout_s: float) -> None:
        """Waits until a server finishes a request, or for a while.

        Args:
            timeout_s: Longest time to wait.
        """
        self._slot_freed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._slot_freed.wait()
        except TimeoutError:
            return
