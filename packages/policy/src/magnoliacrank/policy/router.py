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


_PEERS_WEIGHT = 0.02
_NOTHING: frozenset[ids.DataCentre] = frozenset()

SlotView = server_group.SlotView
RouterOptions = server_group.RouterOptions


class Router:
    """Decides for one service on one entry instance; it does no I/O."""

    def __init__(
        self,
        own_data_centre: ids.DataCentre,
        slots: SlotView,
        rng: random.Random,
        options: RouterOptions | None = None,
    ) -> None:
        self._own = own_data_centre
        self._slots = slots
        self._options = options or RouterOptions()
        self._usual = route_latency.RouteLatencies()
        self._search = server_group.CandidateSearch(
            slots, rng, self._options, self._usual
        )
        self._states: dict[ids.ServerId, server_state.ServerState] = {}
        self._out: frozenset[ids.DataCentre] = _NOTHING
        self._groups: dict[ids.SoftwareVersion, server_group.ServerGroup] = {}
        self._shares: dict[str, version_shares.VersionShares] = {}
        self._failure_share = 0.0
        self._signs: dict[ids.ServerId, sample.ServerSign] = {}
        self._owned: frozenset[ids.ServerId] = frozenset()

    @property
    def server_ids(self) -> Collection[ids.ServerId]:
        """Servers that are known, in whatever state."""
        return self._states.keys()

    def set_servers(
        self, servers: Sequence[server.BackendServer], now_s: float
    ) -> None:
        """Takes in a changed listing; servers not in it get no new work."""
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
                self._forget_gone(server_id, state)
        self._regroup()

    def set_data_centres_out(self, out: frozenset[ids.DataCentre]) -> None:
        """Takes in which data centres get no new work."""
        self._out = out
        self._regroup()

    def set_version_shares(
        self, shares: Mapping[str, Mapping[ids.SoftwareVersion, float]]
    ) -> None:
        """Takes in each version's share by route.

        A version without a share on a route gets nothing there; a route that
        is not in the mapping uses all versions alike.
        """
        self._shares = {
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
        """Returns the server for a request, which has a free slot.

        A slot on a server that is far slower than usual is left alone while
        waiting for another one is likely to take less time.

        Args:
            route: Name of the route.
            request_class: Class of the route.
            excluded: Servers that this request must not go to, such as those
                that failed it before.
            now_s: Monotonic time in seconds.
            waited_s: Seconds that the request has waited for a slot.
        """
        need = server_group.Need(
            route, request_class, excluded, now_s, waited_s
        )
        for group in self._order(route, is_retry=bool(excluded)):
            state = self._search.find(group, need)
            if state is not None:
                return state.server.server_id
        return sample.NoServer(self._reason(excluded))

    def on_dispatch(
        self, server_id: ids.ServerId, route: str, now_s: float
    ) -> sample.Dispatch:
        """Counts a request as sent and returns the handle of its end."""
        state = self._states[server_id]
        usual = self._usual.of(route, state.server.data_centre)
        return state.on_dispatch(route, usual, now_s)

    def on_answer(
        self,
        dispatch: sample.Dispatch,
        answer: sample.AnswerSample,
        now_s: float,
    ) -> None:
        """Takes in the whole answer of a dispatch."""
        state = self._end(dispatch)
        if state is None:
            return
        own_in_flight = len(state.in_flight)
        if answer.report is not None:
            state.on_report(answer.report, own_in_flight, now_s)
        self._on_status(state, dispatch.route, answer, now_s)
        self._note_change(state)

    def on_failure(
        self,
        dispatch: sample.Dispatch,
        kind: sample.FailureKind,
        now_s: float,
    ) -> None:
        """Takes in a dispatch that ended without a whole answer."""
        state = self._end(dispatch)
        if state is None or kind is sample.FailureKind.CALLER_GONE:
            return
        ratio = (now_s - dispatch.started_s) / dispatch.expected_s
        self._on_kind(state, kind, ratio, dispatch.started_s, now_s)
        self._note_change(state)

    def on_probe(
        self,
        server_id: ids.ServerId,
        outcome: sample.AnswerSample | sample.FailureKind,
        now_s: float,
    ) -> None:
        """Takes in the outcome of a probe sent outside any request."""
        state = self._states.get(server_id)
        if state is None:
            return
        if isinstance(outcome, sample.FailureKind):
            self._on_kind(state, outcome, 1.0, now_s, now_s)
        elif outcome.report is not None:
            state.on_report(outcome.report, len(state.in_flight), now_s)
            state.on_probe_answer(now_s)
        self._note_change(state)

    def set_owned(self, owned: Collection[ids.ServerId]) -> None:
        """Takes in which servers this instance measures for all."""
        self._owned = frozenset(owned)

    def probe_needs(self, now_s: float) -> list[probe_budget.ProbeNeed]:
        """Returns how much each owned server needs to be measured."""
        return [
            self._states[server_id].probe_need(now_s)
            for server_id in self._owned
            if server_id in self._states
        ]

    def on_sign(self, sign: sample.ServerSign, now_s: float) -> None:
        """Takes in what another instance of the crew learned."""
        state = self._states.get(sign.server_id)
        if state is not None:
            state.on_sign(sign, now_s)
            self._note_change(state)

    def take_signs(self) -> tuple[sample.ServerSign, ...]:
        """Returns the signs to tell the crew since the last call."""
        signs = tuple(self._signs.values())
        self._signs.clear()
        return signs

    def signs(self) -> tuple[sample.ServerSign, ...]:
        """Returns the sign of every server, for an instance that joins."""
        return tuple(state.sign() for state in self._states.values())

    def limit(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns the concurrency that a server bears over all instances."""
        del now_s
        state = self._states.get(server_id)
        return 0 if state is None else state.limit

    def is_in_flight(self, dispatch: sample.Dispatch) -> bool:
        """Returns whether a dispatch has not ended."""
        state = self._states.get(dispatch.server_id)
        return state is not None and dispatch in state.in_flight

    def incarnation(self, server_id: ids.ServerId) -> int:
        """Returns the start number of a server, or 0 when unknown."""
        state = self._states.get(server_id)
        return 0 if state is None else state.incarnation

    def is_cold(self, server_id: ids.ServerId) -> bool:
        """Returns whether one member alone may send to a server.

        It started lately, or was never seen warm, in whatever state it is.
        """
        state = self._states.get(server_id)
        return state is None or state.is_cold

    def free_slots(self, now_s: float) -> int:
        """Returns how many requests could be dispatched now."""
        return sum(
            max(0, self._slots.free(state.server.server_id, now_s))
            for state in self._candidates()
            if state.slowness(now_s) < self._options.slow_ratio
        )

    def loan_wishes(
        self, waiting: int, now_s: float
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Returns the slots to ask other members for.

        Args:
            waiting: Requests that wait for a slot.
            now_s: Monotonic time in seconds.
        """
        return tuple(
            slot_messages.SlotCount(
                state.server.server_id, min(waiting, state.limit)
            )
            for state in self._candidates()
            if state.slowness(now_s) < self._options.slow_ratio
        )

    def is_eligible(self, server_id: ids.ServerId) -> bool:
        """Returns whether a server may get new work at all."""
        state = self._states.get(server_id)
        if state is None or state.server.data_centre in self._out:
            return False
        return state.life not in (life.Life.LEAVING, life.Life.GONE)

    def life(self, server_id: ids.ServerId) -> life.Life:
        """Returns the state of a server in its life cycle."""
        state = self._states.get(server_id)
        return life.Life.GONE if state is None else state.life

    def _order(
        self, route: str, *, is_retry: bool
    ) -> Iterable[server_group.ServerGroup]:
        shares = self._shares.get(route)
        if shares is None:
            return self._groups.values()
        versions = shares.order(is_retry=is_retry)
        return [self._groups[v] for v in versions if v in self._groups]

    def _candidates(self) -> Iterable[server_state.ServerState]:
        for group in self._groups.values():
            for state in group:
                if state.life in life.TAKES_WORK:
                    yield state

    def _reason(self, excluded: Collection[ids.ServerId]) -> verdict.Reason:
        for group in self._groups.values():
            for state in group:
                if state.server.server_id not in excluded:
                    return verdict.Reason.OVERLOADED
        return verdict.Reason.NO_SERVER

    def _end(
        self, dispatch: sample.Dispatch
    ) -> server_state.ServerState | None:
        state = self._states.get(dispatch.server_id)
        if state is None:
            return None
        state.on_end(dispatch)
        self._forget_gone(dispatch.server_id, state)
        return state

    def _on_status(
        self,
        state: server_state.ServerState,
        route: str,
        answer: sample.AnswerSample,
        now_s: float,
    ) -> None:
        is_ok = answer.status is sample.AnswerStatus.OK
        self._count(is_failure=not is_ok)
        if answer.status is sample.AnswerStatus.SHED:
            state.on_shed(now_s)
        elif answer.status is sample.AnswerStatus.ERROR:
            state.on_error(self._failure_share, now_s)
        else:
            usual = self._usual.of(route, state.server.data_centre)
            state.on_served(answer.latency_s / usual.expected_s, now_s)
            usual.add(answer.latency_s)

    def _on_kind(
        self,
        state: server_state.ServerState,
        kind: sample.FailureKind,
        ratio: float,
        started_s: float,
        now_s: float,
    ) -> None:
        self._count(is_failure=True)
        if kind is sample.FailureKind.CONNECT_FAILED:
            state.on_refused_connection(now_s)
        elif kind is sample.FailureKind.TIMEOUT:
            state.on_timeout(ratio, started_s, self._failure_share, now_s)
        else:
            state.on_break(started_s, self._failure_share, now_s)

    def _count(self, *, is_failure: bool) -> None:
        target = 1.0 if is_failure else 0.0
        self._failure_share += (target - self._failure_share) * _PEERS_WEIGHT

    def _note_change(self, state: server_state.ServerState) -> None:
        group = self._groups.get(state.server.version)
        if group is not None and state.server.data_centre not in self._out:
            group.update(state)
        sign = state.take_news()
        if sign is not None:
            self._signs[sign.server_id] = sign

    def _forget_gone(
        self, server_id: ids.ServerId, state: server_state.ServerState
    ) -> None:
        if state.life is life.Life.GONE:
            self._states.pop(server_id, None)

    def _regroup(self) -> None:
        self._groups = {}
        for state in self._states.values():
            backend = state.server
            if backend.data_centre in self._out:
                continue
            if state.life in (life.Life.LEAVING, life.Life.GONE):
                continue
            group = self._groups.setdefault(
                backend.version, server_group.ServerGroup()
            )
            group.add(state, is_local=backend.data_centre == self._own)
