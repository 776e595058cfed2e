"""Trial of a new version: moves a service to it on evidence, or back.

Load pattern: a version fails at once, later, only under load, or on one
route; or it answers several times slower. Each instance bounds the requests to
the version by its own traffic, so the exposure holds in total without
messages. Evidence is summed over all instances.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import orders

TRIAL_SHARE = 0.5
"""Part of the operators' exposure share that a trial uses."""

_TRIAL_SLACK_SHARE = 0.4
"""Part of the operators' exposure slack that a trial uses."""

_FULL_LOAD_S = 0.6
"""Seconds under full load before a version is declared completed."""

_DEADLINE_MARGIN_S = 1.6
"""Seconds kept between the end of a trial and the deadline: one read of the
store (0.7 s), its relay by heartbeat (0.25 s), and one write."""

_MIN_TAKEOVER_SUCCESSES = 8
"""Successes of the new version that are needed for it to take over."""

_MIN_FAILURES = 5
"""Failures that are needed to find a version faulty."""

_FAILURE_DEVIATIONS = 3.5
"""Standard deviations by which the failures of the new version must exceed
those expected of a version as good as the old one."""

_ROUTE_FAILURE_DEVIATIONS = 4.0
"""Value of `_FAILURE_DEVIATIONS` for a single route; higher, since with several
routes an excess by chance is more likely."""

_MIN_FAILURE_SHARE = 0.08
"""Share of failures below which a version is not found faulty: a failing server
or an answer lost on the network may cause as many."""

_MIN_EXPECTED_FAILURE_SHARE = 0.01
"""Least share of failures that is expected of any version."""

_MIN_DURATIONS = 5
"""Successes of each version that are needed to compare durations."""

_MAX_DURATION_RATIO = 2.8
"""Ratio of the mean durations, new to old, above which a version is faulty."""


class TrialPhase(enum.Enum):
    """Phase of a version's trial."""

    TRYING = "trying"
    """The version gets a small share of the requests."""

    TAKING_OVER = "taking-over"
    """The version gets all requests, shortly before the deadline."""

    READY = "ready"
    """The version has worked under full load; the rollout can be completed."""

    FAULTY = "faulty"
    """The version is faulty and gets no more requests."""


@attrs.define
class Evidence:
    """Counts of the finished requests of one version on one route."""

    answers: int = 0
    """Number of finished requests."""

    failures: int = 0
    """Number of finished requests that failed."""

    duration_s: float = 0.0
    """Sum of the durations of successful requests, in seconds."""

    def add(self, other: Evidence) -> None:
        """Adds the counts of another instance or route."""
        self.answers += other.answers
        self.failures += other.failures
        self.duration_s += other.duration_s

    @property
    def successes(self) -> int:
        """Number of finished requests that succeeded."""
        return self.answers - self.failures

    @property
    def failure_share(self) -> float:
        """Failures as a share of finished requests."""
        return self.failures / self.answers if self.answers else 0.0


@attrs.frozen
class EvidencePair:
    """Evidence of the old and of the new version on one route."""

    old: Evidence = attrs.field(factory=Evidence)
    """Evidence of the old version."""

    new: Evidence = attrs.field(factory=Evidence)
    """Evidence of the new version."""

    def add(self, other: EvidencePair) -> None:
        """Adds the evidence of another instance or route."""
        self.old.add(other.old)
        self.new.add(other.new)


def sum_up(pairs: Iterable[EvidencePair]) -> EvidencePair:
    """Returns the sum of several pairs of evidence."""
    total = EvidencePair()
    for pair in pairs:
        total.add(pair)
    return total


def is_faulty(pair: EvidencePair, deviations: float) -> bool:
    """Returns whether evidence shows that the new version is faulty.

    A faulty version that takes over costs far more than a good one that is
    taken back, so the test is sensitive: failures beyond chance are enough.

    Args:
        pair: Evidence of both versions.
        deviations: Standard deviations above which an excess of failures is not
            due to chance.
    """
    old, new = pair.old, pair.new
    if (
        new.failures >= _MIN_FAILURES
        and new.failure_share >= _MIN_FAILURE_SHARE
    ):
        share = max(old.failure_share, _MIN_EXPECTED_FAILURE_SHARE)
        expected = share * new.answers
        deviation = math.sqrt(expected * (1 - min(share, 0.9)))
        if new.failures > expected + deviations * deviation:
            return True
    if min(old.successes, new.successes) < _MIN_DURATIONS:
        return False
    old_mean_s = old.duration_s / old.successes
    return new.duration_s / new.successes > _MAX_DURATION_RATIO * old_mean_s


class VersionTrial:
    """Trial of the new version of one rollout, as one instance sees it.

    Args:
        order: Rollout order of the operators.
        order_offset: Offset of the order's record, which identifies the order.
        started_s: Monotonic time of the order, in seconds.
        exposure_share: Operators' bound on the share of the new version.
        exposure_slack: Operators' bound on requests beyond that share.
    """

    def __init__(
        self,
        order: orders.RolloutOrder,
        order_offset: int,
        started_s: float,
        exposure_share: float,
        exposure_slack: float,
    ) -> None:
        self._order = order
        self._order_offset = order_offset
        self._started_s = started_s
        self._trial_share = exposure_share * TRIAL_SHARE
        self._trial_slack = exposure_slack * _TRIAL_SLACK_SHARE
        self._own_evidence: dict[str, EvidencePair] = {}
        self._peer_evidence: dict[str, dict[str, EvidencePair]] = {}
        self._requests = 0
        self._sent_requests = 0
        self._is_faulty = False

    @property
    def order(self) -> orders.RolloutOrder:
        """Rollout order of the operators."""
        return self._order

    @property
    def order_offset(self) -> int:
        """Offset of the order's record, which identifies the order."""
        return self._order_offset

    @property
    def started_s(self) -> float:
        """Monotonic time of the order, in seconds."""
        return self._started_s

    @property
    def deadline_s(self) -> float:
        """Monotonic time of the deadline, in seconds."""
        return self._started_s + self._order.duration_s

    @property
    def own_evidence(self) -> dict[str, EvidencePair]:
        """Evidence of this instance by route."""
        return self._own_evidence

    def adopt_earlier_start(self, started_s: float) -> None:
        """Adopts the start of the trial at another instance if it is earlier.

        Args:
            started_s: Monotonic time of that start, in seconds.
        """
        self._started_s = min(self._started_s, started_s)

    def phase(self, now_s: float) -> TrialPhase:
        """Returns the phase of the trial.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if self._is_faulty or self._shows_fault():
            self._is_faulty = True
            return TrialPhase.FAULTY
        ready_s = self.deadline_s - _DEADLINE_MARGIN_S
        if now_s < ready_s - _FULL_LOAD_S:
            return TrialPhase.TRYING
        if self.total().new.successes < _MIN_TAKEOVER_SUCCESSES:
            return TrialPhase.TRYING
        if now_s < ready_s:
            return TrialPhase.TAKING_OVER
        return TrialPhase.READY

    def gets_all_requests(self, now_s: float) -> bool:
        """Returns whether the new version gets all requests.

        Args:
            now_s: Current monotonic time in seconds.
        """
        return self.phase(now_s) in (TrialPhase.TAKING_OVER, TrialPhase.READY)

    def wants_request(self, now_s: float, instances: int) -> bool:
        """Counts a request and returns whether the new version should get it.

        Args:
            now_s: Current monotonic time in seconds.
            instances: Number of instances among which the slack is divided.
        """
        self._requests += 1
        phase = self.phase(now_s)
        if phase is not TrialPhase.TRYING:
            return phase is not TrialPhase.FAULTY
        elapsed = (now_s - self._started_s) / max(self._order.duration_s, 0.1)
        slack = self._trial_slack * min(elapsed, 1.0) / max(instances, 1)
        return (
            self._sent_requests + 1
            <= self._trial_share * self._requests + slack
        )

    def on_sent(self) -> None:
        """Counts a request that is sent to the new version."""
        self._sent_requests += 1

    def on_answer(
        self, route: str, *, is_new: bool, failed: bool, duration_s: float
    ) -> None:
        """Counts a finished request.

        Args:
            route: Name of the route.
            is_new: Whether it was sent to the new version.
            failed: Whether it failed.
            duration_s: Its duration in seconds.
        """
        pair = self._own_evidence.setdefault(route, EvidencePair())
        evidence = pair.new if is_new else pair.old
        evidence.answers += 1
        if failed:
            evidence.failures += 1
        else:
            evidence.duration_s += duration_s

    def merge(self, source: str, evidence: dict[str, EvidencePair]) -> None:
        """Replaces the evidence of another instance by its newest counts.

        Args:
            source: Name and incarnation of that instance.
            evidence: Its counts by route, which only grow.
        """
        self._peer_evidence[source] = evidence

    def mark_faulty(self) -> None:
        """Adopts the finding of another instance that the version is faulty."""
        self._is_faulty = True

    def by_route(self) -> dict[str, EvidencePair]:
        """Returns the evidence of all instances by route."""
        total: dict[str, EvidencePair] = {}
        for evidence in (self._own_evidence, *self._peer_evidence.values()):
            for route, pair in evidence.items():
                total.setdefault(route, EvidencePair()).add(pair)
        return total

    def total(self) -> EvidencePair:
        """Returns the evidence summed over all instances and routes."""
        return sum_up(self.by_route().values())

    def _shows_fault(self) -> bool:
        routes = self.by_route()
        total = sum_up(routes.values())
        if is_faulty(total, _FAILURE_DEVIATIONS):
            return True
        return any(
            is_faulty(pair, _ROUTE_FAILURE_DEVIATIONS)
            for pair in routes.values()
        )
