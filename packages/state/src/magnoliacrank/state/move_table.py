"""Move table: the running moves (version rollouts), as seen by one instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from absl import logging
import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.policy import rollout
from magnoliacrank.policy import rollout_evidence
from magnoliacrank.state import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliacrank.model import configuration as configuration_lib
    from magnoliacrank.model import instance
    from magnoliacrank.model import move as move_lib
    from magnoliacrank.state import log_follower

MOVES_JOB = "moves"
"""Name of the singleton job whose holder records the steps of moves."""

Shares = dict[ids.SoftwareVersion, float]
"""Fraction of a route's requests for each software version; sums to 1."""


@attrs.frozen
class SharesChanged:
    """The traffic split of a service's versions changed on this instance."""

    service: ids.ServiceName
    """Service whose traffic split changed."""

    routes: dict[str, Shares]
    """New traffic split of each route, by route name."""


class MoveTable:
    """Provides the traffic split per route and collects rollout evidence.

    Every running move has one rollout tracker, which compares the errors and
    latencies of the new version with those of the old one.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        *,
        instance_id: ids.InstanceId,
        incarnation: ids.Incarnation,
        rules: rollout.RolloutRules | None = None,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates trackers for the running moves and subscribes to changes.

        Args:
            follower: Provides the log state and its changes.
            instance_id: Name of this instance.
            incarnation: Incarnation of this instance, sent with its evidence.
            rules: Stages and thresholds of rollouts; the defaults when None.
            clock: Returns monotonic time in seconds.
            unix_clock: Returns Unix time in seconds, in which the deadlines of
                moves are given.
        """
        self._follower = follower
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._rules = rules or rollout.RolloutRules()
        self._clock = clock
        self._unix_clock = unix_clock
        self._trackers: dict[ids.ServiceName, rollout.RolloutTracker] = {}
        self._shares: dict[ids.ServiceName, dict[str, Shares]] = {}
        self._listing: instance.LiveListing | None = None
        self._subscribers: list[Callable[[SharesChanged], None]] = []
        follower.subscribe(self.on_message)
        self._update_all_services()

    @property
    def trackers(self) -> Mapping[ids.ServiceName, rollout.RolloutTracker]:
        """Rollout trackers of the running moves, by service."""
        return self._trackers

    def subscribe(self, handler: Callable[[SharesChanged], None]) -> None:
        """Registers a handler for changed traffic splits; it must not block."""
        self._subscribers.append(handler)

    def shares(self, service: ids.ServiceName, route: str) -> Shares:
        """Returns the traffic split of a route; empty for an unknown route."""
        return self._shares.get(service, {}).get(route, {})

    def on_sample(
        self,
        service: ids.ServiceName,
        route: str,
        version: ids.SoftwareVersion,
        latency_s: float,
        ok: bool,  # noqa: FBT001 - one sample, in the order of its fields
        *,
        is_cold: bool = False,
    ) -> None:
        """Records the outcome of one dispatched request.

        Args:
            service: Service that the request was for.
            route: Name of the route.
            version: Software version of the backend server.
            latency_s: Seconds until the answer or the failure.
            ok: Whether the answer was complete and not an error.
            is_cold: Whether the backend server was cold, that is, not known to
                be warm; the latency is then ignored.
        """
        tracker = self._trackers.get(service)
        if tracker is None:
            return
        tracker.on_sample(route, version, latency_s, ok, is_cold=is_cold)
        if tracker.fault is not None:
            self._update_shares(service)

    def on_tick(self) -> tuple[rollout_evidence.Evidence, ...]:
        """Closes due sample blocks and updates the traffic splits.

        To be called about twice a second.

        Returns:
            Evidence of this instance to be sent to the other instances; see
            `evidence_recipients`.
        """
        evidence_to_send: list[rollout_evidence.Evidence] = []
        for service, tracker in tuple(self._trackers.items()):
            tracker.on_tick()
            evidence = tracker.take_evidence()
            if evidence is not None:
                evidence_to_send.append(evidence)
            self._update_shares(service)
        return tuple(evidence_to_send)

    def on_evidence(self, evidence: rollout_evidence.Evidence) -> None:
        """Passes evidence from another instance to the tracker of its move."""
        for service, tracker in tuple(self._trackers.items()):
            if tracker.move.move_id == evidence.move_id:
                tracker.on_evidence(evidence)
                self._update_shares(service)

    def evidence_recipients(
        self, evidence: rollout_evidence.Evidence
    ) -> frozenset[ids.InstanceId]:
        """Returns the other instances that need a piece of evidence.

        They are the members of the service's crew (the instances that own its
        slots), which stop a faulty version at once, and the holder of the
        `MOVES_JOB` term, which records the steps of moves.
        """
        state = self._follower.state
        names: set[ids.InstanceId] = set()
        term = state.terms.get(MOVES_JOB)
        if term is not None:
            names.add(term.holder)
        for service, tracker in self._trackers.items():
            crew = state.crews.get(service)
            if tracker.move.move_id == evidence.move_id and crew is not None:
                names.update(each.instance_id for each in crew.members)
        return frozenset(names - {self._instance_id})

    def on_listing(self, listing: instance.LiveListing) -> None:
        """Updates the server capacity of every move from a new listing."""
        self._listing = listing
        for service, tracker in tuple(self._trackers.items()):
            self._set_capacity(tracker)
            self._update_shares(service)

    def on_message(self, message: messages.StateMessage) -> None:
        """Handles a change of the log state."""
        if isinstance(message, messages.MoveChanged):
            self._on_move(message.move)
            self._update_shares(message.move.service)
        elif isinstance(message, messages.ConfigurationChanged):
            self._update_all_services()

    def verdicts(
        self,
    ) -> Iterable[tuple[move_lib.Move, rollout.RolloutVerdict]]:
        """Yields each running move with the decision that is due now."""
        now_s = self._clock()
        for tracker in tuple(self._trackers.values()):
            yield tracker.move, tracker.verdict(now_s)

    def _on_move(self, move: move_lib.Move) -> None:
        if move.phase.is_final:
            self._trackers.pop(move.service, None)
            return
        now_s = self._clock()
        deadline_s = self._to_monotonic(move.deadline_s, now_s)
        tracker = self._trackers.get(move.service)
        if tracker is not None and tracker.move.move_id == move.move_id:
            tracker.on_move(move, now_s, deadline_s)
            return
        tracker = rollout.RolloutTracker(
            move,
            self._route_names(move.service),
            origin=self._instance_id,
            incarnation=self._incarnation,
            now_s=now_s,
            deadline_s=deadline_s,
            rules=self._rules,
        )
        self._trackers[move.service] = tracker
        self._set_capacity(tracker)

    def _to_monotonic(self, unix_s: float | None, now_s: float) -> float | None:
        if unix_s is None:
            return None
        return now_s + unix_s - self._unix_clock()

    def _route_names(self, service: ids.ServiceName) -> tuple[str, ...]:
        found = self._follower.state.configuration.find_service(service)
        if found is None:
            return ()
        return tuple(route.name for route in found[1].routes)

    def _set_capacity(self, tracker: rollout.RolloutTracker) -> None:
        if self._listing is None:
            return
        move = tracker.move
        tracker.on_capacity(
            rollout.Capacity(
                old_slots=self._live_slots(move.service, move.old_version),
                new_slots=self._live_slots(move.service, move.new_version),
            )
        )

    def _live_slots(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> int:
        if self._listing is None:
            return 0
        return sum(
            each.slots
            for each in self._listing.servers
            if each.service == service
            and each.version == version
            and each.state is server.ListedState.LIVE
        )

    def _update_all_services(self) -> None:
        state = self._follower.state
        for move in state.moves.values():
            self._on_move(move)
        known: set[ids.ServiceName] = set()
        for plan in state.configuration.plans:
            for service in plan.services:
                known.add(service.name)
                tracker = self._trackers.get(service.name)
                if tracker is not None:
                    tracker.on_routes(self._route_names(service.name))
                self._update_shares(service.name)
        for name in [each for each in self._shares if each not in known]:
            del self._shares[name]
            self._trackers.pop(name, None)

    def _update_shares(self, service: ids.ServiceName) -> None:
        found = self._follower.state.configuration.find_service(service)
        if found is None:
            return
        routes = self._shares_by_route(found[1])
        if routes == self._shares.get(service):
            return
        self._shares[service] = routes
        tracker = self._trackers.get(service)
        if tracker is not None and tracker.fault is not None:
            logging.warning(
                "state: Stopped version %s of %s because of %s on route %s.",
                tracker.move.new_version,
                service,
                tracker.fault.reason.value,
                tracker.fault.route,
            )
        for handler in self._subscribers:
            handler(SharesChanged(service, routes))

    def _shares_by_route(
        self, plan: configuration_lib.ServicePlan
    ) -> dict[str, Shares]:
        tracker = self._trackers.get(plan.name)
        if tracker is not None:
            moving = tracker.shares(self._clock())
            return {name: dict(shares) for name, shares in moving.items()}
        version = self._follower.state.serving_version(plan.name)
        if version is None:
            return {}
        return {route.name: {version: 1.0} for route in plan.routes}
