"""TrialBudget: which requests one instance may send to a version on trial.

Load pattern: a version fails on one route only, and that route has a tenth of
the requests. The requests to the version are bounded, so if they were divided
like the traffic, too few of that route would be tried to show the fault.
"""

from __future__ import annotations

import collections

_SPREAD_SHARE = 0.4
"""Part of the operators' exposure share that a trial uses for requests that
are spread over its duration."""

_SPREAD_SLACK_SHARE = 0.35
"""Part of the operators' exposure slack that these requests may use."""

_EQUAL_PART = 0.5
"""Part of the spread requests that is divided equally among the routes; the
rest is divided like the traffic, which shows faults of the whole version."""

_LOAD_TEST_SHARE = 0.15
"""Part of the operators' exposure share that a trial uses for load tests."""

_LOAD_TEST_SLACK_SHARE = 0.4
"""Part of the operators' exposure slack that load tests may use."""

_MIN_ELAPSED_PART = 0.1
"""Least elapsed part of a rollout from which its requests are estimated."""


class TrialBudget:
    """Bounds the requests of one instance to a new version by its own traffic.

    So the operators' bound on the exposure holds in total without messages.

    Args:
        exposure_share: Operators' bound on the share of the new version.
        exposure_slack: Operators' bound on requests beyond that share.
        load_tests: Number of load tests in the rollout.
    """

    def __init__(
        self, exposure_share: float, exposure_slack: float, load_tests: int
    ) -> None:
        self._spread_share = exposure_share * _SPREAD_SHARE
        self._spread_slack = exposure_slack * _SPREAD_SLACK_SHARE
        self._load_test_share = exposure_share * _LOAD_TEST_SHARE
        self._load_test_slack = exposure_slack * _LOAD_TEST_SLACK_SHARE
        self._load_tests = load_tests
        self._requests: collections.Counter[str] = collections.Counter()
        self._spread: collections.Counter[str] = collections.Counter()
        self._tested = 0

    def on_request(self, route: str) -> None:
        """Counts a request, to whichever version it goes.

        Args:
            route: Name of the request's route.
        """
        self._requests[route] += 1

    def on_sent(self, route: str, *, is_load_test: bool) -> None:
        """Counts a request that is sent to the new version.

        Args:
            route: Name of the request's route.
            is_load_test: Whether it is part of a load test.
        """
        if is_load_test:
            self._tested += 1
        else:
            self._spread[route] += 1

    def allows_spread(
        self, route: str, elapsed_part: float, instances: int
    ) -> bool:
        """Returns whether a counted request may go to the new version.

        Args:
            route: Name of the request's route.
            elapsed_part: Elapsed part of the rollout's duration, 0 to 1.
            instances: Number of instances among which the slack is divided.
        """
        requests = self._requests.total()
        slack = self._spread_slack * elapsed_part / max(instances, 1)
        budget = self._spread_share * requests + slack
        if self._spread.total() + 1 > budget:
            return False
        part = _EQUAL_PART / len(self._requests)
        part += (1.0 - _EQUAL_PART) * self._requests[route] / requests
        # Rounded: rounding down would lose a request of each route on each
        # instance.
        return self._spread[route] + 0.5 <= budget * part

    def allows_load_test(
        self, number: int, elapsed_part: float, instances: int
    ) -> bool:
        """Returns whether a request may go to a server in a load test.

        Each test has an equal part of the requests that are expected in the
        whole rollout at the rate so far.

        Args:
            number: Number of the load test, from 0.
            elapsed_part: Elapsed part of the rollout's duration, 0 to 1.
            instances: Number of instances among which the slack is divided.
        """
        expected = self._requests.total() / max(elapsed_part, _MIN_ELAPSED_PART)
        slack = self._load_test_slack / max(instances, 1)
        part = (number + 1) / self._load_tests
        budget = part * (self._load_test_share * expected + slack)
        return self._tested + 1 <= budget
