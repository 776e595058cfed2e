"""Replays of when instances use the store for peer discovery."""

import itertools

import pytest

from magnoliacrank.policy import announce_schedule

Step = announce_schedule.Step


def _collect_steps(schedule, seconds, *, is_alone, duty_order, start_s=0.0):
    """Runs a schedule whose steps all succeed, and returns these steps."""
    found = []
    for tick in range(round(seconds * 5)):
        now_s = start_s + tick / 5
        step = schedule.next_step(
            now_s, is_alone=is_alone, duty_order=duty_order
        )
        if step is Step.ANNOUNCE:
            schedule.on_announced()
        elif step is Step.READ:
            schedule.on_read(now_s)
        if step is not Step.NONE:
            found.append(step)
    return found


@pytest.mark.parametrize(
    ("duty_order", "expected"),
    [
        (0, {Step.ANNOUNCE: 1, Step.READ: 5}),
        (1, {Step.ANNOUNCE: 1}),
        (2, {}),
        (300, {}),
    ],
)
def test_few_of_hundreds_call_the_store(duty_order, expected):
    schedule = announce_schedule.AnnounceSchedule(0.0, has_seeds=True)
    found = _collect_steps(
        schedule, 45.0, is_alone=False, duty_order=duty_order
    )
    counts = {step: found.count(step) for step in set(found)}
    assert counts.keys() == expected.keys()
    for step, most in expected.items():
        assert 1 <= counts[step] <= most


def test_isolated_instance_announces_before_it_reads():
    schedule = announce_schedule.AnnounceSchedule(0.0, has_seeds=True)
    assert _collect_steps(schedule, 0.9, is_alone=True, duty_order=0) == []
    found = _collect_steps(
        schedule, 20.0, is_alone=True, duty_order=0, start_s=1.0
    )
    assert found[:2] == [Step.ANNOUNCE, Step.READ]
    assert found.count(Step.ANNOUNCE) == 1
    assert 3 <= found.count(Step.READ) <= 7


def test_instance_without_seeds_announces_at_once():
    schedule = announce_schedule.AnnounceSchedule(0.0, has_seeds=False)
    assert schedule.next_step(0.0, is_alone=True, duty_order=0) is Step.ANNOUNCE


def test_failed_calls_are_retried_with_backoff():
    schedule = announce_schedule.AnnounceSchedule(0.0, has_seeds=False)
    tries = []
    for tick in range(300):
        now_s = tick / 5
        if (
            schedule.next_step(now_s, is_alone=True, duty_order=0)
            is Step.ANNOUNCE
        ):
            tries.append(now_s)
            schedule.on_failed(now_s)
    pauses = [
        round(after - before, 6) for before, after in itertools.pairwise(tries)
    ]
    assert pauses == sorted(pauses)
    assert pauses[0] <= 0.6
    assert 14.0 < pauses[-1] <= 15.2
