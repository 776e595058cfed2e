"""Tests of the requests that a stopping instance still starts."""

import math

import pytest

from magnoliacrank.policy import drain_schedule


@pytest.fixture
def schedule():
    return drain_schedule.DrainSchedule(accept_s=2.4, finish_s=5.4)


def test_nothing_is_limited_before_the_stop(schedule):
    assert schedule.latest_start_s(1.0, 100.0) == math.inf
    assert schedule.may_start(50.0, 1.0, 100.0)


@pytest.mark.parametrize(
    ("work_s", "deadline_s", "latest_s"),
    [
        # Ends in time, by its answer or by its deadline.
        (0.2, 5.3, math.inf),
        (9.0, 5.3, math.inf),
        # May outlast the stop: only while callers can't know of it.
        (0.2, 5.4, 2.4),
        (1.5, 60.0, 2.4),
        # Usually outlasts it.
        (2.0, 60.0, 1.4),
        (9.0, 60.0, -12.6),
    ],
)
def test_request_is_started_if_it_can_be_finished(
    schedule, work_s, deadline_s, latest_s
):
    schedule.start(10.0)
    schedule.start(12.0)
    found_s = schedule.latest_start_s(work_s, 10.0 + deadline_s)
    assert found_s == pytest.approx(10.0 + latest_s)
    for now_s in (10.0, 12.0, 14.0):
        assert schedule.may_start(now_s, work_s, 10.0 + deadline_s) == (
            now_s <= found_s
        )
