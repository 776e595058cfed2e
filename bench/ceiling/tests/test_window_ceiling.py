"""Tests of the upper bound on requests in time."""

import pytest

from bench.ceiling import window_ceiling

Capacity = window_ceiling.Capacity
Outage = window_ceiling.Outage


def _requests(number, span_s=1.0, work_s=0.2, objective_s=0.6):
    return [
        window_ceiling.Request(span_s * index / number, work_s, objective_s)
        for index in range(number)
    ]


def test_enough_slots_serve_all():
    capacity = [Capacity(0.0, 10.0, 10.0)]
    assert window_ceiling.in_time_ceiling(_requests(40), capacity) == 40


def test_slots_bound_the_number():
    """Two slots until the last objective, at 1.59 s, do 3.18 s of work."""
    capacity = [Capacity(0.0, 10.0, 2.0)]
    assert window_ceiling.in_time_ceiling(_requests(100), capacity) == 15


def test_short_requests_count_first():
    capacity = [Capacity(0.0, 1.0, 1.0)]
    found = window_ceiling.in_time_ceiling(
        _requests(2, work_s=0.45, objective_s=1.0) + _requests(2, work_s=0.1),
        capacity,
    )
    assert found == 3


@pytest.mark.parametrize(
    ("outage", "expected"),
    [
        (Outage(0.0, 0.3), 10),
        (Outage(0.0, 5.0), 0),
        (Outage(0.5, 5.0), 4),
        (Outage(0.0, 0.8), 6),
    ],
)
def test_requests_that_meet_an_outage_cannot_be_in_time(outage, expected):
    """They need to end before it, or to begin 0.2 s before their objective."""
    capacity = [Capacity(0.0, 10.0, 10.0)]
    found = window_ceiling.in_time_ceiling(_requests(10), capacity, [outage])
    assert found == expected
