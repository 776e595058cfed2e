"""Tests of the measuring budget on the request path."""

from __future__ import annotations

import pytest

from magnoliacrank.gateway import measuring


class _Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.mark.parametrize("members", [1, 4, 19])
def test_probes_of_all_members_stay_within_the_rate(members):
    clock = _Clock()
    parts = [measuring.Measuring(clock) for _ in range(members)]
    for part in parts:
        part.set_rate(10.0)
        part.set_members(members)
    for step in range(1, 6001):
        clock.now_s = step / 100
        for part in parts:
            part.may_probe()
    spent = sum(part.spent for part in parts)
    assert 0.9 * 600 <= spent <= 600


@pytest.mark.parametrize(("rate_per_s", "members"), [(0.0, 3), (10.0, 0)])
def test_no_probe_without_a_part_of_the_budget(rate_per_s, members):
    clock = _Clock()
    part = measuring.Measuring(clock)
    part.set_rate(rate_per_s)
    part.set_members(members)
    clock.now_s = 100.0
    assert not part.may_probe()


def test_change_of_the_crew_spends_nothing_twice():
    clock = _Clock()
    part = measuring.Measuring(clock)
    part.set_rate(1.0)
    part.set_members(1)
    clock.now_s = 1.0
    assert part.may_probe()
    part.set_members(2)
    assert not part.may_probe()
    assert part.spent == 1
