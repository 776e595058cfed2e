"""Tests of the priority at which a service is short, agreed by instances."""

import pytest

from magnoliacrank.policy import admission_level
from magnoliacrank.policy import service_load

LOWEST = service_load.LOWEST_PRIORITY


def _load(demand_per_s, level):
    return service_load.ServiceLoad(
        "svc", demand_per_s, 0.0, 0.0, 0.1, 0, level
    )


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [
        pytest.param((100.0, LOWEST), [], LOWEST, id="alone, not short"),
        pytest.param((100.0, 0), [], 0, id="alone, short"),
        pytest.param(
            (100.0, LOWEST), [(50.0, 1), (50.0, LOWEST)], 1, id="others short"
        ),
        pytest.param(
            (100.0, LOWEST),
            [(100.0, LOWEST), (5.0, 0)],
            LOWEST,
            id="one without servers, few callers",
        ),
        pytest.param(
            (100.0, 2), [(100.0, 2), (5.0, 0)], 2, id="beliefs differ"
        ),
        pytest.param((0.0, 0), [(0.0, 0)], LOWEST, id="no demand"),
    ],
)
def test_level_counts_if_enough_callers_are_short(own, others, expected):
    loads = [_load(*item) for item in others]
    assert admission_level.agreed_level(_load(*own), loads) == expected


def _ask(level, now_s, shares):
    """Records 100 requests of each priority, some of them short."""
    for priority, short in shares.items():
        for number in range(100):
            level.on_outcome(priority, now_s, is_short=number < short)


@pytest.mark.parametrize(
    ("shares", "expected"),
    [
        pytest.param({0: 0, 2: 0}, LOWEST, id="room for all"),
        pytest.param({0: 1, 2: 2}, LOWEST, id="single rejections"),
        pytest.param({0: 0, 2: 60}, 2, id="least urgent short"),
        pytest.param({0: 30, 2: 60}, 0, id="all short"),
    ],
)
def test_own_level_is_the_most_urgent_that_is_short(shares, expected):
    level = admission_level.AdmissionLevel()
    _ask(level, 10.0, shares)
    assert level.own_level(10.1) == expected


def test_level_holds_through_a_pause_and_rises_after_the_shortage():
    level = admission_level.AdmissionLevel()
    _ask(level, 10.0, {0: 30, 2: 60})
    assert level.own_level(10.5) == 0
    _ask(level, 11.6, {0: 0, 2: 0})
    assert level.own_level(11.7) == 0
    assert level.own_level(12.1) == LOWEST


def test_agreed_level_lapses_without_heartbeats():
    level = admission_level.AdmissionLevel()
    level.agree(0, 10.0)
    assert level.level(11.9) == 0
    assert level.level(12.1) == LOWEST


def test_requests_that_yield_search_often_while_there_is_room():
    level = admission_level.AdmissionLevel()
    first_s = level.yield_s(1.0)
    level.on_search(found=True)
    assert level.yield_s(1.0) < first_s
    level.on_search(found=False)
    assert level.yield_s(1.0) == first_s
    assert level.yield_s(0.02) < first_s / 2
