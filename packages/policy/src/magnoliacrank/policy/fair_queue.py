"""Fair queue: requests of one priority, served round robin by customer."""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request as request_model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable
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

    @property
    def customer(self) -> ids.CustomerId:
        """Customer that the request belongs to."""
        return self.request.customer

    @property
    def asked_s(self) -> float:
        """Monotonic time in seconds that orders a customer's requests."""
        return self.offered_s


class Queueable(Protocol):
    """What the queue needs to know of an item, which it compares by identity.

    Neither attribute may change while the item is queued.
    """

    @property
    def customer(self) -> Hashable:
        """Customer whose turn the item takes."""

    @property
    def asked_s(self) -> float:
        """Time in seconds by which the items of one customer are ordered."""


ItemT = TypeVar("ItemT", bound=Queueable)
"""Type of the items in one queue."""


class FairQueue(Generic[ItemT]):
    """Serves customers round robin, and each customer's items by age."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._by_customer: collections.OrderedDict[Hashable, list[ItemT]] = (
            collections.OrderedDict()
        )
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[ItemT]:
        for items in self._by_customer.values():
            yield from items

    @property
    def customer_count(self) -> int:
        """Number of customers with queued items."""
        return len(self._by_customer)

    def add(self, item: ItemT) -> None:
        """Adds an item after those of its customer that are as old or older."""
        items = self._by_customer.setdefault(item.customer, [])
        bisect.insort(items, item, key=_asked_s)
        self._count += 1

    def remove(self, item: ItemT) -> bool:
        """Removes an item; returns False if it is not in this queue."""
        items = self._by_customer.get(item.customer)
        if items is None:
            return False
        index = bisect.bisect_left(items, item.asked_s, key=_asked_s)
        while index < len(items) and items[index] is not item:
            index += 1
        if index == len(items):
            return False
        del items[index]
        self._count -= 1
        if not items:
            del self._by_customer[item.customer]
        return True

    def next(self, may_start: Callable[[Any], bool]) -> ItemT | None:
        """Removes and returns the next item whose customer may start one.

        Args:
            may_start: Returns whether a customer may have one more request in
                flight.

        Returns:
            The item, or None if none may start.
        """
        for customer in list(self._by_customer):
            if not may_start(customer):
                continue
            item = self._by_customer[customer][0]
            self._by_customer.move_to_end(customer)
            self.remove(item)
            return item
        return None

    def position(self, item: ItemT) -> int:
        """Returns how many queued items would be served before an item.

        Since customers are served in turn, these are at most one more of each
        other customer than of the item's own.

        Args:
            item: An item that isn't queued.
        """
        own_items = self._by_customer.get(item.customer, [])
        own = bisect.bisect_right(own_items, item.asked_s, key=_asked_s)
        return own + sum(
            min(len(items), own + 1)
            for customer, items in self._by_customer.items()
            if customer != item.customer
        )

    def newest_of_longest(self) -> ItemT | None:
        """Returns the newest item of the customer with the most items."""
        if not self._by_customer:
            return None
        return max(self._by_customer.values(), key=len)[-1]

    def waiting(self, customer: Hashable) -> int:
        """Returns the number of queued items of a customer."""
        return len(self._by_customer.get(customer, ()))


def _asked_s(item: Queueable) -> float:
    return item.asked_s
