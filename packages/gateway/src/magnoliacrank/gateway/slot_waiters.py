"""SlotWaiters: queue of admitted requests that wait for a free slot.

A slot is a permission for one concurrent request on one backend server.
"""

from __future__ import annotations

import asyncio
import collections


class SlotWaiters:
    """Queue of waiting requests, which are woken in order of arrival."""

    def __init__(self) -> None:
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def count(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    async def wait(self, timeout_s: float) -> None:
        """Waits until woken or until a timeout.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def wake(self, count: int) -> None:
        """Wakes requests, those that have waited longest first.

        Args:
            count: Largest number of requests to wake.
        """
        while count > 0 and self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                count -= 1

    def wake_all(self) -> None:
        """Wakes all waiting requests."""
        self.wake(len(self._waiters))
