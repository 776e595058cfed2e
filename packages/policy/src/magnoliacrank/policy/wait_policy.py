"""WaitPolicy: whether a request is placed now, waits, or is rejected.

Load pattern: for seconds, callers ask for more than the backend servers can
run, since a data centre is out of service or still cold. Each slot then goes
to a request that can still be answered within its latency objective. A caller
that was refused and comes back too late for that takes a slot only where none
of the others needs it: it is served late in any case, and would make another
request late as well.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Protocol

from magnoliacrank.policy import drain_estimate

if TYPE_CHECKING:
    import random

_SHORTAGE_S = 0.3
"""Time in seconds after a rejection for lack of servers during which servers
still count as short; slots are freed and taken again within it."""

_SHORT_QUEUE = 3
"""Number of queued requests from which servers count as short."""


class Step(enum.Enum):
    """What happens to a request that needs a server."""

    SEARCH = "search"
    """It is placed at once if a server is free."""

    WAIT = "wait"
    """It joins the queue."""

    REJECT = "reject"
    """It is rejected at once."""


class Demand(Protocol):
    """What a request asks of its placement."""

    @property
    def may_wait(self) -> bool:
        """Whether it may queue if no server is free now."""

    @property
    def wait_deadline_s(self) -> float:
        """Monotonic time in seconds until which it may wait."""

    def is_late(self, now_s: float) -> bool:
        """Whether an answer can no longer meet its latency objective."""


class WaitPolicy:
    """Decides on the requests of one service at one instance."""

    def __init__(self) -> None:
        self._drain = drain_estimate.DrainEstimate()
        self._short_until_s = float("-inf")

    def first_step(self, demand: Demand, queued: int, now_s: float) -> Step:
        """Decides on a request that has just arrived.

        Args:
            demand: The request.
            queued: Number of requests in the queue.
            now_s: Current monotonic time in seconds.
        """
        if demand.is_late(now_s) and self._is_short(queued, now_s):
            return Step.REJECT
        if not queued or not demand.may_wait:
            return Step.SEARCH
        return self.next_step(demand, queued, now_s)

    def next_step(self, demand: Demand, queued: int, now_s: float) -> Step:
        """Decides on a request for which no server was free.

        Args:
            demand: The request.
            queued: Number of requests in the queue.
            now_s: Current monotonic time in seconds.
        """
        left_s = demand.wait_deadline_s - now_s
        if not demand.may_wait or left_s <= 0:
            return Step.REJECT
        if self._drain.wait_s(queued, now_s) > left_s:
            return Step.REJECT
        return Step.WAIT

    def on_dispatch(self, now_s: float) -> None:
        """Records that a request of the service was placed."""
        self._drain.on_dispatch(now_s)

    def on_rejected(self, demand: Demand, now_s: float) -> None:
        """Records a rejection for lack of servers.

        Servers are short if the request could have been in time and would have
        waited; hedges and trials of a new version don't wait.
        """
        if demand.may_wait and not demand.is_late(now_s):
            self._short_until_s = now_s + _SHORTAGE_S

    def retry_after_s(
        self, queued: int, now_s: float, rng: random.Random
    ) -> float:
        """Returns after how many seconds a rejected caller should retry.

        Args:
            queued: Number of requests in the queue.
            now_s: Current monotonic time in seconds.
            rng: Source of jitter.
        """
        return self._drain.retry_after_s(queued, now_s, rng)

    def _is_short(self, queued: int, now_s: float) -> bool:
        return queued >= _SHORT_QUEUE or now_s < self._short_until_s
