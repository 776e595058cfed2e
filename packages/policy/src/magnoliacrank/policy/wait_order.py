"""WaitOrder: the order in which waiting requests get a backend server.

Load pattern: all servers are busy, requests of several priorities and customers
wait, and not all can be served in time. Those that can be in time go before
those that can't. Among them order by priority is strict, except that a priority
which is hardly served for longer than a burst goes first. Within a priority,
customers take turns, and the requests of a customer go by the time at which
their caller first asked, so that one that was refused before and came back goes
before one that comes anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.policy import fair_queue
from magnoliacrank.policy import served_shares

if TYPE_CHECKING:
    from collections.abc import Iterator

    Rank = tuple[bool, bool, int]
    Level = tuple[bool, int]


class Demand(Protocol):
    """What a request asks of its placement."""

    @property
    def customer(self) -> str:
        """Name of the caller's customer; empty if unknown."""

    @property
    def priority(self) -> int:
        """Priority; 0 is the most urgent."""

    @property
    def asked_s(self) -> float:
        """Monotonic time in seconds of the caller's first attempt."""

    @property
    def may_wait(self) -> bool:
        """Whether it may queue if no server is free now."""

    @property
    def wait_deadline_s(self) -> float:
        """Monotonic time in seconds until which the request may wait."""

    def is_late(self, now_s: float) -> bool:
        """Whether an answer can no longer meet its latency objective."""


@attrs.frozen(eq=False)
class Place:
    """Place of one request in the order, compared by identity."""

    demand: Demand
    """The request."""

    is_late: bool
    """Whether it was too late for its latency objective when it joined."""

    @property
    def customer(self) -> str:
        """Name of the caller's customer; empty if unknown."""
        return self.demand.customer

    @property
    def asked_s(self) -> float:
        """Monotonic time in seconds of the caller's first attempt."""
        return self.demand.asked_s

    @property
    def level(self) -> tuple[bool, int]:
        """Requests with an equal level take turns by customer and age."""
        return (self.is_late, self.demand.priority)


class WaitOrder:
    """Waiting requests of one service at one instance."""

    def __init__(self) -> None:
        self.shares = served_shares.ServedShares()
        self._levels: dict[Level, fair_queue.FairQueue[Place]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._levels.values())

    def add(self, place: Place) -> None:
        """Adds a request that waits."""
        level = place.level
        queue = self._levels.setdefault(level, fair_queue.FairQueue())
        queue.add(place)

    def remove(self, place: Place) -> bool:
        """Removes a request; returns False if it doesn't wait."""
        queue = self._levels.get(place.level)
        return queue is not None and queue.remove(place)

    def pop_next(self, now_s: float) -> Place | None:
        """Removes and returns the request whose turn it is.

        Args:
            now_s: Current monotonic time in seconds.
        """
        for level in self._in_order(now_s):
            place = self._levels[level].next(lambda _: True)
            if place is not None:
                return place
        return None

    def precedes(self, one: Place, other: Place, now_s: float) -> bool:
        """Whether a request is more urgent than another; not by age.

        Args:
            one: Place of the request.
            other: Place of the other.
            now_s: Current monotonic time in seconds.
        """
        return self.rank(one, now_s) < self.rank(other, now_s)

    def rank(self, place: Place, now_s: float) -> Rank:
        """Returns a sort key of a request's urgency; the least goes first.

        Args:
            place: Place of the request.
            now_s: Current monotonic time in seconds.
        """
        return self._rank(place.level, now_s)

    def ahead(self, place: Place, now_s: float) -> int:
        """Returns how many waiting requests go before one that may join.

        Args:
            place: Place of the request, which doesn't wait yet.
            now_s: Current monotonic time in seconds.
        """
        rank = self.rank(place, now_s)
        number = 0
        for level, queue in self._levels.items():
            other = self._rank(level, now_s)
            if other < rank:
                number += len(queue)
            elif other == rank:
                number += queue.position(place)
        return number

    def last_of_each_level(
        self, after: Place, now_s: float
    ) -> Iterator[tuple[Place, int]]:
        """Yields the requests to evict, the least urgent first.

        That is, of each level that is less urgent than a request, the newest
        request of the customer with the most of them; of its own level, only
        one of a customer that has more than its own. One that is removed before
        the next step is followed by another of its level.

        Args:
            after: Place of the request that overtakes them.
            now_s: Current monotonic time in seconds.

        Yields:
            Place, and the number of waiting requests in its own and all more
            urgent levels, without itself.
        """
        rank = self.rank(after, now_s)
        for level in reversed(self._in_order(now_s)):
            other = self._rank(level, now_s)
            if other < rank:
                return
            least = 0
            if other == rank:
                least = self._levels[level].waiting(after.customer) + 1
            last = None
            while True:
                place = self._eviction_candidate(level, least)
                if place is None or place is last:
                    break
                last = place
                yield place, self._up_to(level, now_s) - 1

    def _eviction_candidate(self, level: Level, least: int) -> Place | None:
        """Returns the newest request of the customer with the most of a level.

        Args:
            level: The level.
            least: Number of requests that the customer has to exceed.
        """
        queue = self._levels[level]
        place = queue.newest_of_longest()
        if place is None or queue.waiting(place.customer) <= least:
            return None
        return place

    def _up_to(self, last: Level, now_s: float) -> int:
        rank = self._rank(last, now_s)
        return sum(
            len(queue)
            for level, queue in self._levels.items()
            if self._rank(level, now_s) <= rank
        )

    def _in_order(self, now_s: float) -> list[Level]:
        return sorted(
            (level for level, queue in self._levels.items() if len(queue)),
            key=lambda level: self._rank(level, now_s),
        )

    def _rank(self, level: Level, now_s: float) -> Rank:
        is_late, priority = level
        return is_late, not self.shares.is_starved(priority, now_s), priority
