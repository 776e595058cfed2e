"""Probe budgets, hedging delays and budgets, and connection pool sizes."""

from __future__ import annotations

import pytest

from magnoliacrank.model import request
from magnoliacrank.policy import hedge
from magnoliacrank.policy import pool_size
from magnoliacrank.policy import probe_budget


@pytest.mark.parametrize("instances", [1, 3, 19])
def test_probe_budget_sum_does_not_grow_with_instances(instances):
    owners = [probe_budget.ProbeBudget(10.0, 0.0) for _ in range(instances)]
    servers = 57
    for index, owner in enumerate(owners):
        owned = len(range(index, servers, instances))
        owner.set_share(owned, servers, 0.0)
    needs = [probe_budget.ProbeNeed(f"s{n}", 5.0) for n in range(20)]
    for step in range(1, 601):
        for owner in owners:
            owner.take(needs, step * 0.1)
    assert sum(owner.spent for owner in owners) <= 10.0 * 60.0
    assert sum(owner.spent for owner in owners) >= 10.0 * 60.0 * 0.9


def test_probe_budget_takes_most_urgent_first():
    budget = probe_budget.ProbeBudget(1.0, 0.0)
    budget.set_share(3, 3, 0.0)
    needs = [
        probe_budget.ProbeNeed("busy", 0.1),
        probe_budget.ProbeNeed("quiet", 3.0),
        probe_budget.ProbeNeed("out", 1.0, weight=4.0),
    ]
    assert budget.take(needs, 1.0) == ("out",)
    assert budget.take(needs, 1.5) == ()


def test_hedges_stay_a_share_of_traffic():
    hedger = hedge.Hedger(0.03)
    spent = 0
    for _ in range(10_000):
        hedger.on_request()
        spent += hedger.try_spend()
    assert spent <= 300


@pytest.mark.parametrize(
    ("request_class", "is_hedged"),
    [
        (request.RequestClass.IDEMPOTENT, True),
        (request.RequestClass.AT_MOST_ONCE, False),
        (request.RequestClass.DEFERRABLE, False),
    ],
)
def test_hedge_delay_only_for_idempotent(request_class, is_hedged):
    hedger = hedge.Hedger()
    for number in range(2000):
        hedger.on_answer("read", 0.05 if number % 50 == 0 else 0.01)
    delay_s = hedger.delay_s("read", request_class)
    assert (delay_s is not None) == is_hedged
    if delay_s is not None:
        assert 0.01 <= delay_s <= 0.05


@pytest.mark.parametrize("members", [1, 2, 6, 19, 60])
@pytest.mark.parametrize(("connections", "slots"), [(200, 4), (250, 2)])
def test_pool_sizes_sum_within_server_connections(members, connections, slots):
    size = pool_size.size_pool(connections, slots, slots, members)
    assert size.maximum * members <= connections
    assert 1 <= size.warm <= size.maximum
