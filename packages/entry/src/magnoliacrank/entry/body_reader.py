"""BodyReader: reads the bodies of requests, each within its time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.gateway import body as bodies

if TYPE_CHECKING:
    from magnoliacrank.entry import entry_state
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import route_plan
    from magnoliacrank.policy import transfer_budget


class BodyReader:
    """Reads bodies until their deadlines, or until they come too late.

    They come too late when the instance stops before the request, which is sent
    to a server once its body is whole, could be finished.

    Args:
        state: State that all requests of the instance share.
    """

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._reading: dict[
            asyncio.Timeout, tuple[route_plan.RouteRule, float]
        ] = {}

    def start_draining(self) -> None:
        """Bounds the bodies being read by the schedule of the stop.

        To be called after the schedule has started.
        """
        loop = asyncio.get_running_loop()
        for timeout, (rule, deadline_s) in self._reading.items():
            if not timeout.expired():
                left_s = self._time_left_s(rule, deadline_s)
                timeout.reschedule(loop.time() + left_s)

    async def read(
        self,
        exchange: inbound_exchange.InboundExchange,
        rule: route_plan.RouteRule,
        deadline_s: float,
        limit: int,
        reservation: transfer_budget.Reservation,
    ) -> bytes | bodies.BodyTooLarge | bodies.BodyFailure:
        """Returns the body of a request, or why it couldn't be read.

        Args:
            exchange: The request.
            rule: Its route.
            deadline_s: Clock time in seconds at which it ends in any case.
            limit: Maximum size of the body in bytes.
            reservation: Memory that grows with a body of unknown length.
        """
        if exchange.is_body_whole:
            return await exchange.read_body(limit, reservation.try_grow)
        left_s = self._time_left_s(rule, deadline_s)
        try:
            async with asyncio.timeout(left_s) as timeout:
                self._reading[timeout] = (rule, deadline_s)
                try:
                    return await exchange.read_body(limit, reservation.try_grow)
                finally:
                    del self._reading[timeout]
        except TimeoutError:
            if self._state.may_start(rule, deadline_s):
                return bodies.TOO_SLOW
            return bodies.LEAVING

    def _time_left_s(
        self, rule: route_plan.RouteRule, deadline_s: float
    ) -> float:
        """Returns how long a body may still take to arrive, in seconds."""
        latest_start_s = self._state.latest_start_s(rule, deadline_s)
        return min(deadline_s, latest_start_s) - self._state.clock()
