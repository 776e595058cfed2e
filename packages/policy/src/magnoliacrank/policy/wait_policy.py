"""WaitPolicy: whether a request is placed now, waits, or is rejected.

Load pattern: for seconds, callers ask for more than the backend servers can
run, since a data centre is out of service or still cold. Each slot then goes
to a request that can still be answered within its latency objective. A caller
that was refused and comes back too late for that takes a slot only where none
of the others needs it: it is served late in any case, and would make another
request late as well.

The wait is estimated from what goes before a request in the queue's own order:
a queue of less urgent requests turns no urgent one away. Each of those is
evicted once the requests before it leave it no time.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import drain_estimate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.policy import service_load
    from magnoliacrank.policy import wait_order

_SHORTAGE_S = 0.3
"""Time in seconds after a rejection for lack of servers during which servers
still count as short; slots are freed and taken again within it."""

_SHORT_QUEUE = 3
"""Number of queued requests from which servers count as short."""


_EVICTION_FACTOR = 1.25
"""Estimated wait, relative to the time left, from which a waiting request is
evicted. The margin covers the variation of the estimate, so that an admitted
request isn't evicted by the next few dispatches."""


_PEER_LOADS_S = 2.0
"""Time in seconds for which the loads that others reported are used."""


class Step(enum.Enum):
    """What happens to a request that needs a server."""

    SEARCH = "search"
    """It is placed at once if a server is free."""

    WAIT = "wait"
    """It joins the queue."""

    REJECT = "reject"
    """It is rejected at once."""


class Cause(enum.Enum):
    """What decided on a request that is rejected."""

    LATE = "late"
    """It can't be in time, and those that can need all servers."""

    WAIT_TOO_LONG = "wait-too-long"
    """More requests go before it than are dispatched in the time it has."""

    MAY_NOT_WAIT = "may-not-wait"
    """No server is free, and it is only of use at once."""

    TIME_IS_UP = "time-is-up"
    """It waited, and got no server by its deadline for waiting."""

    EVICTED = "evicted"
    """It waited, and the requests before it left it no time."""


@attrs.frozen
class Line:
    """The queue of a service, as one request sees it."""

    ahead: int = 0
    """Number of requests that go before it."""

    waiting: int = 0
    """Number of all requests in the queue."""


@attrs.frozen
class Decision:
    """What happens to a request, and the figures behind it."""

    step: Step
    """What happens to it."""

    cause: Cause | None
    """Why it is rejected; None if it isn't."""

    ahead: int
    """Number of requests that go before it."""

    wait_s: float
    """Estimated time in seconds until it would get a server."""

    left_s: float
    """Time in seconds for which it may wait."""

    @property
    def cause_code(self) -> str:
        """Short code of the cause, for log lines; empty if there is none."""
        return "" if self.cause is None else self.cause.value


class WaitPolicy:
    """Decides on the requests of one service at one instance."""

    def __init__(self) -> None:
        self._drain = drain_estimate.DrainEstimate()
        self._short_until_s = float("-inf")
        self._peer_loads: tuple[service_load.ServiceLoad, ...] = ()
        self._peer_loads_s = float("-inf")

    def on_arrival(
        self, demand: wait_order.Demand, line: Line, now_s: float
    ) -> Decision:
        """Decides on a request that has just arrived.

        Args:
            demand: The request.
            line: The queue.
            now_s: Current monotonic time in seconds.
        """
        if demand.is_late(now_s) and self._is_short(line.waiting, now_s):
            return self._decide(demand, line, now_s, Cause.LATE)
        if not line.ahead or not demand.may_wait:
            return attrs.evolve(
                self._decide(demand, line, now_s, None), step=Step.SEARCH
            )
        return self.on_busy(demand, line, now_s)

    def on_busy(
        self, demand: wait_order.Demand, line: Line, now_s: float
    ) -> Decision:
        """Decides on a request for which no server was free.

        Args:
            demand: The request.
            line: The queue.
            now_s: Current monotonic time in seconds.
        """
        left_s = demand.wait_deadline_s - now_s
        cause = None
        if not demand.may_wait:
            cause = Cause.MAY_NOT_WAIT
        elif left_s <= 0:
            cause = Cause.TIME_IS_UP
        elif self._wait_s(demand, line, now_s) > left_s:
            cause = Cause.WAIT_TOO_LONG
        return self._decide(demand, line, now_s, cause)

    def on_removed(
        self, demand: wait_order.Demand, line: Line, now_s: float, cause: Cause
    ) -> Decision:
        """Returns the rejection of a request that leaves the queue.

        Args:
            demand: The request.
            line: The queue without it.
            now_s: Current monotonic time in seconds.
            cause: Why it leaves.
        """
        return self._decide(demand, line, now_s, cause)

    def should_evict(
        self, demand: wait_order.Demand, line: Line, now_s: float
    ) -> bool:
        """Whether a waiting request is told at once that it won't be served.

        Args:
            demand: The request.
            line: The queue without it; all of its level go before it.
            now_s: Current monotonic time in seconds.
        """
        left_s = demand.wait_deadline_s - now_s
        return self._wait_s(demand, line, now_s) > left_s * _EVICTION_FACTOR

    def on_dispatch(self, demand: wait_order.Demand, now_s: float) -> None:
        """Records that a request of the service was placed."""
        self._drain.on_dispatch(now_s, demand.priority)

    def on_rejected(self, demand: wait_order.Demand, now_s: float) -> None:
        """Records a rejection for lack of servers.

        Servers are short if the request could have been in time and would have
        waited; hedges and trials of a new version don't wait.
        """
        if demand.may_wait and not demand.is_late(now_s):
            self._short_until_s = now_s + _SHORTAGE_S

    def on_peer_loads(
        self, loads: Iterable[service_load.ServiceLoad], now_s: float
    ) -> None:
        """Records the loads that other instances report of the service."""
        self._peer_loads = tuple(loads)
        self._peer_loads_s = now_s

    def drain_s(self, waiting: int, now_s: float) -> float:
        """Returns the time in seconds until all queues are served.

        These are the queues of the service at all instances.

        Args:
            waiting: Number of requests in the queue of this instance.
            now_s: Current monotonic time in seconds.
        """
        rate_per_s = self._drain.rate_per_s(now_s)
        if now_s - self._peer_loads_s <= _PEER_LOADS_S:
            waiting += sum(load.waiting for load in self._peer_loads)
            rate_per_s += sum(load.placed_per_s for load in self._peer_loads)
        return waiting / rate_per_s

    def _decide(
        self,
        demand: wait_order.Demand,
        line: Line,
        now_s: float,
        cause: Cause | None,
    ) -> Decision:
        return Decision(
            Step.WAIT if cause is None else Step.REJECT,
            cause,
            line.ahead,
            self._wait_s(demand, line, now_s),
            demand.wait_deadline_s - now_s,
        )

    def _wait_s(
        self, demand: wait_order.Demand, line: Line, now_s: float
    ) -> float:
        return self._drain.wait_s(line.ahead, now_s, demand.priority)

    def _is_short(self, waiting: int, now_s: float) -> bool:
        return waiting >= _SHORT_QUEUE or now_s < self._short_until_s
