"""WaitQueue: requests of one service that wait for a backend server.

Load pattern: all servers are busy. Requests proceed in the order of
`policy.wait_order`, and only a few search for a free server at a time, so that
the rate of health requests stays bounded. A more urgent request takes the turn
of a less urgent one.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import wait_order
from magnoliacrank.policy import wait_policy

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_SEARCHING = 3
"""Maximum number of requests of a service that search for a server
concurrently. A request whose turn was taken ends the search that it is in."""


class Ending(enum.Enum):
    """Why a request left the queue without a turn."""

    TIMED_OUT = "timed-out"
    """Its deadline for waiting has passed."""

    EVICTED = "evicted"
    """The requests before it left it no time."""


@attrs.define(eq=False)
class Turn:
    """Right of one request to search for a free backend server."""

    place: wait_order.Place
    """Place of the request."""

    is_revoked: bool = False
    """Whether a more urgent request has taken the turn."""


class WaitQueue:
    """Queue for turns to search for a free backend server.

    At most `MAX_SEARCHING` requests hold a turn, the others wait.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.order = wait_order.WaitOrder()
        self._clock = clock
        self._futures: dict[
            wait_order.Place, asyncio.Future[Turn | Ending]
        ] = {}
        self._turns: list[Turn] = []
        self._slot_freed = asyncio.Event()

    @property
    def length(self) -> int:
        """Number of requests that wait for a turn or hold one."""
        return len(self._turns) + len(self.order)

    def line(self, place: wait_order.Place) -> wait_policy.Line:
        """Returns the queue as a request sees it that may join.

        Args:
            place: Place of the request, which doesn't wait yet.
        """
        now_s = self._clock()
        return wait_policy.Line(
            ahead=self._turns_before(place) + self.order.ahead(place, now_s),
            waiting=self.length,
        )

    async def acquire_turn(self, place: wait_order.Place) -> Turn | Ending:
        """Waits for a turn to search for a server.

        Args:
            place: Place of the request.

        Returns:
            The turn, to be passed to `release_turn`, or why there is none.
        """
        if len(self._turns) < MAX_SEARCHING or self._revoke_turn(place):
            return self._grant(place)
        future: asyncio.Future[Turn | Ending] = asyncio.Future()
        self._futures[place] = future
        self.order.add(place)
        left_s = place.demand.wait_deadline_s - self._clock()
        try:
            async with asyncio.timeout(left_s):
                return await future
        except TimeoutError:
            self._leave(place, future)
            return Ending.TIMED_OUT
        except asyncio.CancelledError:
            self._leave(place, future)
            raise

    def release_turn(self, turn: Turn) -> None:
        """Ends a turn, and grants one to the next waiting request.

        Args:
            turn: The turn; nothing happens if it has been revoked.
        """
        if turn.is_revoked:
            return
        self._turns.remove(turn)
        while (place := self.order.pop_next(self._clock())) is not None:
            future = self._futures.pop(place)
            # The caller may have left, or the time be up, in this very step.
            if not future.done():
                future.set_result(self._grant(place))
                return

    def evict_overtaken(
        self,
        place: wait_order.Place,
        should_evict: Callable[
            [wait_order.Demand, wait_policy.Line, float], bool
        ],
    ) -> None:
        """Evicts requests that go after a new one, which leaves them no time.

        Args:
            place: Place of the request that is about to join.
            should_evict: Decides on a waiting request, given the queue and
                the time in seconds; as `WaitPolicy.should_evict`.
        """
        now_s = self._clock()
        for other, before in self.order.last_of_each_level(place, now_s):
            if other.level < place.level:
                # A priority that was hardly served goes first, but by itself.
                continue
            # The new request counts as well.
            ahead = self._turns_before(other) + before + 1
            line = wait_policy.Line(ahead, self.length)
            if should_evict(other.demand, line, now_s):
                self.evict(other)

    def evict(self, place: wait_order.Place) -> None:
        """Ends the wait of a request that waits for a turn."""
        if self.order.remove(place):
            future = self._futures.pop(place)
            if not future.done():
                future.set_result(Ending.EVICTED)

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

    def _grant(self, place: wait_order.Place) -> Turn:
        turn = Turn(place)
        self._turns.append(turn)
        return turn

    def _revoke_turn(self, place: wait_order.Place) -> bool:
        """Takes the turn of the least urgent request, if it is less urgent."""
        now_s = self._clock()
        last = max(
            self._turns, key=lambda turn: self.order.rank(turn.place, now_s)
        )
        if not self.order.precedes(place, last.place, now_s):
            return False
        last.is_revoked = True
        self._turns.remove(last)
        return True

    def _turns_before(self, place: wait_order.Place) -> int:
        """Returns the number of turns that a request may not take."""
        now_s = self._clock()
        return sum(
            not self.order.precedes(place, turn.place, now_s)
            for turn in self._turns
        )

    def _leave(
        self, place: wait_order.Place, future: asyncio.Future[Turn | Ending]
    ) -> None:
        """Removes a request; passes on a turn that it has got meanwhile."""
        self._futures.pop(place, None)
        self.order.remove(place)
        if future.done() and not future.cancelled():
            result = future.result()
            if isinstance(result, Turn):
                self.release_turn(result)
