"""Share of a service's requests that leaves its data centre, and where to.

Load pattern: demand swings at different times in each data centre, or one has
a larger part of the requests than of the servers. Its servers are full while
those of another data centre are idle.

All instances compute the flows between all data centres from the same reported
figures, so senders divide the room of a receiver without further messages.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

import attrs

_ENTER_SHARE = 0.05
"""Computed share from which on requests leave a data centre. They stop to leave
when it has fallen to 0."""

_SMOOTHING_S = 0.5
"""Time constant with which the share follows the computed one, in seconds;
half the interval of heartbeats between data centres."""

_CHANCE_REJECTIONS = 0.1
"""Share of requests that may be rejected for lack of servers before a data
centre counts as short whatever its slots."""

_RESOLUTION = 0.002
"""Difference below which the share takes the computed value at once, so that
it reaches 0."""

_LONGEST_WAIT = 4.0
"""Longest wait considered, as a multiple of the execution time."""

_BISECTIONS = 10


@attrs.frozen
class Balance:
    """Demand and room of one service in one data centre."""

    demand_slots: float
    """Slots that the requests from callers need on average."""

    room_slots: float
    """Slots of its usable servers at their present speed."""

    rejected_slots: float = 0.0
    """Slots that the requests rejected for lack of servers would need."""

    @property
    def usable_slots(self) -> float:
        """Slots that are of use; what is rejected shows that others aren't."""
        if self.rejected_slots <= _CHANCE_REJECTIONS * self.demand_slots:
            return self.room_slots
        # Within a second, more may be rejected than has arrived.
        served_slots = max(self.demand_slots - self.rejected_slots, 0.0)
        return min(self.room_slots, served_slots)


@attrs.frozen
class Plan:
    """What one data centre sends to others, for one service."""

    share: float
    """Share of its requests, from 0 to 1, for which it lacks servers."""

    shares: Mapping[str, float]
    """Parts of `share` that go to each of the other data centres."""

    room_slots: Mapping[str, float]
    """Slots that it may use in each of the other data centres; those without
    room are missing."""

    @property
    def limit_slots(self) -> float:
        """Slots that it may use in all other data centres together."""
        return sum(self.room_slots.values())


def expected_wait_s(load: float, slots: float, work_s: float) -> float:
    """Returns the mean wait for a slot, by Sakasegawa's approximation.

    Args:
        load: Demand as a share of the slots, from 0 to below 1.
        slots: Number of slots.
        work_s: Mean execution time in seconds.
    """
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return work_s * math.pow(load, exponent) / (slots * (1 - load))


def highest_load(slots: float, work_s: float, cost_s: float) -> float:
    """Returns the load up to which waiting costs less than crossing.

    Args:
        slots: Number of slots in the data centre.
        work_s: Mean execution time in seconds.
        cost_s: Cost of sending a request to another data centre, in seconds.

    Returns:
        Share of the slots, from 0 to below 1; the fewer slots, the lower.
    """
    if slots <= 0 or work_s <= 0:
        return 0.0
    low, high = 0.0, 1.0
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if expected_wait_s(middle, slots, work_s) < cost_s:
            low = middle
        else:
            high = middle
    return low


@attrs.frozen
class _Market:
    """Figures of all data centres, and the flow that evens their waits out.

    A receiver is filled up to the load at which requests wait for `wait_s`; a
    sender keeps the load at which they wait for that long plus the cost of
    crossing.
    """

    balances: Mapping[str, Balance]
    """Demand and room by data centre."""

    work_s: float
    """Mean execution time in seconds."""

    cost_s: float
    """Cost of sending a request to another data centre, in seconds."""

    def shortages(self, wait_s: float) -> dict[str, float]:
        """Returns the slots that each data centre lacks."""
        return {
            name: max(
                balance.demand_slots
                - self._bearable_slots(balance, wait_s + self.cost_s),
                0.0,
            )
            for name, balance in self.balances.items()
        }

    def spares(self, wait_s: float) -> dict[str, float]:
        """Returns the slots that each data centre has left."""
        return {
            name: max(
                self._bearable_slots(balance, wait_s) - balance.demand_slots,
                0.0,
            )
            for name, balance in self.balances.items()
        }

    def momentary_spares(self) -> dict[str, float]:
        """Returns the slots that each data centre has left at good moments.

        Demand scatters by about the square root of its mean, so one that is
        just full often has a free slot for a request that would be late.
        """
        return {
            name: max(
                balance.usable_slots
                + math.sqrt(balance.usable_slots)
                - balance.demand_slots,
                0.0,
            )
            for name, balance in self.balances.items()
        }

    def even_wait_s(self) -> float:
        """Returns the wait at which shortages equal what is left.

        If what is left never suffices, it is the longest wait considered.
        """
        if not any(self.shortages(0.0).values()):
            return 0.0
        low, high = 0.0, _LONGEST_WAIT * self.work_s
        for _ in range(_BISECTIONS):
            middle = (low + high) / 2
            shortage = sum(self.shortages(middle).values())
            if shortage > sum(self.spares(middle).values()):
                low = middle
            else:
                high = middle
        return high

    def _bearable_slots(self, balance: Balance, wait_s: float) -> float:
        room = balance.usable_slots
        return room * highest_load(room, self.work_s, wait_s)


class Spillover:
    """Decides for one service what leaves the own data centre.

    Args:
        data_centre: Name of the own data centre.
    """

    def __init__(self, data_centre: str) -> None:
        self._own = data_centre
        self._is_short = False
        self._share = 0.0
        self._updated_s: float | None = None

    def update(
        self,
        balances: Mapping[str, Balance],
        work_s: float,
        cost_s: float,
        now_s: float,
    ) -> Plan | None:
        """Computes the plan from the newest figures.

        Args:
            balances: Demand and room of the data centres whose figures are
                known, the own one included.
            work_s: Mean execution time of the service's requests in seconds.
            cost_s: Cost of sending a request to another data centre, in
                seconds.
            now_s: Current monotonic time in seconds.

        Returns:
            The plan, or None if the figures of no other data centre are known.
        """
        if len(balances) < 2:
            self._is_short = False
            self._follow(0.0, now_s)
            return None
        market = _Market(balances, work_s, cost_s)
        wait_s = market.even_wait_s()
        shortages = market.shortages(wait_s)
        spares = market.spares(wait_s)
        shortage, spare = sum(shortages.values()), sum(spares.values())
        flow_slots = min(shortage, spare)
        demand_slots = balances[self._own].demand_slots
        share = 0.0
        if flow_slots and demand_slots:
            own_part = shortages[self._own] / shortage
            share = min(flow_slots * own_part / demand_slots, 1.0)
        # All instances compute the same flows. Hysteresis only lowers the own
        # one, so that the bound on their sum holds.
        self._is_short = share > (0.0 if self._is_short else _ENTER_SHARE)
        self._follow(share if self._is_short else 0.0, now_s)
        planned_slots = self._share * demand_slots
        room_slots, shares = {}, {}
        for name, slots in market.momentary_spares().items():
            if name == self._own:
                continue
            part = spares[name] / spare if spare else 0.0
            # What remains beside the planned flows is divided evenly, for
            # requests whose local servers are slow or full by chance.
            rest_slots = max(slots - flow_slots * part, 0.0)
            found = planned_slots * part + rest_slots / (len(balances) - 1)
            if found > 0:
                room_slots[name] = found
            if part and self._share:
                shares[name] = self._share * part
        return Plan(self._share, shares, room_slots)

    def _follow(self, share: float, now_s: float) -> None:
        """Moves the share towards a new value."""
        if self._updated_s is not None:
            elapsed_s = max(now_s - self._updated_s, 0.0)
            weight = 1 - math.exp(-elapsed_s / _SMOOTHING_S)
            if abs(share - self._share) < _RESOLUTION:
                weight = 1.0
            self._share += weight * (share - self._share)
        self._updated_s = now_s


class CrossingBudget:
    """Bounds the requests of one service that leave, at one instance.

    Less urgent requests leave half of the budget to the most urgent ones.
    """

    _BURST_S = 0.5
    """Burst, in seconds of the rate."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._tokens = 1.0
        self._refilled_s: float | None = None

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Sets the permitted rate.

        Args:
            rate_per_s: Requests per second.
            now_s: Current monotonic time in seconds.
        """
        self._refill(now_s)
        self._rate_per_s = rate_per_s

    def may_send(self, now_s: float, *, is_urgent: bool) -> bool:
        """Whether a request may leave the data centre.

        Args:
            now_s: Current monotonic time in seconds.
            is_urgent: Whether it is among the most urgent of its service.
        """
        self._refill(now_s)
        needed = 1.0 if is_urgent else max(1.0, self._burst / 2)
        return self._tokens >= needed

    def on_sent(self) -> None:
        """Counts a request that leaves the data centre.

        Requests that no budget bounds, since no local server is usable, count
        up to one burst.
        """
        self._tokens = max(self._tokens - 1.0, -self._burst)

    @property
    def _burst(self) -> float:
        return max(self._rate_per_s * self._BURST_S, 1.0)

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            elapsed_s = max(now_s - self._refilled_s, 0.0)
            self._tokens += elapsed_s * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        self._refilled_s = now_s
