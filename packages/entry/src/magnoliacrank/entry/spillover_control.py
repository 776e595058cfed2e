"""SpilloverControl: applies the share of requests that leaves a data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.policy import caller_steering
from magnoliacrank.policy import crowding
from magnoliacrank.policy import placement
from magnoliacrank.policy import round_trips
from magnoliacrank.policy import spillover

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    import random

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import entry_metrics
    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import placement_request as placement_requests
    from magnoliacrank.entry import site_view
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import service_load

_UPDATE_S = 0.5
"""Interval of updates; half that of heartbeats between data centres."""

_REPORT_AGE_S = 1.0
"""Age up to which a server's report counts in the mean of slowdowns."""

_SPEED_WEIGHT = 0.3
"""Weight of an update in the mean speed of a data centre's servers. Neighbours
change the speed of each server several times in between."""

_LOCAL_FIRST = 6
"""Local servers that are probed before remote ones: all rounds of a search but
the last."""

_MAX_STEERING_DISTANCE = 0.1
"""Additional round trip, as a share of the execution time, up to which callers
are steered to a data centre. They stay for seconds and in sum pay it oftener
than the requests that are forwarded."""

_LOGGED_CHANGE = 0.1
"""Change of a share from which on it is logged."""


class LoadSource(Protocol):
    """Provides the loads of a service at this instance and at others."""

    def own_load(self, service: str, now_s: float) -> service_load.ServiceLoad:
        """Returns the load of a service at this instance."""

    @property
    def highest_priority(self) -> int:
        """Number of the most urgent priority that any route has."""

    @property
    def peer_loads(self) -> service_load.ServiceLoadRegister:
        """Loads that other instances report."""


@attrs.define
class _Service:
    """State of one service at this instance."""

    controller: spillover.Spillover
    budget: spillover.CrossingBudget = attrs.field(
        factory=spillover.CrossingBudget
    )
    plan: spillover.Plan | None = None
    balances: dict[str, spillover.Balance] = attrs.field(factory=dict)
    updated_s: float = float("-inf")
    speeds: dict[str, float] = attrs.field(factory=dict)
    logged_share: float = 0.0


class SpilloverControl:
    """Decides which servers of other data centres a request may use.

    Without recent reports of other data centres it restricts nothing.

    Args:
        view: Registered servers.
        table: Load reports and health of servers.
        roster: Membership.
        loads: Loads of services here and at other instances.
        crowding_of: Returns the measured slowdown of a service's nearly full
            servers.
        log: Log for changes of shares.
        metrics: Counts requests and bytes to other data centres.
        clock: Returns the monotonic time in seconds.
        rng: Random numbers for the choice of servers.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        table: backend_table.BackendTable,
        roster: instance_roster.InstanceRoster,
        loads: LoadSource,
        crowding_of: Callable[[str], crowding.Crowding],
        log: event_log.EventLog,
        metrics: entry_metrics.EntryMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._table = table
        self._roster = roster
        self._loads = loads
        self._crowding_of = crowding_of
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._data_centre = roster.own.data_centre
        self._round_trips = round_trips.RoundTrips()
        self._services: dict[str, _Service] = {}
        self.lasting_shares = caller_steering.LastingShares()

    def arrange(
        self,
        request: placement_requests.PlacementRequest,
        candidates: Sequence[backend_table.Backend],
    ) -> list[backend_table.Backend]:
        """Orders the servers that a request may use in view of the plan.

        Args:
            request: The request.
            candidates: Servers in the order of preference, local ones first.

        Returns:
            The servers to probe, in this order. Remote ones are left out if
            their data centre has no room, or if the budget is used up.
        """
        now_s = self._clock()
        state = self._current(request.service, now_s)
        local = [
            item
            for item in candidates
            if self._is_local(item) and _is_sound(item, now_s)
        ]
        if state.plan is None or not local:
            return list(candidates)
        rest = [item for item in candidates if self._is_local(item)]
        if not state.plan.share and self._may_wait_locally(
            state, request, now_s
        ):
            return rest
        is_urgent = request.priority <= self._loads.highest_priority
        if not state.budget.may_send(now_s, is_urgent=is_urgent):
            return rest
        room = state.plan.room_slots
        remote = [item for item in candidates if item.entry.data_centre in room]
        remote.sort(
            key=lambda item: (
                not _is_sound(item, now_s),
                self._rng.expovariate(room[item.entry.data_centre]),
            )
        )
        # Nothing is planned for data centres that are far away or unknown.
        others = [
            item
            for item in candidates
            if item.entry.data_centre not in state.balances
        ]
        return rest[:_LOCAL_FIRST] + remote + rest[_LOCAL_FIRST:] + others

    def plan(self, service: str, now_s: float) -> spillover.Plan | None:
        """Returns the plan of a service; None without figures of others.

        Args:
            service: Name of the service.
            now_s: Clock time in seconds.
        """
        return self._current(service, now_s).plan

    def distance_ratio(
        self, backend: backend_table.Backend, work_s: float
    ) -> float:
        """Returns the additional round trip to a server per execution time."""
        return self._distance_s(backend.entry.data_centre) / max(work_s, 1e-3)

    def on_round_trip(self, data_centre: str, duration_s: float) -> None:
        """Records the duration of a health request to a data centre."""
        self._round_trips.add(data_centre, duration_s)

    def on_sent(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
    ) -> None:
        """Counts a request that is sent to a server, if that is remote."""
        data_centre = backend.entry.data_centre
        if self._is_local(backend):
            return
        state = self._current(request.service, self._clock())
        state.budget.on_sent()
        self._metrics.on_crossing(
            request.service, data_centre, request.transfer_bytes
        )

    def _current(self, service: str, now_s: float) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = _Service(spillover.Spillover(self._data_centre))
            self._services[service] = state
        if now_s - state.updated_s >= _UPDATE_S:
            state.updated_s = now_s
            self._update(service, state, now_s)
        return state

    def _update(self, service: str, state: _Service, now_s: float) -> None:
        own = self._loads.own_load(service, now_s)
        rows = [(self._data_centre, own)]
        rows += self._loads.peer_loads.loads(service, now_s)
        rate_per_s = sum(row.demand_per_s for _, row in rows)
        if not rate_per_s:
            work_s = own.work_s
        else:
            work_s = (
                sum(row.demand_per_s * row.work_s for _, row in rows)
                / rate_per_s
            )
        state.balances = self._balances(service, rows, state.speeds, now_s)
        for place in list(state.balances):
            if not placement.is_near(work_s, self._distance_s(place)):
                del state.balances[place]
        state.plan = state.controller.update(
            state.balances,
            work_s,
            self._crossing_cost_s(state, work_s),
            now_s,
        )
        local_per_s = sum(
            row.demand_per_s
            for data_centre, row in rows
            if data_centre == self._data_centre
        )
        if state.plan is not None and work_s:
            part = own.demand_per_s / local_per_s if local_per_s else 1.0
            state.budget.set_rate(part * state.plan.limit_slots / work_s, now_s)
        shares = {} if state.plan is None else state.plan.shares
        near = {
            place: share
            for place, share in shares.items()
            if self._distance_s(place) <= _MAX_STEERING_DISTANCE * work_s
        }
        self.lasting_shares.update(service, near, now_s)
        self._report(service, state)

    def _balances(
        self,
        service: str,
        rows: list[tuple[str, service_load.ServiceLoad]],
        speeds: dict[str, float],
        now_s: float,
    ) -> dict[str, spillover.Balance]:
        """Returns the figures of the data centres that are known now."""
        room_slots = self._room_slots(service, speeds, now_s)
        known = self._loads.peer_loads.data_centres(now_s)
        known.add(self._data_centre)
        if not self._roster.is_alone(now_s):
            # Without instances a data centre has no callers of its own.
            known.update(
                place
                for place in room_slots
                if not self._roster.crew(place, now_s)
            )
        found = {}
        for place in known:
            loads = [load for name, load in rows if name == place]
            found[place] = spillover.Balance(
                demand_slots=sum(
                    load.demand_per_s * load.work_s for load in loads
                ),
                room_slots=room_slots.get(place, 0.0),
                rejected_slots=sum(
                    load.rejected_per_s * load.work_s for load in loads
                ),
            )
        return found

    def _room_slots(
        self, service: str, speeds: dict[str, float], now_s: float
    ) -> dict[str, float]:
        """Returns the usable slots by data centre, at their present speed.

        Args:
            service: Name of the service.
            speeds: Smoothed mean speed of its servers by data centre, to be
                updated.
            now_s: Clock time in seconds.
        """
        slots: dict[str, int] = {}
        samples: dict[str, list[float]] = {}
        factor = self._crowding_of(service).factor
        for entry in self._view.backends(service):
            place = entry.data_centre
            backend = self._table.find(entry)
            slots.setdefault(place, 0)
            if not _is_sound(backend, now_s) or backend.is_cold(now_s):
                continue
            slots[place] += crowding.worthwhile_slots(entry.slots, factor)
            report = backend.report
            if report and now_s - backend.report_received_s <= _REPORT_AGE_S:
                samples.setdefault(place, []).append(
                    placement.speed(report, backend.health.duration_ratio)
                )
        for place, found in samples.items():
            mean = sum(found) / len(found)
            known = speeds.setdefault(place, mean)
            speeds[place] = known + _SPEED_WEIGHT * (mean - known)
        # Servers that aren't probed are taken to be as fast as the local ones.
        usual = speeds.get(self._data_centre, 1.0)
        return {
            place: count * speeds.get(place, usual)
            for place, count in slots.items()
        }

    def _crossing_cost_s(self, state: _Service, work_s: float) -> float:
        distances_s = map(self._distance_s, state.balances)
        return placement.crossing_cost_s(work_s, max(distances_s, default=0.0))

    def _may_wait_locally(
        self,
        state: _Service,
        request: placement_requests.PlacementRequest,
        now_s: float,
    ) -> bool:
        """Whether a request has waited for less than crossing would cost."""
        waited_s = now_s - request.asked_s
        return request.may_wait and waited_s < self._crossing_cost_s(
            state, request.work_s
        )

    def _distance_s(self, data_centre: str) -> float:
        """Returns the round trip beyond that in the own data centre."""
        return self._round_trips.excess_s(data_centre, self._data_centre)

    def _is_local(self, backend: backend_table.Backend) -> bool:
        return backend.entry.data_centre == self._data_centre

    def _report(self, service: str, state: _Service) -> None:
        """Updates the metric, and logs a noticeable change of the share."""
        share = 0.0 if state.plan is None else state.plan.share
        self._metrics.set_spillover_share(service, share)
        if abs(share - state.logged_share) < _LOGGED_CHANGE:
            return
        state.logged_share = share
        own = state.balances[self._data_centre]
        room = {} if state.plan is None else state.plan.room_slots
        self._log.event(
            "spillover share",
            service=service,
            share=round(share, 3),
            room={name: round(slots, 1) for name, slots in room.items()},
            demand_slots=round(own.demand_slots, 1),
            room_slots=round(own.room_slots, 1),
        )


def _is_sound(backend: backend_table.Backend, now_s: float) -> bool:
    """Whether a server answers health requests and isn't avoided."""
    health = backend.health
    return not health.is_unresponsive(now_s) and not health.is_blocked(now_s)
