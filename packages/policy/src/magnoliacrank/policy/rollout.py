"""Rollout of a new version: its share of requests grows on evidence.

A move is the recorded rollout of one new version of a service. It ends when
the new version gets all requests, or when they are taken back.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import move as move_lib
from magnoliacrank.policy import fault_test
from magnoliacrank.policy import rollout_evidence

_FULL_SHARE = 1.0


@attrs.frozen
class Stage:
    """One share of the new version, and the conditions to go beyond it."""

    share: float
    """Share of a route's requests that go to the new version."""

    min_samples: int
    """Requests to the new version that suffice to go on."""

    min_s: float
    """Least time at this share in seconds."""


@attrs.frozen
class RolloutRules:
    """How fast a new version's share grows, and when it is taken back."""

    stages: tuple[Stage, ...] = (
        Stage(0.01, 20, 2.0),
        Stage(0.05, 50, 2.0),
        Stage(0.2, 100, 2.0),
        Stage(0.5, 200, 2.0),
        Stage(0.9, 400, 10.0),
    )
    """Stages in ascending order of their shares."""

    false_alarm_chance: float = 0.005
    """Bound on the probability that a good version is taken back, per move."""

    max_deciding_instances: int = 6
    """Instances that may each take a version back, by tests of their own."""

    fault_evidence: float = 50.0
    """Evidence of a fault from which a route's share stops growing."""

    stages_time_share: float = 0.8
    """Share of the time to the deadline that all stages together may take."""

    stage_s_without_deadline: float = 600.0
    """Seconds after which a stage ends despite few requests, if there is no
    deadline."""

    full_traffic_slot_share: float = 0.8
    """Slots of the new version that can carry all traffic, as a share of the
    most slots that the old version had during the move."""


@attrs.frozen
class Capacity:
    """Number of slots of the listed backend servers at both versions.

    A slot is the capacity of a server for one request at a time.
    """

    old_slots: int
    """Slots of live backend servers at the old version."""

    new_slots: int
    """Slots of live backend servers at the new version."""


class Decision(enum.Enum):
    """What to do with a move."""

    HOLD = "hold"
    """Leave the shares as they are."""

    GROW = "grow"
    """Raise the shares."""

    COMPLETE = "complete"
    """End the move; the new version gets all requests."""

    TAKE_BACK = "take-back"
    """End the move; the old version gets all requests."""


@attrs.frozen
class RolloutVerdict:
    """Decision on a move, with its reason."""

    decision: Decision
    """What to do with the move."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """New share of the new version by route, for the decision to grow."""

    reason: move_lib.Reason = move_lib.Reason.NONE
    """Why the move ends, if it does."""

    route: str = ""
    """Route on which a fault was found, or empty."""


_HOLD = RolloutVerdict(Decision.HOLD)


class _RouteRollout:
    """Samples, fault tests and current share of one route in a move."""

    def __init__(self, name: str) -> None:
        self.samples = rollout_evidence.RouteSamples(name)
        self.tests = {
            move_lib.Reason.ERRORS: fault_test.FaultTest(),
            move_lib.Reason.LATENCY: fault_test.FaultTest(),
        }
        self.share = 0.0
        self.share_set_s = 0.0
        self.new_requests = 0

    @property
    def fault_evidence(self) -> float:
        """Evidence of a fault by the test that has the most."""
        return max(test.evidence for test in self.tests.values())

    def on_block(self, block: rollout_evidence.Block) -> None:
        self.new_requests += block.new_requests
        self.tests[move_lib.Reason.ERRORS].on_block(block.errors)
        self.tests[move_lib.Reason.LATENCY].on_block(block.latency)

    def set_share(self, share: float, now_s: float) -> None:
        """Sets the new version's share; a change begins a new stage."""
        if share == self.share:
            return
        self.share = share
        self.share_set_s = now_s
        self.new_requests = 0
        self.samples.drop_block()


class RolloutTracker:
    """Tracks one move on one instance.

    Every instance has a tracker for each move of its services: it provides the
    shares for routing, collects evidence and stops a faulty version at once.
    Only the instance that holds the term for moves, that is, the elected
    leader, acts on the verdict.
    """

    def __init__(
        self,
        move: move_lib.Move,
        routes: Sequence[str],
        *,
        origin: ids.InstanceId,
        incarnation: ids.Incarnation,
        now_s: float,
        deadline_s: float | None = None,
        rules: RolloutRules | None = None,
    ) -> None:
        """Starts to track a move.

        Args:
            move: State of the move, derived from the log.
            routes: Names of the service's routes.
            origin: Name of this instance.
            incarnation: Incarnation of this instance's process.
            now_s: Current monotonic time in seconds.
            deadline_s: Monotonic time of the move's deadline in seconds, or
                None without a deadline.
            rules: Stages and bounds, or None for the defaults.
        """
        self._move = move
        self._routes = {name: _RouteRollout(name) for name in routes}
        self._origin = origin
        self._incarnation = incarnation
        self._rules = rules or RolloutRules()
        self._started_s = now_s
        self._deadline_s = deadline_s
        self._capacity: Capacity | None = None
        self._max_old_slots = 0
        self._fault: rollout_evidence.Fault | None = None
        self._is_fault_sent = False
        self._unsent_blocks: list[rollout_evidence.Block] = []
        self._sequence = 0
        self._last_sequences: dict[
            tuple[ids.InstanceId, ids.Incarnation], int
        ] = {}
        self.on_move(move, now_s, deadline_s)

    @property
    def move(self) -> move_lib.Move:
        """State of the move, as last derived from the log."""
        return self._move

    @property
    def fault(self) -> rollout_evidence.Fault | None:
        """Fault for which this instance stopped the new version, or None."""
        return self._fault

    @property
    def threshold(self) -> float:
        """Evidence from which a version counts as faulty."""
        tests = (
            2 * max(len(self._routes), 1) * self._rules.max_deciding_instances
        )
        return tests / self._rules.false_alarm_chance

    def on_move(
        self, move: move_lib.Move, now_s: float, deadline_s: float | None
    ) -> None:
        """Applies a newer state of the same move."""
        self._move = move
        self._deadline_s = deadline_s
        for name, route in self._routes.items():
            route.set_share(move.route_shares.get(name, 0.0), now_s)

    def on_routes(self, routes: Sequence[str]) -> None:
        """Applies the routes of an edited plan; new ones start at share 0."""
        self._routes = {
            name: self._routes.get(name) or _RouteRollout(name)
            for name in routes
        }

    def on_capacity(self, capacity: Capacity) -> None:
        """Records the slots of both versions as currently listed."""
        self._capacity = capacity
        self._max_old_slots = max(self._max_old_slots, capacity.old_slots)

    def on_sample(
        self,
        route: str,
        version: ids.SoftwareVersion,
        latency_s: float,
        ok: bool,  # noqa: FBT001 - one sample, in the order of its fields
        *,
        is_cold: bool = False,
    ) -> None:
        """Records the outcome of one dispatched request.

        Args:
            route: Name of the route.
            version: Version that the request was sent to.
            latency_s: Seconds until its answer or failure.
            ok: Whether the answer was complete and not an error.
            is_cold: Whether the backend server had just started; its latency
                is then ignored.
        """
        state = self._routes.get(route)
        if state is None:
            return
        is_new = version == self._move.new_version
        if not is_new and version != self._move.old_version:
            return
        is_full = state.samples.on_sample(
            is_new=is_new, latency_s=latency_s, ok=ok, is_cold=is_cold
        )
        if is_full:
            self._close_block(state)

    def on_tick(self) -> None:
        """Closes the blocks that are due; to be called about twice a second."""
        for route in self._routes.values():
            if route.samples.on_tick():
                self._close_block(route)

    def on_evidence(self, evidence: rollout_evidence.Evidence) -> None:
        """Adds a peer's evidence; repeated and older messages are dropped."""
        if evidence.move_id != self._move.move_id:
            return
        source = (evidence.origin, evidence.incarnation)
        if evidence.sequence <= self._last_sequences.get(source, 0):
            return
        if evidence.origin == self._origin:
            return
        self._last_sequences[source] = evidence.sequence
        for block in evidence.blocks:
            self._on_block(block)
        if evidence.fault is not None:
            self._record_fault(evidence.fault)

    def take_evidence(self) -> rollout_evidence.Evidence | None:
        """Returns evidence since the last call, to send to peers, or None.

        A fault is included in every call, so that it reaches instances that
        start later.
        """
        if not self._unsent_blocks and self._fault is None:
            return None
        self._sequence += 1
        blocks = tuple(self._unsent_blocks)
        self._unsent_blocks.clear()
        return rollout_evidence.Evidence(
            move_id=self._move.move_id,
            origin=self._origin,
            incarnation=self._incarnation,
            sequence=self._sequence,
            blocks=blocks,
            fault=self._fault,
        )

    def shares(
        self, now_s: float
    ) -> Mapping[str, Mapping[ids.SoftwareVersion, float]]:
        """Returns the share of each version by route."""
        del now_s
        return {
            name: self._version_shares(route)
            for name, route in self._route_items()
        }

    def verdict(self, now_s: float) -> RolloutVerdict:
        """Returns what to do with the move now."""
        for rule in (
            self._hold_if_ended,
            self._take_back_if_faulty,
            self._complete_if_old_gone,
            self._complete_if_proven,
            self._take_back_at_deadline,
            self._grow_if_due,
        ):
            found = rule(now_s)
            if found is not None:
                return found
        return _HOLD

    def _route_items(self) -> list[tuple[str, _RouteRollout]]:
        return list(self._routes.items())

    def _version_shares(
        self, route: _RouteRollout
    ) -> Mapping[ids.SoftwareVersion, float]:
        part = self._new_version_share(route)
        return {
            self._move.old_version: 1.0 - part,
            self._move.new_version: part,
        }

    def _new_version_share(self, route: _RouteRollout) -> float:
        """Returns the new version's share of a route's requests."""
        if self._move.phase is move_lib.Phase.DONE or self._is_old_gone():
            return _FULL_SHARE
        if self._move.phase.is_final or self._fault is not None:
            return 0.0
        return min(route.share, self._max_share_by_capacity())

    def _is_old_gone(self) -> bool:
        slots = self._capacity
        return slots is not None and slots.old_slots == 0 < slots.new_slots

    def _max_share_by_capacity(self) -> float:
        """Returns the share that the new version's servers can carry."""
        if self._capacity is None:
            return _FULL_SHARE
        needed = self._max_old_slots * self._rules.full_traffic_slot_share
        return min(self._capacity.new_slots / max(needed, 1.0), _FULL_SHARE)

    def _close_block(self, route: _RouteRollout) -> None:
        block = route.samples.close_block()
        if block is not None:
            self._unsent_blocks.append(block)
            self._on_block(block)

    def _on_block(self, block: rollout_evidence.Block) -> None:
        route = self._routes.get(block.route)
        if route is None:
            return
        route.on_block(block)
        for reason, test in route.tests.items():
            if test.evidence >= self.threshold:
                self._record_fault(rollout_evidence.Fault(block.route, reason))

    def _record_fault(self, fault: rollout_evidence.Fault) -> None:
        """Stops the new version; only the first fault is kept."""
        if self._fault is None:
            self._fault = fault

    def _hold_if_ended(self, _: float) -> RolloutVerdict | None:
        return _HOLD if self._move.phase.is_final else None

    def _take_back_if_faulty(self, _: float) -> RolloutVerdict | None:
        if self._fault is None:
            return None
        return RolloutVerdict(
            Decision.TAKE_BACK,
            reason=self._fault.reason,
            route=self._fault.route,
        )

    def _complete_if_old_gone(self, _: float) -> RolloutVerdict | None:
        if not self._is_old_gone():
            return None
        return RolloutVerdict(
            Decision.COMPLETE, reason=move_lib.Reason.OLD_VERSION_GONE
        )

    def _take_back_at_deadline(self, now_s: float) -> RolloutVerdict | None:
        if self._deadline_s is None or now_s < self._deadline_s:
            return None
        if self._move.step == 0 and self._started_s >= self._deadline_s:
            reason = move_lib.Reason.DEADLINE_PAST
        elif self._max_share_by_capacity() < _FULL_SHARE:
            reason = move_lib.Reason.TOO_FEW_SERVERS
        else:
            reason = move_lib.Reason.DEADLINE_MISSED
        return RolloutVerdict(Decision.TAKE_BACK, reason=reason)

    def _complete_if_proven(self, now_s: float) -> RolloutVerdict | None:
        if self._max_share_by_capacity() < _FULL_SHARE:
            return None
        last = len(self._rules.stages) - 1
        for route in self._routes.values():
            if self._stage_index(route) < last:
                return None
            if not self._is_stage_passed(route, now_s):
                return None
        return RolloutVerdict(
            Decision.COMPLETE, reason=move_lib.Reason.EVIDENCE
        )

    def _grow_if_due(self, now_s: float) -> RolloutVerdict | None:
        if self._capacity is not None and self._capacity.new_slots == 0:
            return None
        shares = {
            name: self._next_share(route, now_s)
            for name, route in self._route_items()
        }
        if all(
            shares[name] == route.share for name, route in self._route_items()
        ):
            return None
        return RolloutVerdict(Decision.GROW, route_shares=shares)

    def _next_share(self, route: _RouteRollout, now_s: float) -> float:
        index = self._stage_index(route)
        if index + 1 >= len(self._rules.stages):
            return route.share
        stage = self._rules.stages[index + 1]
        if index < 0:
            return stage.share
        if route.share > self._max_share_by_capacity():
            return route.share
        return (
            stage.share if self._is_stage_passed(route, now_s) else route.share
        )

    def _stage_index(self, route: _RouteRollout) -> int:
        """Returns the index of a route's stage; -1 before the first one."""
        passed = [
            index
            for index, stage in enumerate(self._rules.stages)
            if stage.share <= route.share
        ]
        return passed[-1] if passed else -1

    def _is_stage_passed(self, route: _RouteRollout, now_s: float) -> bool:
        """Returns whether a route has met the conditions of its stage."""
        if route.fault_evidence >= self._rules.fault_evidence:
            return False
        stage = self._rules.stages[self._stage_index(route)]
        spent_s = now_s - route.share_set_s
        if spent_s < min(stage.min_s, self._max_stage_s()):
            return False
        if route.new_requests >= stage.min_samples:
            return True
        return spent_s >= self._max_stage_s()

    def _max_stage_s(self) -> float:
        """Returns the seconds after which a stage ends despite few requests."""
        if self._deadline_s is None:
            return self._rules.stage_s_without_deadline
        usable_s = (
            self._deadline_s - self._started_s
        ) * self._rules.stages_time_share
        return usable_s / len(self._rules.stages)
