"""What leaves a data centre: the share, its bound, and its hysteresis."""

import itertools
import math

import pytest

from magnoliacrank.policy import placement
from magnoliacrank.policy import round_trips
from magnoliacrank.policy import spillover

Balance = spillover.Balance

WORK_S = 0.06
COST_S = 0.009


def _settled(balances, own="a", seconds=5.0):
    """Returns the plan after the same figures held for some seconds."""
    found = spillover.Spillover(own)
    for step in range(round(seconds / 0.2) + 1):
        plan = found.update(balances, WORK_S, COST_S, step * 0.2)
    return plan


@pytest.mark.parametrize(
    ("own", "others", "least", "most"),
    [
        (Balance(10, 30), [Balance(10, 30)], 0.0, 0.0),
        (Balance(36, 30), [Balance(10, 30)], 0.2, 0.35),
        (Balance(36, 30), [Balance(36, 30)], 0.0, 0.0),
        (Balance(36, 30), [Balance(24.5, 30)], 0.1, 0.17),
        (Balance(10, 0), [Balance(10, 60)], 1.0, 1.0),
        (Balance(20, 30, 4), [Balance(10, 30)], 0.2, 0.35),
        (Balance(36, 30), [Balance(10, 30, 2)], 0.0, 0.0),
        (Balance(0, 0), [Balance(10, 30)], 0.0, 0.0),
        (Balance(4, 30, 6), [Balance(10, 30)], 0.9, 1.0),
        (Balance(36, 30), [Balance(4, 30, 6)], 0.0, 0.0),
    ],
    ids=[
        "idle",
        "short beside an idle one",
        "short on both sides",
        "little room elsewhere",
        "all servers lost",
        "rejects though slots seem free",
        "receiver rejects",
        "no demand",
        "rejects more than has arrived",
        "receiver rejects more than has arrived",
    ],
)
def test_share_follows_shortage_and_room(own, others, least, most):
    balances = {"a": own, **dict(zip("bc", others, strict=False))}
    assert least <= _settled(balances).share <= most


def test_without_figures_of_others_nothing_is_planned():
    assert _settled({"a": Balance(36, 30)}) is None


@pytest.mark.parametrize(
    "demands",
    list(itertools.product((5, 20, 28, 45), repeat=3)),
)
def test_senders_together_stay_within_the_room_of_a_receiver(demands):
    """Waves with a phase of their own leave any combination of shortages."""
    balances = {
        name: Balance(demand, 30)
        for name, demand in zip("abc", demands, strict=True)
    }
    plans = {name: _settled(balances, name) for name in balances}
    for name, balance in balances.items():
        incoming = sum(
            plan.room_slots.get(name, 0.0)
            for sender, plan in plans.items()
            if sender != name
        )
        room = balance.room_slots + math.sqrt(balance.room_slots)
        assert incoming <= max(room - balance.demand_slots, 0.0) + 1e-6


@pytest.mark.parametrize("swing", [0.3, 1.0, 2.0])
def test_demand_that_swings_around_the_threshold_does_not_toggle(swing):
    """Callers would be sent to and fro with each report otherwise."""
    enters = min(
        demand
        for demand in (20 + step / 10 for step in range(100))
        if _settled({"a": Balance(demand, 30), "b": Balance(5, 30)}).share
    )
    found = spillover.Spillover("a")
    shares = []
    for step in range(400):
        demand = enters + (swing if step % 2 else -swing)
        balances = {"a": Balance(demand, 30), "b": Balance(5, 30)}
        shares.append(found.update(balances, WORK_S, COST_S, step * 0.5).share)
    pairs = list(itertools.pairwise(shares))
    assert sum((not before) != (not after) for before, after in pairs) <= 1
    assert max(abs(after - before) for before, after in pairs) < 0.1


@pytest.mark.parametrize(
    ("slots", "cost_s", "least", "most"),
    [
        (30, 0.009, 0.85, 0.95),
        (6, 0.009, 0.6, 0.8),
        (30, 0.07, 0.95, 1.0),
        (0, 0.009, 0.0, 0.0),
    ],
    ids=["usual", "few slots", "far away", "no slots"],
)
def test_few_slots_and_short_distances_lower_the_threshold(
    slots, cost_s, least, most
):
    found = spillover.highest_load(slots, WORK_S, cost_s)
    assert least <= found <= most


def test_budget_bounds_the_rate_and_reserves_half_for_urgent_requests():
    budget = spillover.CrossingBudget()
    sent = {True: 0, False: 0}
    for step in range(1000):
        now_s = step / 100
        budget.set_rate(20.0, now_s)
        for is_urgent in (False, True):
            if budget.may_send(now_s, is_urgent=is_urgent):
                budget.on_sent()
                sent[is_urgent] += 1
    assert sum(sent.values()) <= 20 * 10 + 10
    assert sent[True] > sent[False]


def test_distance_is_the_least_round_trip_and_follows_a_longer_path():
    found = round_trips.RoundTrips()
    assert found.excess_s("b", "a") == 0.0
    for duration_s in (0.001, 0.05, 0.0012):
        found.add("a", duration_s)
    for duration_s in (0.004, 0.3, 0.0041):
        found.add("b", duration_s)
    assert found.excess_s("b", "a") == pytest.approx(0.003, abs=2e-4)
    for _ in range(300):
        found.add("b", 0.02)
    assert found.excess_s("b", "a") == pytest.approx(0.019, abs=2e-3)


@pytest.mark.parametrize(
    ("distance_s", "expected"), [(0.0, True), (0.003, True), (0.07, False)]
)
def test_nothing_is_planned_for_another_region(distance_s, expected):
    assert placement.is_near(WORK_S, distance_s) is expected
