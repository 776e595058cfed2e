"""Tests of the rate limit on the probes of a service."""

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
    budgets = [measuring.ServiceProbeBudget(clock) for _ in range(members)]
    for budget in budgets:
        budget.set_rate(10.0)
        budget.set_member_count(members)
    for step in range(1, 6001):
        clock.now_s = step / 100
        for budget in budgets:
            budget.try_take_probe()
    spent = sum(budget.spent for budget in budgets)
    assert 0.9 * 600 <= spent <= 600


@pytest.mark.parametrize(("rate_per_s", "members"), [(0.0, 3), (10.0, 0)])
def test_probe_without_rate_or_members_is_denied(rate_per_s, members):
    clock = _Clock()
    budget = measuring.ServiceProbeBudget(clock)
    budget.set_rate(rate_per_s)
    budget.set_member_count(members)
    clock.now_s = 100.0
    assert not budget.try_take_probe()


def test_change_of_member_count_grants_no_extra_probe():
    clock = _Clock()
    budget = measuring.ServiceProbeBudget(clock)
    budget.set_rate(1.0)
    budget.set_member_count(1)
    clock.now_s = 1.0
    assert budget.try_take_probe()
    budget.set_member_count(2)
    assert not budget.try_take_probe()
    assert budget.spent == 1
