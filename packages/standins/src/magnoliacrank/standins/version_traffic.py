"""Simulated rollout of a new version, with seeded traffic in virtual time."""

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
    """Error rate and latency of a version."""

    error_probability: float = 0.0
    """Probability that a request ends in an error."""

    latency_factor: float = 1.0
    """Factor on the latency of requests."""


@attrs.frozen
class TrafficConditions:
    """Circumstances of a request, on which a version's behaviour may depend."""

    now_s: float
    """Seconds since the move began."""

    route: str
    """Name of the route that the request is for."""

    share: float
    """Share of the route's requests that go to the new version, 0 to 1."""


Condition = Callable[[TrafficConditions], bool]
"""Function that tells whether a condition holds at a moment."""

BehaviourAt = Callable[[TrafficConditions], Behaviour]
"""Function that returns the behaviour of a version at a moment."""


def constant_behaviour(behaviour: Behaviour) -> BehaviourAt:
    """Returns a function that gives the same behaviour at every moment."""
    return lambda _: behaviour


_HEALTHY = constant_behaviour(Behaviour(0.001))


@attrs.define
class MoveResult:
    """Result of one simulated move, that is, the rollout of a new version."""

    phase: move_lib.Phase = move_lib.Phase.RUNNING
    """Phase of the move at the end of the simulation."""

    reason: move_lib.Reason = move_lib.Reason.NONE
    """Why the move ended."""

    ended_s: float = 0.0
    """Seconds from the start of the move to the end of the simulation."""

    largest_share: float = 0.0
    """Largest share of the new version on any route while the move ran."""

    new_requests: int = 0
    """Number of requests to the new version."""

    new_errors: int = 0
    """Number of errors of the new version."""


@attrs.define
class MoveSimulation:
    """Simulates a move, the rollout of a new version, on several instances.

    The instances share the traffic and exchange evidence about the versions.
    """

    rates_per_s: Mapping[str, float]
    """Requests per second by route, summed over all instances."""

    old: BehaviourAt = _HEALTHY
    """Behaviour of the old version."""

    new: BehaviourAt = _HEALTHY
    """Behaviour of the new version."""

    deadline_s: float | None = 300.0
    """Seconds from the start of the move to its deadline, or None."""

    instances: int = 3
    """Number of entry instances that share the traffic."""

    seed: int = 0
    """Seed of the random traffic."""

    capacity: Callable[[float], rollout.Capacity] = lambda _: rollout.Capacity(
        20, 20
    )
    """Returns the listed slots of both versions, by seconds since the start."""

    is_log_up: Callable[[float], bool] = lambda _: True
    """Returns whether steps of the move can be recorded in the log, by seconds
    since the start."""

    rules: rollout.RolloutRules = attrs.Factory(rollout.RolloutRules)
    """Stages and bounds of the rollout."""

    max_duration_s: float = 1000.0
    """Virtual seconds after which the simulation stops."""

    def run(self) -> MoveResult:
        """Runs the simulation until the move or `max_duration_s` ends."""
        rng = random.Random(self.seed)
        trackers = self._trackers()
        result = MoveResult()
        now_s = 0.0
        while now_s < self.max_duration_s:
            for tracker in trackers:
                tracker.on_capacity(self.capacity(now_s))
                self._send(rng, tracker, now_s, result)
                tracker.on_tick()
            _exchange_evidence(trackers)
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
        result: MoveResult,
    ) -> None:
        shares = tracker.shares(now_s)
        for route, rate in self.rates_per_s.items():
            share = shares[route][NEW]
            result.largest_share = max(result.largest_share, share)
            conditions = TrafficConditions(now_s, route, share)
            for _ in range(
                _draw_request_count(rng, rate * _TICK_S / self.instances)
            ):
                self._send_one(rng, tracker, conditions, result)

    def _send_one(
        self,
        rng: random.Random,
        tracker: rollout.RolloutTracker,
        conditions: TrafficConditions,
        result: MoveResult,
    ) -> None:
        is_new = rng.random() < conditions.share
        behaviour = (self.new if is_new else self.old)(conditions)
        ok = rng.random() >= behaviour.error_probability
        noise = rng.lognormvariate(0.0, _LATENCY_SIGMA)
        latency_s = _BASE_LATENCY_S * behaviour.latency_factor * noise
        result.new_requests += is_new
        result.new_errors += is_new and not ok
        tracker.on_sample(
            conditions.route, NEW if is_new else OLD, latency_s, ok
        )

    def _record(
        self, trackers: Sequence[rollout.RolloutTracker], now_s: float
    ) -> None:
        move = apply_verdict(trackers[0].move, trackers[0].verdict(now_s))
        for tracker in trackers:
            tracker.on_move(move, now_s, self.deadline_s)


def apply_verdict(
    move: move_lib.Move, verdict: rollout.RolloutVerdict
) -> move_lib.Move:
    """Returns a move with a verdict applied; HOLD leaves it unchanged."""
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


def _exchange_evidence(trackers: Sequence[rollout.RolloutTracker]) -> None:
    for source in trackers:
        evidence = source.take_evidence()
        if evidence is None:
            continue
        for tracker in trackers:
            tracker.on_evidence(evidence)


def _draw_request_count(rng: random.Random, mean: float) -> int:
    whole = int(mean)
    return whole + (rng.random() < mean - whole)
