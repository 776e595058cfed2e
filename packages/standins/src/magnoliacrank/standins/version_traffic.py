"""Seeded traffic to two versions of a service, in fake time."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import move as move_lib
from magnoliacrank.policy import rollout

OLD = ids.SoftwareVersion("old")
NEW = ids.SoftwareVersion("new")

_TICK_S = 0.5
_BASE_LATENCY_S = 0.004
_LATENCY_SIGMA = 0.6


@attrs.frozen
class Behaviour:
    """How a version answers at one moment on one route."""

    error_chance: float = 0.0
    """Chance of an error."""

    slowness: float = 1.0
    """Factor on the latency."""


@attrs.frozen
class Moment:
    """When and under what a version is asked."""

    now_s: float
    """Seconds since the move began."""

    route: str
    """Name of the route."""

    share: float
    """Share of the new version on the route."""


Condition = Callable[[Moment], bool]
"""Whether a moment is one of a kind."""

BehaviourAt = Callable[[Moment], Behaviour]
"""Behaviour of a version at a moment."""


def steady(behaviour: Behaviour) -> BehaviourAt:
    """Returns a behaviour that never changes."""
    return lambda _: behaviour


_GOOD = steady(Behaviour(0.001))


@attrs.define
class MoveRun:
    """What became of one simulated move."""

    phase: move_lib.Phase = move_lib.Phase.RUNNING
    """Phase at the end."""

    reason: move_lib.Reason = move_lib.Reason.NONE
    """Why it ended."""

    ended_s: float = 0.0
    """Seconds until it ended."""

    largest_share: float = 0.0
    """Largest share that any route reached while the move ran."""

    new_requests: int = 0
    """Requests to the new version."""

    new_errors: int = 0
    """Errors of the new version."""


@attrs.define
class MoveSimulation:
    """One move over several instances that exchange evidence."""

    rates_per_s: Mapping[str, float]
    """Requests a second by route, over all instances."""

    old: BehaviourAt = _GOOD
    """Behaviour of the old version."""

    new: BehaviourAt = _GOOD
    """Behaviour of the new version."""

    deadline_s: float | None = 300.0
    """Seconds from the start to the deadline, or None."""

    instances: int = 3
    """Entry instances that share the traffic."""

    seed: int = 0
    """Seed of the traffic."""

    capacity: Callable[[float], rollout.Capacity] = lambda _: rollout.Capacity(
        20, 20
    )
    """Listed slots by seconds since the start."""

    is_log_up: Callable[[float], bool] = lambda _: True
    """Whether steps can be recorded, by seconds since the start."""

    rules: rollout.RolloutRules = attrs.Factory(rollout.RolloutRules)
    """Speed and bounds."""

    limit_s: float = 1000.0
    """Seconds after which the run is given up."""

    def run(self) -> MoveRun:
        """Runs the move to its end."""
        rng = random.Random(self.seed)
        trackers = self._trackers()
        result = MoveRun()
        now_s = 0.0
        while now_s < self.limit_s:
            for tracker in trackers:
                tracker.on_capacity(self.capacity(now_s))
                self._send(rng, tracker, now_s, result)
                tracker.on_tick()
            _exchange(trackers)
            now_s += _TICK_S
            if self.is_log_up(now_s):
                self._record(trackers, now_s)
            if trackers[0].move.phase.is_final:
                break
        result.phase = trackers[0].move.phase
        result.reason = trackers[0].move.reason
        result.ended_s = now_s
        return result

    def _trackers(self) -> Sequence[rollout.RolloutTracker]:
        begun = move_lib.Move(
            "s@2", ids.ServiceName("s"), OLD, NEW, self.deadline_s
        )
        return tuple(
            rollout.RolloutTracker(
                begun,
                tuple(self.rates_per_s),
                origin=ids.InstanceId(f"i{index}"),
                incarnation=ids.Incarnation(1),
                now_s=0.0,
                deadline_s=self.deadline_s,
                rules=self.rules,
            )
            for index in range(self.instances)
        )

    def _send(
        self,
        rng: random.Random,
        tracker: rollout.RolloutTracker,
        now_s: float,
        result: MoveRun,
    ) -> None:
        shares = tracker.shares(now_s)
        for route, rate in self.rates_per_s.items():
            share = shares[route][NEW]
            result.largest_share = max(result.largest_share, share)
            moment = Moment(now_s, route, share)
            for _ in range(_count(rng, rate * _TICK_S / self.instances)):
                self._send_one(rng, tracker, moment, result)

    def _send_one(
        self,
        rng: random.Random,
        tracker: rollout.RolloutTracker,
        moment: Moment,
        result: MoveRun,
    ) -> None:
        is_new = rng.random() < moment.share
        behaviour = (self.new if is_new else self.old)(moment)
        ok = rng.random() >= behaviour.error_chance
        noise = rng.lognormvariate(0.0, _LATENCY_SIGMA)
        latency_s = _BASE_LATENCY_S * behaviour.slowness * noise
        result.new_requests += is_new
        result.new_errors += is_new and not ok
        tracker.on_sample(moment.route, NEW if is_new else OLD, latency_s, ok)

    def _record(
        self, trackers: Sequence[rollout.RolloutTracker], now_s: float
    ) -> None:
        move = next_move(trackers[0].move, trackers[0].verdict(now_s))
        for tracker in trackers:
            tracker.on_move(move, now_s, self.deadline_s)


def next_move(
    move: move_lib.Move, verdict: rollout.RolloutVerdict
) -> move_lib.Move:
    """Returns a move after the step that a verdict asks for."""
    if verdict.decision is rollout.Decision.HOLD:
        return move
    phases = {
        rollout.Decision.GROW: move_lib.Phase.RUNNING,
        rollout.Decision.COMPLETE: move_lib.Phase.DONE,
        rollout.Decision.TAKE_BACK: move_lib.Phase.TAKEN_BACK,
    }
    return attrs.evolve(
        move,
        step=move.step + 1,
        phase=phases[verdict.decision],
        route_shares=verdict.route_shares,
        reason=verdict.reason,
        route=verdict.route,
    )


def _exchange(trackers: Sequence[rollout.RolloutTracker]) -> None:
    for source in trackers:
        evidence = source.take_evidence()
        if evidence is None:
            continue
        for tracker in trackers:
            tracker.on_evidence(evidence)


def _count(rng: random.Random, mean: float) -> int:
    whole = int(mean)
    return whole + (rng.random() < mean - whole)
