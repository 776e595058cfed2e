"""Fair queue: waiting requests of one class, in turn by customer."""

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
    """One request's place in admission; identity tells places apart."""

    request: request_model.Request
    """The request."""

    offered_s: float
    """Monotonic time in seconds at which it was offered."""

    started_s: float | None = None
    """Monotonic time in seconds at which it was admitted, if it was."""


_Places = collections.OrderedDict[Place, None]


class FairQueue:
    """Serves customers in turn, each in order of arrival."""

    def __init__(self) -> None:
        """Starts empty."""
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
        """Customers with requests that wait."""
        return len(self._by_customer)

    def add(self, place: Place) -> None:
        """Adds a place at the end of its customer's turn."""
        customer = place.request.customer
        places = self._by_customer.setdefault(
            customer, collections.OrderedDict()
        )
        places[place] = None
        self._count += 1

    def remove(self, place: Place) -> bool:
        """Removes a place; False when it does not wait here."""
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
        """Removes the next place of a customer that may start one.

        Args:
            may_start: Tells whether a customer may have one more in flight.

        Returns:
            The place, or None.
        """
        for customer in list(self._by_customer):
            if not may_start(customer):
                continue
            place = next(iter(self._by_customer[customer]))
            self._by_customer.move_to_end(customer)
            self.remove(place)
            return place
        return None

    def last_of_longest(self) -> Place | None:
        """Returns the youngest place of the customer with the most."""
        if not self._by_customer:
            return None
        longest = max(self._by_customer.values(), key=len)
        return next(reversed(longest))

    def waiting(self, customer: ids.CustomerId) -> int:
        """Returns how many requests of a customer wait."""
        return len(self._by_customer.get(customer, ()))
