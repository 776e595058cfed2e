"""WaitQueue: requests of one service that wait for a backend server.

Load pattern: all servers are busy. Requests proceed by priority and age, and
only a few search for a free server at a time, so that the rate of health
requests stays bounded.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliacrank.entry import placement_request

MAX_SEARCHING = 3
"""Maximum number of requests of a service that search for a server
concurrently."""

PRIORITY_STEP_S = 0.1
"""Head start over the next lower priority, in seconds of waiting.

The head start is finite, so that no priority starves another."""


class WaitQueue:
    """Priority queue for turns to search for a free backend server.

    At most `MAX_SEARCHING` requests hold a turn. The others wait in order of
    their caller's first attempt plus a delay for lower priorities; those that
    can no longer be in time come after all that can.
    """

    def __init__(self) -> None:
        self._waiting: list[
            tuple[tuple[bool, float], int, asyncio.Future[None]]
        ] = []
        self._sequence = itertools.count()
        self._searching = 0
        self._slot_freed = asyncio.Event()

    @property
    def length(self) -> int:
        """Number of requests that wait for a turn or hold one."""
        return self._searching + sum(
            not future.done() for _, _, future in self._waiting
        )

    async def acquire_turn(
        self, request: placement_request.PlacementRequest, now_s: float
    ) -> bool:
        """Waits for a turn to search for a server.

        Args:
            request: The request.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the request got a turn before its wait deadline. If so, the
            caller has to call `release_turn`.
        """
        if self._searching < MAX_SEARCHING:
            self._searching += 1
            return True
        future: asyncio.Future[None] = asyncio.Future()
        key = (
            request.is_late(now_s),
            request.asked_s + request.priority * PRIORITY_STEP_S,
        )
        heapq.heappush(self._waiting, (key, next(self._sequence), future))
        try:
            async with asyncio.timeout(request.wait_deadline_s - now_s):
                await future
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release_turn()
            raise
        return True

    def release_turn(self) -> None:
        """Ends the caller's turn and gives it to the next waiting request."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._searching -= 1

    def on_slot_freed(self) -> None:
        """Wakes requests that wait for a server to finish a request."""
        self._slot_freed.set()

    async def wait_until_freed(self, timeout_s: float) -> None:
        """Waits until a server of the service finishes a request.

        Args:
            timeout_s: Time in seconds after which it returns in any case.
        """
        self._slot_freed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._slot_freed.wait()
        except TimeoutError:
            return
