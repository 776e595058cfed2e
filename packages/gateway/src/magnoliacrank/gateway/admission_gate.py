"""AdmissionGate: lets requests of one service wait for their turn."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from magnoliacrank.model import verdict
from magnoliacrank.policy import admission
from magnoliacrank.policy import fair_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.model import request


class Dismissed(enum.Enum):
    """Sentinel: the request has to be carried by another instance."""

    DISMISSED = enum.auto()


Turn = fair_queue.Place | verdict.Verdict | Dismissed
"""End of the wait: a place, the verdict of a refusal, or a dismissal."""


class AdmissionGate:
    """Turns the decisions of admission into futures.

    Args:
        decisions: Admission of the service.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, decisions: admission.Admission, clock: Callable[[], float]
    ) -> None:
        self._decisions = decisions
        self._clock = clock
        self._turns: dict[
            fair_queue.Place,
            asyncio.Future[Turn],
        ] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for their turn."""
        return len(self._turns)

    @property
    def in_flight(self) -> int:
        """Requests that have their turn."""
        return self._decisions.in_flight

    async def enter(self, wanted: request.Request) -> Turn:
        """Waits until a request may be dispatched.

        Args:
            wanted: The request.

        Returns:
            Its place, to be left in the end, or why it has none.
        """
        offer = self._decisions.offer(wanted, self._clock())
        if isinstance(offer, admission.Admitted):
            return offer.place
        if isinstance(offer, admission.Refused):
            return offer.verdict
        turn: asyncio.Future[Turn] = asyncio.get_running_loop().create_future()
        self._turns[offer.place] = turn
        self.pump()
        try:
            return await turn
        except asyncio.CancelledError:
            self._on_cancelled(offer.place, turn)
            raise

    def leave(
        self, place: fair_queue.Place, service_s: float | None = None
    ) -> None:
        """Ends a place; the next request gets its turn.

        Args:
            place: The place.
            service_s: Seconds that a backend server took for the whole
                answer, or None when there was none.
        """
        self._decisions.on_finished(place, service_s)
        self.pump()

    def dismiss(self) -> None:
        """Ends the wait of all requests; other instances shall carry them."""
        for place, turn in list(self._turns.items()):
            self._decisions.cancel(place)
            if not turn.done():
                turn.set_result(Dismissed.DISMISSED)
        self._turns.clear()

    def set_capacity(self, slots: int) -> None:
        """Changes how many requests may be in flight."""
        self._decisions.set_capacity(slots)
        self.pump()

    def pump(self) -> None:
        """Gives turns to waiting requests and refuses those too late."""
        now_s = self._clock()
        for dropped in self._decisions.take_dropped(now_s):
            self._resolve(dropped.place, dropped.verdict)
        ready = self._decisions.next_ready(now_s)
        while ready is not None:
            self._resolve(ready.place, ready.place)
            ready = self._decisions.next_ready(now_s)

    def _resolve(
        self,
        place: fair_queue.Place,
        result: Turn,
    ) -> None:
        turn = self._turns.pop(place, None)
        if turn is not None and not turn.done():
            turn.set_result(result)
        elif isinstance(result, fair_queue.Place):
            self._decisions.on_finished(place, None)

    def _on_cancelled(
        self,
        place: fair_queue.Place,
        turn: asyncio.Future[Turn],
    ) -> None:
        self._turns.pop(place, None)
        if turn.done() and not turn.cancelled():
            self.leave(place)
        else:
            self._decisions.cancel(place)
