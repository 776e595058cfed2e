"""AdmissionGate: asynchronous admission queue for the requests of a service."""

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


class ForwardToCrew(enum.Enum):
    """Sentinel: a member of the service's crew has to run the request.

    The crew is the set of instances that own slots of the service, and this
    instance is no longer one of them.
    """

    FORWARD_TO_CREW = enum.auto()


AdmissionResult = fair_queue.Place | verdict.Verdict | ForwardToCrew
"""Outcome of waiting: the place of an admitted request, or why it has none.

A refused request has a verdict; one that another instance has to run has
`ForwardToCrew`.
"""


class AdmissionGate:
    """Lets coroutines await the decisions of an admission policy.

    Args:
        admission_policy: Decides which requests of the service are admitted,
            wait or are refused; it does no I/O.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self, admission_policy: admission.Admission, clock: Callable[[], float]
    ) -> None:
        self._admission = admission_policy
        self._clock = clock
        self._waiters: dict[
            fair_queue.Place,
            asyncio.Future[AdmissionResult],
        ] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for admission."""
        return len(self._waiters)

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and have not finished."""
        return self._admission.in_flight

    async def enter(self, incoming: request.Request) -> AdmissionResult:
        """Waits until a request is admitted or refused.

        Args:
            incoming: The request.

        Returns:
            The place of an admitted request, to be passed to `leave` at its
            end; the verdict on a refused one; or `ForwardToCrew`.
        """
        offer = self._admission.offer(incoming, self._clock())
        if isinstance(offer, admission.Admitted):
            return offer.place
        if isinstance(offer, admission.Refused):
            return offer.verdict
        waiter: asyncio.Future[AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[offer.place] = waiter
        self.process_queue()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._on_cancelled(offer.place, waiter)
            raise

    def leave(
        self, place: fair_queue.Place, service_time_s: float | None = None
    ) -> None:
        """Finishes an admitted request and admits waiting ones.

        Args:
            place: Place that `enter` returned for the request.
            service_time_s: Seconds from dispatch until the whole answer was
                delivered, or None if it was not.
        """
        self._admission.on_finished(place, service_time_s)
        self.process_queue()

    def cancel_waiting(self) -> None:
        """Removes all waiting requests; their callers get `ForwardToCrew`."""
        for place, waiter in list(self._waiters.items()):
            self._admission.cancel(place)
            if not waiter.done():
                waiter.set_result(ForwardToCrew.FORWARD_TO_CREW)
        self._waiters.clear()

    def set_capacity(self, slots: int) -> None:
        """Changes the limit on requests in flight and admits waiting ones.

        Args:
            slots: Largest number of admitted, unfinished requests.
        """
        self._admission.set_capacity(slots)
        self.process_queue()

    def process_queue(self) -> None:
        """Admits waiting requests up to the capacity; refuses dropped ones.

        A request is dropped when it can no longer be answered by its deadline
        or has to make room for another one in a full queue.
        """
        now_s = self._clock()
        for dropped in self._admission.take_dropped(now_s):
            self._resolve(dropped.place, dropped.verdict)
        ready = self._admission.admit_next(now_s)
        while ready is not None:
            self._resolve(ready.place, ready.place)
            ready = self._admission.admit_next(now_s)

    def _resolve(
        self,
        place: fair_queue.Place,
        result: AdmissionResult,
    ) -> None:
        waiter = self._waiters.pop(place, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)
        elif isinstance(result, fair_queue.Place):
            self._admission.on_finished(place, None)

    def _on_cancelled(
        self,
        place: fair_queue.Place,
        waiter: asyncio.Future[AdmissionResult],
    ) -> None:
        self._waiters.pop(place, None)
        if waiter.done() and not waiter.cancelled():
            self.leave(place)
        else:
            self._admission.cancel(place)
