"""Tests of when refused callers are told to return."""

import random

import attrs
import pytest

from magnoliacrank.policy import return_schedule


@attrs.frozen
class Caller:
    """A request of 0.1 s of work and an objective of 0.3 s, asked at 0."""

    deadline_s: float = 1.5
    wait_deadline_s: float = 0.2

    def is_late(self, now_s):
        return now_s + 0.1 > 0.3


def _times(now_s, drain_s=0.0, count=50):
    rng = random.Random(1)
    return [
        return_schedule.retry_after_s(Caller(), drain_s, now_s, rng)
        for _ in range(count)
    ]


@pytest.mark.parametrize(
    ("now_s", "drain_s", "least_s", "most_s"),
    [
        pytest.param(0.0, 9.0, 0.05, 0.15, id="can be in time"),
        pytest.param(0.19, 0.0, 0.3, 0.44, id="no time to return in"),
        pytest.param(0.5, 0.0, 0.23, 0.34, id="late"),
        pytest.param(0.5, 0.9, 0.9, 0.9, id="late, long queue"),
        pytest.param(0.5, 9.0, 2.0, 2.0, id="late, very long queue"),
    ],
)
def test_callers_return_in_time_or_when_the_shortage_may_be_over(
    now_s, drain_s, least_s, most_s
):
    times = _times(now_s, drain_s)
    assert all(least_s <= time <= most_s for time in times)
    if least_s < most_s:
        assert max(times) - min(times) > (most_s - least_s) / 2
