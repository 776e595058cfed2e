"""Backend servers of one version, as candidates for a request."""

from __future__ import annotations

from collections.abc import Collection
import functools
import math
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.policy import life
from magnoliacrank.policy import route_latency
from magnoliacrank.policy import server_state

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    import random

_States = list[server_state.ServerState]


class SlotView(Protocol):
    """What the router needs to know of the slots that an instance holds."""

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests may be dispatched to a server now."""
        ...


@attrs.frozen
class RouterOptions:
    """Constants of the choice."""

    choices: int = 3
    """Candidates compared for a request in a data centre."""

    spill_cost: float = 4.0
    """Cost of the best server at home from which others are compared."""

    slow_ratio: float = 3.0
    """Slowness from which a request waits for another server instead."""

    panic_share: float = 0.5
    """Share of ejected servers from which ejection is no longer obeyed."""


@attrs.frozen
class Need:
    """What one request needs of a server."""

    route: str
    """Name of the route."""

    request_class: request.RequestClass
    """Class of the route."""

    excluded: Collection[ids.ServerId]
    """Servers that it must not go to."""

    now_s: float
    """Monotonic time in seconds."""

    waited_s: float
    """Seconds that it has waited for a slot."""


@attrs.define
class ServerGroup:
    """Servers of one version: those in the own data centre and the others."""

    local: _States = attrs.Factory(list)
    """Servers in the own data centre."""

    remote: _States = attrs.Factory(list)
    """Servers in other data centres."""

    _unsettled: dict[server_state.ServerState, None] = attrs.Factory(dict)

    def __iter__(self) -> Iterator[server_state.ServerState]:
        yield from self.local
        yield from self.remote

    @property
    def unsettled(self) -> Iterable[server_state.ServerState]:
        """Servers that are cold or ejected."""
        return self._unsettled

    def add(self, state: server_state.ServerState, *, is_local: bool) -> None:
        """Adds a server."""
        (self.local if is_local else self.remote).append(state)
        self.update(state)

    def update(self, state: server_state.ServerState) -> None:
        """Takes in that a server may have changed its state."""
        takes_work = state.is_cold and state.life in life.TAKES_WORK
        if takes_work or state.life is life.Life.SUSPECT:
            self._unsettled[state] = None
        else:
            self._unsettled.pop(state, None)

    def count_ejected(self, states: _States) -> int:
        """Returns how many of some of the servers are ejected."""
        if not self._unsettled:
            return 0
        return sum(state.life is life.Life.SUSPECT for state in states)


class CandidateSearch:
    """Finds the best server of a group that has a free slot.

    It compares a few candidates in random order, so that instances with the
    same reports do not all choose the same server.
    """

    def __init__(
        self,
        slots: SlotView,
        rng: random.Random,
        options: RouterOptions,
        usual: route_latency.RouteLatencies,
    ) -> None:
        self._slots = slots
        self._rng = rng
        self._options = options
        self._usual = usual

    def find(
        self, group: ServerGroup, need: Need
    ) -> server_state.ServerState | None:
        """Returns a server for a request, None when it has to wait."""
        if need.request_class is request.RequestClass.IDEMPOTENT:
            for state in group.unsettled:
                if self._is_due(state, need) and self._has_slot(state, need):
                    return state
        local, local_cost = self._cheapest(group, group.local, need)
        if local is not None and local_cost < self._options.spill_cost:
            return local
        remote, remote_cost = self._cheapest(group, group.remote, need)
        if local is None or remote is None:
            return local or remote
        local_s = local_cost * self._expected_s(local, need)
        remote_s = remote_cost * self._expected_s(remote, need)
        return local if local_s <= remote_s else remote

    def _is_due(self, state: server_state.ServerState, need: Need) -> bool:
        if state.life is life.Life.SUSPECT:
            return state.may_try(need.now_s)
        return state.wants_trickle(need.now_s)

    def _has_slot(self, state: server_state.ServerState, need: Need) -> bool:
        server_id = state.server.server_id
        if server_id in need.excluded:
            return False
        return self._slots.free(server_id, need.now_s) > 0

    def _cheapest(
        self, group: ServerGroup, states: _States, need: Need
    ) -> tuple[server_state.ServerState | None, float]:
        best = None
        best_cost = math.inf
        seen = 0
        is_panic = self._is_panic(group, states)
        for state in self._shuffled(states):
            if state.life is life.Life.SUSPECT and not is_panic:
                continue
            if not self._has_slot(state, need):
                continue
            slowness = state.slowness(need.now_s)
            if self._is_too_slow(state, slowness, need):
                continue
            cost = state.cost(slowness, need.now_s)
            if cost < best_cost:
                best, best_cost = state, cost
            seen += 1
            if seen >= self._options.choices:
                break
        return best, best_cost

    def _is_panic(self, group: ServerGroup, states: _States) -> bool:
        ejected = group.count_ejected(states)
        return ejected > self._options.panic_share * len(states)

    def _is_too_slow(
        self, state: server_state.ServerState, slowness: float, need: Need
    ) -> bool:
        if slowness < self._options.slow_ratio:
            return False
        excess_s = (slowness - 1.0) * self._expected_s(state, need)
        return excess_s > need.waited_s

    def _shuffled(self, states: _States) -> Iterable[server_state.ServerState]:
        count = len(states)
        if count < 2:
            return states
        position = int(self._rng.random() * count)
        strides = _strides(count)
        stride = strides[int(self._rng.random() * len(strides))]
        return (states[(position + n * stride) % count] for n in range(count))

    def _expected_s(self, state: server_state.ServerState, need: Need) -> float:
        return self._usual.of(need.route, state.server.data_centre).expected_s


@functools.lru_cache(maxsize=1024)
def _strides(count: int) -> tuple[int, ...]:
    """Returns the steps that visit each of so many places once."""
    return tuple(n for n in range(1, count) if math.gcd(n, count) == 1)
