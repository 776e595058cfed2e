"""Rollout: shares of a new version, grown on evidence or taken back."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import move as move_lib
from magnoliacrank.policy import fault_test
from magnoliacrank.policy import rollout_evidence

_DONE_SHARE = 1.0


@attrs.frozen
class Stage:
    """One share of the new version and what is needed to go beyond it."""

    share: float
    """Share of a route's requests."""

    min_samples: int
    """Requests to the new version that suffice."""

    min_s: float
    """Least time at this share in seconds."""


@attrs.frozen
class RolloutRules:
    """How fast a new version grows and when it is taken back."""

    stages: tuple[Stage, ...] = (
        Stage(0.01, 20, 2.0),
        Stage(0.05, 50, 2.0),
        Stage(0.2, 100, 2.0),
        Stage(0.5, 200, 2.0),
        Stage(0.9, 400, 10.0),
    )
    """Stages in the order of their shares."""

    false_alarm_chance: float = 0.005
    """Bound on the chance that a good version is taken back, per move."""

    testers: int = 6
    """Instances that may each take a version back."""

    suspicion: float = 50.0
    """Evidence of a fault that holds a route where it is."""

    usable_time: float = 0.8
    """Part of the time to the deadline that the stages are given."""

    unhurried_s: float = 600.0
    """Seconds for each stage when there is no deadline."""

    capacity_part: float = 0.8
    """Slots of the new version that carry all traffic, as a part of the
    old version's slots when the move began."""


@attrs.frozen
class Capacity:
    """Slots of both versions as listed."""

    old_slots: int
    """Slots of live backend servers at the old version."""

    new_slots: int
    """Slots of live backend servers at the new version."""


class Decision(enum.Enum):
    """What shall become of a move."""

    HOLD = "hold"
    GROW = "grow"
    COMPLETE = "complete"
    TAKE_BACK = "take-back"


@attrs.frozen
class RolloutVerdict:
    """Decision on a move with what it is based on."""

    decision: Decision
    """What shall become of the move."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """Share of the new version by route, if it grows."""

    reason: move_lib.Reason = move_lib.Reason.NONE
    """Why the move ends."""

    route: str = ""
    """Route on which a fault showed."""


_HOLD = RolloutVerdict(Decision.HOLD)


class _Route:
    """State of one route in a move."""

    def __init__(self, name: str) -> None:
        self.samples = rollout_evidence.RouteSamples(name)
        self.tests = {
            move_lib.Reason.ERRORS: fault_test.FaultTest(),
            move_lib.Reason.LATENCY: fault_test.FaultTest(),
        }
        self.share = 0.0
        self.since_s = 0.0
        self.new_requests = 0

    @property
    def suspicion(self) -> float:
        return max(test.evidence for test in self.tests.values())

    def on_block(self, block: rollout_evidence.Block) -> None:
        self.new_requests += block.new_requests
        self.tests[move_lib.Reason.ERRORS].on_block(block.errors)
        self.tests[move_lib.Reason.LATENCY].on_block(block.latency)

    def set_share(self, share: float, now_s: float) -> None:
        if share == self.share:
            return
        self.share = share
        self.since_s = now_s
        self.new_requests = 0
        self.samples.drop_block()


class RolloutTracker:
    """Follows one move on one instance.

    Every instance has one for each move of its services: it gives the shares
    to route by, collects evidence and stops a faulty version at once. The
    holder of the moves' term acts on its verdict.
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
        """Begins to follow a move.

        Args:
            move: The move as folded.
            routes: Names of the service's routes.
            origin: This instance.
            incarnation: Life of this instance.
            now_s: Monotonic time in seconds.
            deadline_s: Deadline of the move on the same clock, or None.
            rules: Speed and bounds.
        """
        self._move = move
        self._routes = {name: _Route(name) for name in routes}
        self._origin = origin
        self._incarnation = incarnation
        self._rules = rules or RolloutRules()
        self._begun_s = now_s
        self._deadline_s = deadline_s
        self._capacity: Capacity | None = None
        self._reference_slots = 0
        self._fault: rollout_evidence.Fault | None = None
        self._is_fault_told = False
        self._closed: list[rollout_evidence.Block] = []
        self._sequence = 0
        self._heard: dict[tuple[ids.InstanceId, ids.Incarnation], int] = {}
        self.on_move(move, now_s, deadline_s)

    @property
    def move(self) -> move_lib.Move:
        """The move as last folded."""
        return self._move

    @property
    def fault(self) -> rollout_evidence.Fault | None:
        """Fault for which this instance stopped the version, or None."""
        return self._fault

    @property
    def threshold(self) -> float:
        """Evidence at which a version counts as faulty."""
        tests = 2 * max(len(self._routes), 1) * self._rules.testers
        return tests / self._rules.false_alarm_chance

    def on_move(
        self, move: move_lib.Move, now_s: float, deadline_s: float | None
    ) -> None:
        """Takes a newer fold of the same move."""
        self._move = move
        self._deadline_s = deadline_s
        for name, route in self._routes.items():
            route.set_share(move.route_shares.get(name, 0.0), now_s)

    def on_routes(self, routes: Sequence[str]) -> None:
        """Takes the routes of an edited plan; new ones start without share."""
        self._routes = {
            name: self._routes.get(name) or _Route(name) for name in routes
        }

    def on_capacity(self, capacity: Capacity) -> None:
        """Takes the slots of both versions as listed now."""
        self._capacity = capacity
        self._reference_slots = max(self._reference_slots, capacity.old_slots)

    def on_sample(
        self,
        route: str,
        version: ids.SoftwareVersion,
        latency_s: float,
        ok: bool,  # noqa: FBT001 - one sample, in the order of its fields
        *,
        is_cold: bool = False,
    ) -> None:
        """Takes the outcome of one dispatched request.

        Args:
            route: Name of the route.
            version: Version that it was sent to.
            latency_s: Seconds until its answer or failure.
            ok: Whether the answer was whole and no error.
            is_cold: Whether the backend server had just started; its latency
                is then left out.
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
        """Ends the blocks that are due; called about twice a second."""
        for route in self._routes.values():
            if route.samples.on_tick():
                self._close_block(route)

    def on_evidence(self, evidence: rollout_evidence.Evidence) -> None:
        """Takes a peer's evidence; repeats and older messages are dropped."""
        if evidence.move_id != self._move.move_id:
            return
        source = (evidence.origin, evidence.incarnation)
        if evidence.sequence <= self._heard.get(source, 0):
            return
        if evidence.origin == self._origin:
            return
        self._heard[source] = evidence.sequence
        for block in evidence.blocks:
            self._on_block(block)
        if evidence.fault is not None:
            self._stop(evidence.fault)

    def take_evidence(self) -> rollout_evidence.Evidence | None:
        """Returns what peers have not been sent yet, or None.

        A fault is told again with every call, so that it reaches instances
        that start later.
        """
        if not self._closed and self._fault is None:
            return None
        self._sequence += 1
        blocks = tuple(self._closed)
        self._closed.clear()
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
        return {name: self._split(route) for name, route in self._items()}

    def verdict(self, now_s: float) -> RolloutVerdict:
        """Returns what shall become of the move now."""
        for rule in (
            self._ended,
            self._faulty,
            self._without_old,
            self._completed,
            self._past_deadline,
            self._grown,
        ):
            found = rule(now_s)
            if found is not None:
                return found
        return _HOLD

    def _items(self) -> list[tuple[str, _Route]]:
        return list(self._routes.items())

    def _split(self, route: _Route) -> Mapping[ids.SoftwareVersion, float]:
        part = self._new_part(route)
        return {
            self._move.old_version: 1.0 - part,
            self._move.new_version: part,
        }

    def _new_part(self, route: _Route) -> float:
        if self._move.phase is move_lib.Phase.DONE or self._is_old_gone():
            return _DONE_SHARE
        if self._move.phase.is_final or self._fault is not None:
            return 0.0
        return min(route.share, self._largest_share())

    def _is_old_gone(self) -> bool:
        slots = self._capacity
        return slots is not None and slots.old_slots == 0 < slots.new_slots

    def _largest_share(self) -> float:
        """Returns the share that the new version's servers can carry."""
        if self._capacity is None:
            return _DONE_SHARE
        needed = self._reference_slots * self._rules.capacity_part
        return min(self._capacity.new_slots / max(needed, 1.0), _DONE_SHARE)

    def _close_block(self, route: _Route) -> None:
        block = route.samples.close_block()
        if block is not None:
            self._closed.append(block)
            self._on_block(block)

    def _on_block(self, block: rollout_evidence.Block) -> None:
        route = self._routes.get(block.route)
        if route is None:
            return
        route.on_block(block)
        for reason, test in route.tests.items():
            if test.evidence >= self.threshold:
                self._stop(rollout_evidence.Fault(block.route, reason))

    def _stop(self, fault: rollout_evidence.Fault) -> None:
        if self._fault is None:
            self._fault = fault

    def _ended(self, _: float) -> RolloutVerdict | None:
        return _HOLD if self._move.phase.is_final else None

    def _faulty(self, _: float) -> RolloutVerdict | None:
        if self._fault is None:
            return None
        return RolloutVerdict(
            Decision.TAKE_BACK,
            reason=self._fault.reason,
            route=self._fault.route,
        )

    def _without_old(self, _: float) -> RolloutVerdict | None:
        if not self._is_old_gone():
            return None
        return RolloutVerdict(
            Decision.COMPLETE, reason=move_lib.Reason.OLD_VERSION_GONE
        )

    def _past_deadline(self, now_s: float) -> RolloutVerdict | None:
        if self._deadline_s is None or now_s < self._deadline_s:
            return None
        if self._move.step == 0 and self._begun_s >= self._deadline_s:
            reason = move_lib.Reason.DEADLINE_PAST
        elif self._largest_share() < _DONE_SHARE:
            reason = move_lib.Reason.TOO_FEW_SERVERS
        else:
            reason = move_lib.Reason.DEADLINE_MISSED
        return RolloutVerdict(Decision.TAKE_BACK, reason=reason)

    def _completed(self, now_s: float) -> RolloutVerdict | None:
        if self._largest_share() < _DONE_SHARE:
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

    def _grown(self, now_s: float) -> RolloutVerdict | None:
        if self._capacity is not None and self._capacity.new_slots == 0:
            return None
        shares = {
            name: self._next_share(route, now_s)
            for name, route in self._items()
        }
        if all(shares[name] == route.share for name, route in self._items()):
            return None
        return RolloutVerdict(Decision.GROW, route_shares=shares)

    def _next_share(self, route: _Route, now_s: float) -> float:
        index = self._stage_index(route)
        if index + 1 >= len(self._rules.stages):
            return route.share
        stage = self._rules.stages[index + 1]
        if index < 0:
            return stage.share
        if route.share > self._largest_share():
            return route.share
        return (
            stage.share if self._is_stage_passed(route, now_s) else route.share
        )

    def _stage_index(self, route: _Route) -> int:
        """Returns the stage of a route; -1 before the first one."""
        passed = [
            index
            for index, stage in enumerate(self._rules.stages)
            if stage.share <= route.share
        ]
        return passed[-1] if passed else -1

    def _is_stage_passed(self, route: _Route, now_s: float) -> bool:
        if route.suspicion >= self._rules.suspicion:
            return False
        stage = self._rules.stages[self._stage_index(route)]
        spent_s = now_s - route.since_s
        if spent_s < min(stage.min_s, self._stage_s()):
            return False
        if route.new_requests >= stage.min_samples:
            return True
        return spent_s >= self._stage_s()

    def _stage_s(self) -> float:
        """Returns the seconds after which a quiet route goes on anyway."""
        if self._deadline_s is None:
            return self._rules.unhurried_s
        usable_s = (self._deadline_s - self._begun_s) * self._rules.usable_time
        return usable_s / len(self._rules.stages)
