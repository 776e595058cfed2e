"""OverloadQueue: places the requests of one service, or queues or rejects them.

Carries out what `policy.wait_policy` decides on the load of the service.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import placement_request as placement_requests
from magnoliacrank.entry import wait_queue
from magnoliacrank.policy import admission_level
from magnoliacrank.policy import return_schedule
from magnoliacrank.policy import wait_order
from magnoliacrank.policy import wait_policy

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from magnoliacrank.entry import backend_table
    from magnoliacrank.policy import service_load

    FindBackend = Callable[
        [placement_requests.PlacementRequest],
        Awaitable[backend_table.Backend | None],
    ]
    ConfirmBackend = Callable[
        [placement_requests.PlacementRequest, backend_table.Backend], bool
    ]

Cause = wait_policy.Cause

POLL_S = 0.012
"""Interval at which a request that holds a turn searches for a server."""

_CAUSES = {
    wait_queue.Ending.TIMED_OUT: Cause.TIME_IS_UP,
    wait_queue.Ending.EVICTED: Cause.EVICTED,
}


class OverloadQueue:
    """Places requests of one service in the order of their urgency.

    Args:
        find_backend: Searches once for a free server.
        confirm_backend: Returns whether a given server is free and good for a
            request, which then counts as found.
        clock: Returns the monotonic time in seconds.
        rng: Random numbers for spreading retries.
    """

    def __init__(
        self,
        find_backend: FindBackend,
        confirm_backend: ConfirmBackend,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.queue = wait_queue.WaitQueue(clock)
        self._find_backend = find_backend
        self._confirm_backend = confirm_backend
        self._freed: backend_table.Backend | None = None
        self._clock = clock
        self._rng = rng
        self.level = admission_level.AdmissionLevel()
        self._policy = wait_policy.WaitPolicy()

    async def place(
        self, request: placement_requests.PlacementRequest
    ) -> backend_table.Backend | placement_requests.Rejection:
        """Finds a server for a request and counts the request as in flight.

        Args:
            request: Requirements of the request.

        Returns:
            The server, or the reason why there is none.
        """
        now_s = self._clock()
        place = wait_order.Place(request, request.is_late(now_s))
        if request.may_wait:
            self.queue.order.shares.on_asked(request.priority, now_s)
        line = self.queue.line(place)
        decision = self._policy.on_arrival(request, line, now_s)
        if decision.step is wait_policy.Step.SEARCH and (
            not request.may_wait or not self._yields(request)
        ):
            backend = await self._find_backend(request)
            if backend is not None:
                return self._record_placement(request, backend)
        if decision.cause is Cause.LATE:
            return self._reject(request, decision)
        return await self._wait(request, place)

    def agree(
        self,
        own: service_load.ServiceLoad,
        others: list[service_load.ServiceLoad],
        now_s: float,
    ) -> None:
        """Applies the loads that instances report of the service.

        Args:
            own: Load at this instance.
            others: Loads at other instances.
            now_s: Clock time in seconds.
        """
        level = admission_level.agreed_level(own, others)
        self.level.agree(level, now_s)
        self._policy.on_peer_loads(others, now_s)

    def on_slot_freed(self, backend: backend_table.Backend) -> None:
        """Wakes waiting requests after a server has ended a request."""
        self._freed = backend
        self.queue.on_slot_freed()

    async def _wait(
        self,
        request: placement_requests.PlacementRequest,
        place: wait_order.Place,
    ) -> backend_table.Backend | placement_requests.Rejection:
        """Waits for turns until a server is found or the request is rejected.

        A request whose turn is taken by a more urgent one waits for another.
        """
        while True:
            line = self.queue.line(place)
            decision = self._policy.on_busy(request, line, self._clock())
            if decision.step is wait_policy.Step.REJECT:
                return self._reject(request, decision)
            self.queue.evict_overtaken(place, self._policy.should_evict)
            turn = await self.queue.acquire_turn(place)
            if isinstance(turn, wait_queue.Ending):
                return self._reject_waiting(request, place, _CAUSES[turn])
            try:
                found = await self._search(request, turn)
            finally:
                self.queue.release_turn(turn)
            if found is not None:
                return found

    async def _search(
        self,
        request: placement_requests.PlacementRequest,
        turn: wait_queue.Turn,
    ) -> backend_table.Backend | placement_requests.Rejection | None:
        """Searches until the turn is revoked; returns None then."""
        while True:
            yields = self._yields(request)
            if yields:
                left_s = request.wait_deadline_s - self._clock()
                await asyncio.sleep(self.level.yield_s(left_s))
            backend = None if yields else self._take_freed(request)
            if backend is None:
                backend = await self._find_backend(request)
            if yields:
                self.level.on_search(found=backend is not None)
            if backend is not None:
                return self._record_placement(request, backend)
            if self._clock() + POLL_S > request.wait_deadline_s:
                return self._reject_waiting(
                    request, turn.place, Cause.TIME_IS_UP
                )
            if turn.is_revoked:
                return None
            if not yields:
                await self.queue.wait_until_freed(POLL_S)

    def _take_freed(
        self, request: placement_requests.PlacementRequest
    ) -> backend_table.Backend | None:
        """Returns the server that has just ended a request, if it is good.

        Its answer told its load, so it needs no health request. Requests that
        yield leave it to more urgent ones elsewhere.
        """
        backend, self._freed = self._freed, None
        if backend is None or not self._confirm_backend(request, backend):
            return None
        return backend

    def _yields(self, request: placement_requests.PlacementRequest) -> bool:
        """Whether more urgent requests lack servers, here or elsewhere."""
        return request.priority > self.level.level(self._clock())

    def _record_placement(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
    ) -> backend_table.Backend:
        now_s = self._clock()
        backend.on_dispatch(now_s, request.body_bytes)
        self._policy.on_dispatch(request, now_s)
        if request.may_wait:
            self.queue.order.shares.on_placed(request.priority, now_s)
            self._record_outcome(request, is_short=False)
        return backend

    def _record_outcome(
        self,
        request: placement_requests.PlacementRequest,
        *,
        is_short: bool,
    ) -> None:
        now_s = self._clock()
        if not request.is_late(now_s):
            self.level.on_outcome(request.priority, now_s, is_short=is_short)

    def _reject_waiting(
        self,
        request: placement_requests.PlacementRequest,
        place: wait_order.Place,
        cause: Cause,
    ) -> placement_requests.Rejection:
        line = self.queue.line(place)
        return self._reject(
            request,
            self._policy.on_removed(request, line, self._clock(), cause),
        )

    def _reject(
        self,
        request: placement_requests.PlacementRequest,
        decision: wait_policy.Decision,
    ) -> placement_requests.Rejection:
        now_s = self._clock()
        self._policy.on_rejected(request, now_s)
        if request.may_wait:
            self._record_outcome(request, is_short=True)
        drain_s = self._policy.drain_s(self.queue.length, now_s)
        retry_after_s = return_schedule.retry_after_s(
            request, drain_s, now_s, self._rng
        )
        return placement_requests.Rejection(
            placement_requests.RejectionReason.OVERLOADED,
            retry_after_s,
            decision,
        )
