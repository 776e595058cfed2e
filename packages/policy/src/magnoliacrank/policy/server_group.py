"""Groups the backend servers of a version and finds the best candidate."""

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
    """Read access to the slots that an instance holds.

    A slot is the right to run one request at a time on a backend server.
    """

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests may be dispatched to a server now."""
        ...


@attrs.frozen
class RouterOptions:
    """Parameters of the choice of a server."""

    max_candidates: int = 3
    """Servers with a free slot that are compared in a data centre."""

    spill_cost: float = 4.0
    """Cost of the best local server from which remote ones are compared."""

    slow_ratio: float = 3.0
    """Slowness from which a request rather waits for another server."""

    panic_share: float = 0.5
    """Share of ejected servers above which ejection is ignored."""


@attrs.frozen
class SelectionCriteria:
    """Criteria by which a server is selected for one request."""

    route: str
    """Name of the route."""

    request_class: request.RequestClass
    """Class of the route."""

    excluded: Collection[ids.ServerId]
    """Servers that the request must not go to."""

    now_s: float
    """Current monotonic time in seconds."""

    waited_s: float
    """Seconds that the request has waited for a slot."""


@attrs.define
class ServerGroup:
    """Servers of one version, split into local and remote ones."""

    local: _States = attrs.Factory(list)
    """Servers in this instance's data centre."""

    remote: _States = attrs.Factory(list)
    """Servers in other data centres."""

    _trial_candidates: dict[server_state.ServerState, None] = attrs.Factory(
        dict
    )

    def __iter__(self) -> Iterator[server_state.ServerState]:
        yield from self.local
        yield from self.remote

    @property
    def trial_candidates(self) -> Iterable[server_state.ServerState]:
        """Cold and ejected servers, which get single requests at times."""
        return self._trial_candidates

    def add(self, state: server_state.ServerState, *, is_local: bool) -> None:
        """Adds a server."""
        (self.local if is_local else self.remote).append(state)
        self.update(state)

    def update(self, state: server_state.ServerState) -> None:
        """Updates the trial candidates after a state may have changed."""
        takes_work = state.is_cold and state.life in life.TAKES_WORK
        if takes_work or state.life is life.LifecycleState.SUSPECT:
            self._trial_candidates[state] = None
        else:
            self._trial_candidates.pop(state, None)

    def count_ejected(self, states: _States) -> int:
        """Returns how many of the given servers are ejected."""
        if not self._trial_candidates:
            return 0
        return sum(
            state.life is life.LifecycleState.SUSPECT for state in states
        )


class CandidateSearch:
    """Finds the best server of a group that has a free slot.

    It compares a few candidates in random order, so that instances with the
    same load reports do not all choose the same server.
    """

    def __init__(
        self,
        slots: SlotView,
        rng: random.Random,
        options: RouterOptions,
        route_latencies: route_latency.RouteLatencies,
    ) -> None:
        self._slots = slots
        self._rng = rng
        self._options = options
        self._route_latencies = route_latencies

    def find(
        self, group: ServerGroup, criteria: SelectionCriteria
    ) -> server_state.ServerState | None:
        """Returns a server for a request, or None when the request has to wait.

        An idempotent request first goes to a cold or ejected server that is due
        for one. Remote servers are compared when the best local one is costly.
        """
        if criteria.request_class is request.RequestClass.IDEMPOTENT:
            for state in group.trial_candidates:
                if self._is_trial_due(state, criteria) and self._has_slot(
                    state, criteria
                ):
                    return state
        local, local_cost = self._cheapest(group, group.local, criteria)
        if local is not None and local_cost < self._options.spill_cost:
            return local
        remote, remote_cost = self._cheapest(group, group.remote, criteria)
        if local is None or remote is None:
            return local or remote
        local_s = local_cost * self._expected_s(local, criteria)
        remote_s = remote_cost * self._expected_s(remote, criteria)
        return local if local_s <= remote_s else remote

    def _is_trial_due(
        self, state: server_state.ServerState, criteria: SelectionCriteria
    ) -> bool:
        """Returns whether a cold or ejected server should get a request now."""
        if state.life is life.LifecycleState.SUSPECT:
            return state.is_trial_due(criteria.now_s)
        return state.needs_cold_dispatch(criteria.now_s)

    def _has_slot(
        self, state: server_state.ServerState, criteria: SelectionCriteria
    ) -> bool:
        server_id = state.server.server_id
        if server_id in criteria.excluded:
            return False
        return self._slots.free(server_id, criteria.now_s) > 0

    def _cheapest(
        self, group: ServerGroup, states: _States, criteria: SelectionCriteria
    ) -> tuple[server_state.ServerState | None, float]:
        """Returns the cheapest of a few random servers, and its cost."""
        best = None
        best_cost = math.inf
        compared = 0
        is_in_panic_mode = self._is_in_panic_mode(group, states)
        for state in self._shuffled(states):
            if (
                state.life is life.LifecycleState.SUSPECT
                and not is_in_panic_mode
            ):
                continue
            if not self._has_slot(state, criteria):
                continue
            slowness = state.slowness(criteria.now_s)
            if self._is_too_slow(state, slowness, criteria):
                continue
            cost = state.cost(slowness, criteria.now_s)
            if cost < best_cost:
                best, best_cost = state, cost
            compared += 1
            if compared >= self._options.max_candidates:
                break
        return best, best_cost

    def _is_in_panic_mode(self, group: ServerGroup, states: _States) -> bool:
        """Returns whether too many servers are ejected to obey the ejection."""
        ejected = group.count_ejected(states)
        return ejected > self._options.panic_share * len(states)

    def _is_too_slow(
        self,
        state: server_state.ServerState,
        slowness: float,
        criteria: SelectionCriteria,
    ) -> bool:
        """Returns whether waiting for another server is likely to be faster."""
        if slowness < self._options.slow_ratio:
            return False
        excess_s = (slowness - 1.0) * self._expected_s(state, criteria)
        return excess_s > criteria.waited_s

    def _shuffled(self, states: _States) -> Iterable[server_state.ServerState]:
        """Returns the servers in a pseudo-random order."""
        count = len(states)
        if count < 2:
            return states
        position = int(self._rng.random() * count)
        strides = _coprime_strides(count)
        stride = strides[int(self._rng.random() * len(strides))]
        return (states[(position + n * stride) % count] for n in range(count))

    def _expected_s(
        self, state: server_state.ServerState, criteria: SelectionCriteria
    ) -> float:
        return self._route_latencies.for_route(
            criteria.route, state.server.data_centre
        ).expected_s


@functools.lru_cache(maxsize=1024)
def _coprime_strides(count: int) -> tuple[int, ...]:
    """Returns the strides that visit each of `count` positions once."""
    return tuple(n for n in range(1, count) if math.gcd(n, count) == 1)
