"""Fair queue: requests of one priority, served round robin by customer."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request as request_model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


@attrs.define(eq=False)
class Place:
    """Handle of one request in admission control, compared by identity."""

    request: request_model.Request
    """The request."""

    offered_s: float
    """Monotonic time in seconds at which the request arrived."""

    started_s: float | None = None
    """Monotonic time in seconds of the admission; None if not in flight."""


_Places = collections.OrderedDict[Place, None]


class FairQueue:
    """Serves customers round robin, and each customer's requests in order."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_customer: collections.OrderedDict[ids.CustomerId, _Places] = (
            collections.OrderedDict()
        )
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Place]:
        for places in self._by_customer.values():
            yield from places

    @property
    def customer_count(self) -> int:
        """Number of customers with queued requests."""
        return len(self._by_customer)

    def add(self, place: Place) -> None:
        """Appends a request to the queue of its customer."""
        customer = place.request.customer
        places = self._by_customer.setdefault(
            customer, collections.OrderedDict()
        )
        places[place] = None
        self._count += 1

    def remove(self, place: Place) -> bool:
        """Removes a request; returns False if it is not in this queue."""
        customer = place.request.customer
        places = self._by_customer.get(customer)
        if places is None or place not in places:
            return False
        del places[place]
        self._count -= 1
        if not places:
            del self._by_customer[customer]
        return True

    def next(self, may_start: Callable[[ids.CustomerId], bool]) -> Place | None:
        """Removes and returns the next request whose customer may start one.

        Args:
            may_start: Returns whether a customer may have one more request in
                flight.

        Returns:
            The request's place, or None if no request may start.
        """
        for customer in list(self._by_customer):
            if not may_start(customer):
                continue
            place = next(iter(self._by_customer[customer]))
            self._by_customer.move_to_end(customer)
            self.remove(place)
            return place
        return None

    def newest_of_longest(self) -> Place | None:
        """Returns the newest request of the customer with the most requests."""
        if not self._by_customer:
            return None
        longest = max(self._by_customer.values(), key=len)
        return next(reversed(longest))

    def waiting(self, customer: ids.CustomerId) -> int:
        """Returns the number of queued requests of a customer."""
        return len(self._by_customer.get(customer, ()))
