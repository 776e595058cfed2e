"""Trial of a new version: moves a service to it on evidence, or back.

Load pattern: a version fails at once, later, only under load, or on one
route; or it answers several times slower. Each instance bounds the requests to
the version by its own traffic, so the exposure holds in total without
messages. Evidence is summed over all instances.

Most requests of a trial are spread over its duration and over the servers of
the new version. The others are sent in load tests: short spans in which all
instances send to the same server, so that it is as busy as a takeover or a peak
would make it. What is seen of a busy server is kept apart, so that good answers
of idle servers don't hide it.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from magnoliacrank.policy import trial_budget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliacrank.model import orders

_LOAD_TESTS = (0.4, 0.55, 0.7)
"""Starts of the load tests, as parts of the rollout's duration."""

_LOAD_TEST_LENGTH = 0.06
"""Length of a load test, as a part of the rollout's duration."""

_BUSY_PART = 0.5
"""Part of its slots above which a server is busy."""

TAKEOVER = len(_LOAD_TESTS)
"""Number under which the answers of the takeover count as a load test."""

_MIN_TEST_FAILURES = 2
"""Failures in one load test that show a fault of its server or version."""

_MIN_FAILED_TESTS = 2
"""Load tests with failures that are needed to find a version faulty: one may
have met a faulty server."""

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

_MANY_FAILURES = 100.0
"""Expected failures from which on their number is about normally distributed.
"""

_MIN_EXPECTED_FAILURE_SHARE = 0.01
"""Least share of failures that is expected of any version."""

_MIN_DURATIONS = 5
"""Successes of each version that are needed to compare durations."""

_MAX_DURATION_RATIO = 2.8
"""Ratio of the mean durations, new to old, above which a version is faulty."""

_MIN_DURATION_EXCESS_S = 0.02
"""Difference of the mean durations, in seconds, below which a version isn't
found slow: answers of a millisecond take several times as long by chance."""


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


def is_busy(running: int, slots: int) -> bool:
    """Returns whether a server is so busy that a load test tells of it.

    Args:
        running: Requests that it runs, with the one that is sent to it.
        slots: Requests that it can run concurrently.
    """
    return running > slots * _BUSY_PART


def is_faulty(pair: EvidencePair, deviations: float) -> bool:
    """Returns whether evidence shows that the new version is faulty.

    A faulty version that takes over costs far more than a good one that is
    taken back, so the test is sensitive: failures beyond chance are enough.

    Args:
        pair: Evidence of both versions.
        deviations: Standard deviations above which an excess of failures is not
            due to chance.
    """
    return is_faulty_in_sum([pair], deviations)


def is_faulty_in_sum(pairs: Sequence[EvidencePair], deviations: float) -> bool:
    """Returns whether the evidence of several routes shows a fault.

    Args:
        pairs: Evidence of both versions by route.
        deviations: Standard deviations above which an excess of failures is not
            due to chance.
    """
    return has_failures_beyond_chance(pairs, deviations) or _is_slow(pairs)


def has_failures_beyond_chance(
    pairs: Sequence[EvidencePair], deviations: float
) -> bool:
    """Returns whether the new version fails more often than the old one.

    Each route is compared with itself, so that a route that always fails
    doesn't count against the version that happened to get more of it.

    Args:
        pairs: Evidence of both versions by route.
        deviations: Standard deviations above which an excess of failures is not
            due to chance.
    """
    new = sum_up(pairs).new
    if new.failures < _MIN_FAILURES or new.failure_share < _MIN_FAILURE_SHARE:
        return False
    expected = sum(
        pair.new.answers
        * max(pair.old.failure_share, _MIN_EXPECTED_FAILURE_SHARE)
        for pair in pairs
    )
    if expected > _MANY_FAILURES:
        return new.failures > expected + deviations * math.sqrt(expected)
    return _poisson_tail(new.failures, expected) < _normal_tail(deviations)


def _poisson_tail(count: int, mean: float) -> float:
    """Returns the chance of at least a number of rare events.

    Few failures are far from normally distributed, and are judged early.
    """
    term = math.exp(-mean)
    below = 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return max(1.0 - below, 0.0)


def _normal_tail(deviations: float) -> float:
    """Returns the chance of exceeding a mean by some standard deviations."""
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _is_slow(pairs: Sequence[EvidencePair]) -> bool:
    """Returns whether the new version answers several times slower."""
    compared = [pair for pair in pairs if pair.old.successes]
    total = sum_up(compared)
    if min(total.old.successes, total.new.successes) < _MIN_DURATIONS:
        return False
    expected_s = sum(
        pair.new.successes * pair.old.duration_s / pair.old.successes
        for pair in compared
    )
    excess_s = total.new.duration_s - expected_s
    return (
        total.new.duration_s > _MAX_DURATION_RATIO * expected_s
        and excess_s > _MIN_DURATION_EXCESS_S * total.new.successes
    )


@attrs.frozen
class _Findings:
    """What the evidence of all instances shows."""

    successes: int
    """Successful requests of the new version."""

    shows_fault: bool
    """Whether the new version is faulty."""


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
        self._budget = trial_budget.TrialBudget(
            exposure_share, exposure_slack, len(_LOAD_TESTS)
        )
        self._own_evidence: dict[str, EvidencePair] = {}
        self._own_load_evidence = [Evidence() for _ in range(TAKEOVER + 1)]
        self._peer_evidence: dict[str, dict[str, EvidencePair]] = {}
        self._peer_load_evidence: dict[str, Sequence[Evidence]] = {}
        self._is_testing_load = False
        self._is_faulty = False
        self._findings: _Findings | None = None

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

    @property
    def own_load_evidence(self) -> Sequence[Evidence]:
        """Evidence of this instance on the new version, by load test."""
        return self._own_load_evidence

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
        if self._is_faulty:
            return TrialPhase.FAULTY
        findings = self._evaluate()
        if findings.shows_fault:
            self._is_faulty = True
            return TrialPhase.FAULTY
        ready_s = self.deadline_s - _DEADLINE_MARGIN_S
        if now_s < ready_s - _FULL_LOAD_S:
            return TrialPhase.TRYING
        if findings.successes < _MIN_TAKEOVER_SUCCESSES:
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

    def load_test(self, now_s: float) -> int | None:
        """Returns the number of the load test in progress, or None.

        Args:
            now_s: Current monotonic time in seconds.
        """
        if self.gets_all_requests(now_s):
            return TAKEOVER
        return self._scheduled_load_test(now_s)

    def _scheduled_load_test(self, now_s: float) -> int | None:
        part = self._elapsed_part(now_s)
        for number, start in enumerate(_LOAD_TESTS):
            if start <= part < start + _LOAD_TEST_LENGTH:
                return number
        return None

    def load_test_order(self, number: int, server_id: str) -> int:
        """Returns the sort key of a server in a load test.

        All instances send the requests of a load test to the first server that
        they can use; each load test begins with another one.

        Args:
            number: Number of the load test.
            server_id: Name of a server of the new version.
        """
        return xxhash.xxh64_intdigest(
            f"{self._order_offset}\n{number}\n{server_id}".encode()
        )

    def wants_request(self, now_s: float, instances: int, route: str) -> bool:
        """Counts a request and returns whether the new version should get it.

        Args:
            now_s: Current monotonic time in seconds.
            instances: Number of instances among which the slack is divided.
            route: Name of the request's route.
        """
        self._budget.on_request(route)
        phase = self.phase(now_s)
        if phase is not TrialPhase.TRYING:
            return phase is not TrialPhase.FAULTY
        test = self._scheduled_load_test(now_s)
        self._is_testing_load = test is not None
        part = self._elapsed_part(now_s)
        if test is None:
            return self._budget.allows_spread(route, part, instances)
        return self._budget.allows_load_test(test, part, instances)

    def _elapsed_part(self, now_s: float) -> float:
        """Returns the elapsed part of the rollout's duration, at most 1."""
        elapsed_s = now_s - self._started_s
        return min(elapsed_s / max(self._order.duration_s, 0.1), 1.0)

    def on_sent(self, route: str) -> None:
        """Counts a request that is sent to the new version.

        It counts as part of a load test if one is in progress.

        Args:
            route: Name of the request's route.
        """
        self._budget.on_sent(route, is_load_test=self._is_testing_load)

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
        self._findings = None
        pair = self._own_evidence.setdefault(route, EvidencePair())
        evidence = pair.new if is_new else pair.old
        evidence.answers += 1
        if failed:
            evidence.failures += 1
        else:
            evidence.duration_s += duration_s

    def on_load_test_answer(self, number: int, *, failed: bool) -> None:
        """Counts a finished request of a load test at a busy server.

        Its duration is not compared with others: a busy server may be slower.

        Args:
            number: Number of the load test.
            failed: Whether it failed.
        """
        self._findings = None
        self._own_load_evidence[number].add(Evidence(1, int(failed)))

    def merge(
        self,
        source: str,
        evidence: dict[str, EvidencePair],
        load_evidence: Sequence[Evidence],
    ) -> None:
        """Replaces the evidence of another instance by its newest counts.

        Args:
            source: Name and incarnation of that instance.
            evidence: Its counts by route, which only grow.
            load_evidence: Its counts by load test.
        """
        self._findings = None
        self._peer_evidence[source] = evidence
        self._peer_load_evidence[source] = load_evidence

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

    def by_load_test(self) -> list[Evidence]:
        """Returns the evidence of all instances by load test."""
        total = [Evidence() for _ in self._own_load_evidence]
        for evidence in (
            self._own_load_evidence,
            *self._peer_load_evidence.values(),
        ):
            for sum_, part in zip(total, evidence, strict=False):
                sum_.add(part)
        return total

    def _evaluate(self) -> _Findings:
        """Evaluates the evidence, unless it is the same as before."""
        if self._findings is not None:
            return self._findings
        routes = list(self.by_route().values())
        tests = self.by_load_test()
        self._findings = _Findings(
            successes=sum_up(routes).new.successes
            + _sum(tests[:TAKEOVER]).successes,
            shows_fault=is_faulty_in_sum(routes, _FAILURE_DEVIATIONS)
            or _shows_fault_under_load(routes, tests)
            or any(
                is_faulty(pair, _ROUTE_FAILURE_DEVIATIONS) for pair in routes
            ),
        )
        return self._findings


def _shows_fault_under_load(
    routes: Sequence[EvidencePair], tests: Sequence[Evidence]
) -> bool:
    """Returns whether a version fails where its servers are busy.

    Args:
        routes: Evidence of requests outside of load tests by route, which also
            contains those of the takeover.
        tests: Evidence of the new version by load test.
    """
    old = sum_up(routes).old
    takeover = EvidencePair(old, tests[TAKEOVER])
    if has_failures_beyond_chance([takeover], _FAILURE_DEVIATIONS):
        return True
    failed = sum(test.failures >= _MIN_TEST_FAILURES for test in tests)
    if failed < _MIN_FAILED_TESTS:
        return False
    under_load = EvidencePair(old, _sum(tests))
    before_takeover = EvidencePair(old, _sum(tests[:TAKEOVER]))
    return has_failures_beyond_chance(
        [under_load], _FAILURE_DEVIATIONS
    ) or has_failures_beyond_chance(
        [*routes, before_takeover], _FAILURE_DEVIATIONS
    )


def _sum(parts: Iterable[Evidence]) -> Evidence:
    total = Evidence()
    for part in parts:
        total.add(part)
    return total
