"""Chooses the backend server for each request of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.model import verdict
from magnoliacrank.policy import life
from magnoliacrank.policy import probe_budget
from magnoliacrank.policy import route_latency
from magnoliacrank.policy import sample
from magnoliacrank.policy import server_group
from magnoliacrank.policy import server_state
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import version_shares

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    import random


_FAILURE_SHARE_WEIGHT = 0.02
"""Weight of the newest outcome in the failure share of the service."""

_NO_DATA_CENTRES: frozenset[ids.DataCentre] = frozenset()

SlotView = server_group.SlotView
RouterOptions = server_group.RouterOptions


class Router:
    """Routing decisions for one service on one entry instance, without I/O.

    Args:
        own_data_centre: Data centre of this instance.
        slots: Slots that this instance holds on the service's servers.
        rng: Source of randomness.
        options: Parameters of the choice, or None for the defaults.
    """

    def __init__(
        self,
        own_data_centre: ids.DataCentre,
        slots: SlotView,
        rng: random.Random,
        options: RouterOptions | None = None,
    ) -> None:
        self._own_data_centre = own_data_centre
        self._slots = slots
        self._options = options or RouterOptions()
        self._route_latencies = route_latency.RouteLatencies()
        self._candidate_search = server_group.CandidateSearch(
            slots, rng, self._options, self._route_latencies
        )
        self._states: dict[ids.ServerId, server_state.ServerState] = {}
        self._data_centres_out: frozenset[ids.DataCentre] = _NO_DATA_CENTRES
        self._groups_by_version: dict[
            ids.SoftwareVersion, server_group.ServerGroup
        ] = {}
        self._shares_by_route: dict[str, version_shares.VersionShares] = {}
        self._service_failure_share = 0.0
        self._pending_state_updates: dict[
            ids.ServerId, sample.ServerStateUpdate
        ] = {}
        self._owned_servers: frozenset[ids.ServerId] = frozenset()

    @property
    def server_ids(self) -> Collection[ids.ServerId]:
        """Servers known to the router, in any state."""
        return self._states.keys()

    def set_servers(
        self, servers: Sequence[server.BackendServer], now_s: float
    ) -> None:
        """Applies a new listing; servers not listed get no new requests."""
        listed = {backend.server_id for backend in servers}
        for backend in servers:
            state = self._states.get(backend.server_id)
            if state is None:
                state = server_state.ServerState(backend, now_s)
                self._states[backend.server_id] = state
            live = backend.state is server.ListedState.LIVE
            state.on_listed(backend, live=live)
        for server_id, state in list(self._states.items()):
            if server_id not in listed:
                state.on_unlisted()
                self._remove_if_gone(server_id, state)
        self._rebuild_groups()

    def set_data_centres_out(self, out: frozenset[ids.DataCentre]) -> None:
        """Sets which data centres are out of service and get no new work."""
        self._data_centres_out = out
        self._rebuild_groups()

    def set_version_shares(
        self, shares: Mapping[str, Mapping[ids.SoftwareVersion, float]]
    ) -> None:
        """Sets the share of each version by route.

        A version without a share on a route gets no requests there. On a route
        that is not in the mapping, all versions may be used.
        """
        self._shares_by_route = {
            route: version_shares.VersionShares(by_version)
            for route, by_version in shares.items()
        }

    def choose(
        self,
        route: str,
        request_class: request.RequestClass,
        excluded: Collection[ids.ServerId],
        now_s: float,
        *,
        waited_s: float = 0.0,
    ) -> ids.ServerId | sample.NoServer:
        """Returns a server with a free slot for a request.

        A server that is far slower than its usual speed is skipped as long as
        the request would probably end sooner by waiting for another server.

        Args:
            route: Name of the route.
            request_class: Class of the route.
            excluded: Servers that this request must not go to, such as those
                that failed it before.
            now_s: Current monotonic time in seconds.
            waited_s: Seconds that the request has waited for a slot.

        Returns:
            The server, or the reason why none can take the request now.
        """
        criteria = server_group.SelectionCriteria(
            route, request_class, excluded, now_s, waited_s
        )
        for group in self._ordered_groups(route, is_retry=bool(excluded)):
            state = self._candidate_search.find(group, criteria)
            if state is not None:
                return state.server.server_id
        return sample.NoServer(self._no_server_reason(excluded))

    def on_dispatch(
        self, server_id: ids.ServerId, route: str, now_s: float
    ) -> sample.Dispatch:
        """Counts a request as sent to a server.

        Returns:
            Handle of the request, for `on_answer` or `on_failure`.
        """
        state = self._states[server_id]
        latency = self._route_latencies.for_route(
            route, state.server.data_centre
        )
        return state.on_dispatch(route, latency, now_s)

    def on_answer(
        self,
        dispatch: sample.Dispatch,
        answer: sample.AnswerSample,
        now_s: float,
    ) -> None:
        """Records the complete answer to a dispatch."""
        state = self._end_dispatch(dispatch)
        if state is None:
            return
        own_in_flight = len(state.in_flight)
        if answer.report is not None:
            state.on_report(answer.report, own_in_flight, now_s)
        self._record_answer(state, dispatch.route, answer, now_s)
        self._publish_change(state)

    def on_failure(
        self,
        dispatch: sample.Dispatch,
        kind: sample.FailureKind,
        now_s: float,
    ) -> None:
        """Records a dispatch that ended without a complete answer."""
        state = self._end_dispatch(dispatch)
        if state is None or kind is sample.FailureKind.CALLER_GONE:
            return
        ratio = (now_s - dispatch.started_s) / dispatch.expected_s
        self._record_failure(state, kind, ratio, dispatch.started_s, now_s)
        self._publish_change(state)

    def on_probe(
        self,
        server_id: ids.ServerId,
        outcome: sample.AnswerSample | sample.FailureKind,
        now_s: float,
    ) -> None:
        """Records the outcome of a probe, which is sent outside any request."""
        state = self._states.get(server_id)
        if state is None:
            return
        if isinstance(outcome, sample.FailureKind):
            self._record_failure(state, outcome, 1.0, now_s, now_s)
        elif outcome.report is not None:
            state.on_report(outcome.report, len(state.in_flight), now_s)
            state.on_probe_answer(now_s)
        self._publish_change(state)

    def set_owned_servers(self, owned: Collection[ids.ServerId]) -> None:
        """Sets which servers this instance probes on behalf of all others."""
        self._owned_servers = frozenset(owned)

    def probe_needs(self, now_s: float) -> list[probe_budget.ProbeNeed]:
        """Returns how urgently each owned server needs a probe."""
        return [
            self._states[server_id].probe_need(now_s)
            for server_id in self._owned_servers
            if server_id in self._states
        ]

    def on_state_update(
        self, state_update: sample.ServerStateUpdate, now_s: float
    ) -> None:
        """Applies the state of a server that another crew member shared."""
        state = self._states.get(state_update.server_id)
        if state is not None:
            state.on_state_update(state_update, now_s)
            self._publish_change(state)

    def take_state_updates(self) -> tuple[sample.ServerStateUpdate, ...]:
        """Returns the changed server states to share with the crew.

        The next call returns only later changes.
        """
        state_updates = tuple(self._pending_state_updates.values())
        self._pending_state_updates.clear()
        return state_updates

    def all_state_updates(self) -> tuple[sample.ServerStateUpdate, ...]:
        """Returns the state of every server, for a new crew member."""
        return tuple(state.state_update() for state in self._states.values())

    def limit(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests a server can run, over all instances."""
        del now_s
        state = self._states.get(server_id)
        return 0 if state is None else state.limit

    def is_in_flight(self, dispatch: sample.Dispatch) -> bool:
        """Returns whether a dispatch has not ended yet."""
        state = self._states.get(dispatch.server_id)
        return state is not None and dispatch in state.in_flight

    def incarnation(self, server_id: ids.ServerId) -> int:
        """Returns the start number of a server, or 0 when unknown."""
        state = self._states.get(server_id)
        return 0 if state is None else state.incarnation

    def is_cold(self, server_id: ids.ServerId) -> bool:
        """Returns whether a server may get requests from one crew member only.

        This holds until the server has been seen warm since its last known
        start, in whatever life cycle state it is.
        """
        state = self._states.get(server_id)
        return state is None or state.is_cold

    def free_slots(self, now_s: float) -> int:
        """Returns the number of free slots on servers that are not too slow."""
        return sum(
            max(0, self._slots.free(state.server.server_id, now_s))
            for state in self._candidates()
            if state.slowness(now_s) < self._options.slow_ratio
        )

    def slots_to_borrow(
        self, waiting: int, now_s: float
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Returns the slots to ask other crew members for.

        Args:
            waiting: Number of requests that wait for a slot.
            now_s: Current monotonic time in seconds.
        """
        return tuple(
            slot_messages.SlotCount(
                state.server.server_id, min(waiting, state.limit)
            )
            for state in self._candidates()
            if state.slowness(now_s) < self._options.slow_ratio
        )

    def is_eligible(self, server_id: ids.ServerId) -> bool:
        """Returns whether a server may get new requests at all."""
        state = self._states.get(server_id)
        if state is None or state.server.data_centre in self._data_centres_out:
            return False
        return state.life not in (
            life.LifecycleState.LEAVING,
            life.LifecycleState.GONE,
        )

    def life(self, server_id: ids.ServerId) -> life.LifecycleState:
        """Returns the life cycle state of a server."""
        state = self._states.get(server_id)
        return life.LifecycleState.GONE if state is None else state.life

    def _ordered_groups(
        self, route: str, *, is_retry: bool
    ) -> Iterable[server_group.ServerGroup]:
        """Returns the server groups to try for a route, in order."""
        shares = self._shares_by_route.get(route)
        if shares is None:
            return self._groups_by_version.values()
        versions = shares.versions_to_try(is_retry=is_retry)
        return [
            self._groups_by_version[v]
            for v in versions
            if v in self._groups_by_version
        ]

    def _candidates(self) -> Iterable[server_state.ServerState]:
        """Yields the servers that take ordinary requests."""
        for group in self._groups_by_version.values():
            for state in group:
                if state.life in life.TAKES_WORK:
                    yield state

    def _no_server_reason(
        self, excluded: Collection[ids.ServerId]
    ) -> verdict.Reason:
        """Returns OVERLOADED if waiting may help, else NO_SERVER."""
        for group in self._groups_by_version.values():
            for state in group:
                if state.server.server_id not in excluded:
                    return verdict.Reason.OVERLOADED
        return verdict.Reason.NO_SERVER

    def _end_dispatch(
        self, dispatch: sample.Dispatch
    ) -> server_state.ServerState | None:
        state = self._states.get(dispatch.server_id)
        if state is None:
            return None
        state.on_end(dispatch)
        self._remove_if_gone(dispatch.server_id, state)
        return state

    def _record_answer(
        self,
        state: server_state.ServerState,
        route: str,
        answer: sample.AnswerSample,
        now_s: float,
    ) -> None:
        is_ok = answer.status is sample.AnswerStatus.OK
        self._update_failure_share(is_failure=not is_ok)
        if answer.status is sample.AnswerStatus.SHED:
            state.on_shed(now_s)
        elif answer.status is sample.AnswerStatus.ERROR:
            state.on_error(self._service_failure_share, now_s)
        else:
            latency = self._route_latencies.for_route(
                route, state.server.data_centre
            )
            state.on_served(answer.latency_s / latency.expected_s, now_s)
            latency.add(answer.latency_s)

    def _record_failure(
        self,
        state: server_state.ServerState,
        kind: sample.FailureKind,
        ratio: float,
        started_s: float,
        now_s: float,
    ) -> None:
        self._update_failure_share(is_failure=True)
        if kind is sample.FailureKind.CONNECT_FAILED:
            state.on_refused_connection(now_s)
        elif kind is sample.FailureKind.TIMEOUT:
            state.on_timeout(
                ratio, started_s, self._service_failure_share, now_s
            )
        else:
            state.on_connection_lost(
                started_s, self._service_failure_share, now_s
            )

    def _update_failure_share(self, *, is_failure: bool) -> None:
        target = 1.0 if is_failure else 0.0
        self._service_failure_share += (
            target - self._service_failure_share
        ) * _FAILURE_SHARE_WEIGHT

    def _publish_change(self, state: server_state.ServerState) -> None:
        """Updates a server's group and queues its new state for the crew."""
        group = self._groups_by_version.get(state.server.version)
        if (
            group is not None
            and state.server.data_centre not in self._data_centres_out
        ):
            group.update(state)
        state_update = state.take_changed_state_update()
        if state_update is not None:
            self._pending_state_updates[state_update.server_id] = state_update

    def _remove_if_gone(
        self, server_id: ids.ServerId, state: server_state.ServerState
    ) -> None:
        if state.life is life.LifecycleState.GONE:
            self._states.pop(server_id, None)

    def _rebuild_groups(self) -> None:
        """Groups the servers that may get new requests by version."""
        self._groups_by_version = {}
        for state in self._states.values():
            backend = state.server
            if backend.data_centre in self._data_centres_out:
                continue
            if state.life in (
                life.LifecycleState.LEAVING,
                life.LifecycleState.GONE,
            ):
                continue
            group = self._groups_by_version.setdefault(
                backend.version, server_group.ServerGroup()
            )
            group.add(
                state, is_local=backend.data_centre == self._own_data_centre
            )
