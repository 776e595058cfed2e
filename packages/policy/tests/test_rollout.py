"""Rollout: simulated moves of good and faulty versions, with fixed seeds."""

from __future__ import annotations

import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import move
from magnoliacrank.policy import fault_test
from magnoliacrank.policy import rollout
from magnoliacrank.standins import version_traffic

RATES = {"read": 200.0, "write": 20.0}
GOOD = version_traffic.Behaviour(0.001)
DONE = move.Phase.DONE
TAKEN_BACK = move.Phase.TAKEN_BACK
ERRORS = move.Reason.ERRORS
LATENCY = move.Reason.LATENCY


def always(errors=0.001, slowness=1.0):
    return version_traffic.constant_behaviour(
        version_traffic.Behaviour(errors, slowness)
    )


def when(condition, errors=0.001, slowness=1.0):
    bad = version_traffic.Behaviour(errors, slowness)
    return lambda conditions: bad if condition(conditions) else GOOD


@pytest.mark.parametrize(
    ("new", "phase", "reason", "max_share"),
    [
        pytest.param(always(), DONE, move.Reason.EVIDENCE, 0.9, id="good"),
        pytest.param(always(1.0), TAKEN_BACK, ERRORS, 0.01, id="fails-at-once"),
        pytest.param(always(0.1), TAKEN_BACK, ERRORS, 0.05, id="a-tenth-fails"),
        pytest.param(
            always(slowness=3.0), TAKEN_BACK, LATENCY, 0.05, id="slow-at-once"
        ),
        pytest.param(
            when(lambda m: m.now_s > 60, errors=0.5),
            TAKEN_BACK,
            ERRORS,
            0.9,
            id="fails-later",
        ),
        pytest.param(
            when(lambda m: m.share >= 0.5, slowness=4.0),
            TAKEN_BACK,
            LATENCY,
            0.5,
            id="slow-under-load",
        ),
        pytest.param(
            when(lambda m: m.share >= 0.9, errors=0.2),
            TAKEN_BACK,
            ERRORS,
            0.9,
            id="fails-under-load",
        ),
        pytest.param(
            when(lambda m: m.route == "write", errors=0.5),
            TAKEN_BACK,
            ERRORS,
            0.9,
            id="one-route-fails",
        ),
    ],
)
@pytest.mark.parametrize("seed", range(3))
def test_move_of_version_ends_as_expected(new, phase, reason, max_share, seed):
    run = version_traffic.MoveSimulation(RATES, new=new, seed=seed).run()
    assert (run.phase, run.reason) == (phase, reason)
    assert run.largest_share <= max_share


@pytest.mark.parametrize(
    ("options", "phase", "reason"),
    [
        pytest.param(
            {"deadline_s": -1.0},
            TAKEN_BACK,
            move.Reason.DEADLINE_PAST,
            id="deadline-past",
        ),
        pytest.param(
            {"deadline_s": 15.0}, DONE, move.Reason.EVIDENCE, id="short-time"
        ),
        pytest.param(
            {"deadline_s": None}, DONE, move.Reason.EVIDENCE, id="no-deadline"
        ),
        pytest.param(
            {"capacity": lambda _: rollout.Capacity(20, 4)},
            TAKEN_BACK,
            move.Reason.TOO_FEW_SERVERS,
            id="too-few-servers",
        ),
        pytest.param(
            {"capacity": lambda _: rollout.Capacity(20, 0)},
            TAKEN_BACK,
            move.Reason.TOO_FEW_SERVERS,
            id="no-server-of-new-version",
        ),
        pytest.param(
            {"capacity": lambda now_s: rollout.Capacity(20 * (now_s < 9), 20)},
            DONE,
            move.Reason.OLD_VERSION_GONE,
            id="old-version-gone",
        ),
        pytest.param(
            {"rates_per_s": {"read": 0.2}},
            DONE,
            move.Reason.EVIDENCE,
            id="quiet-route",
        ),
        pytest.param(
            {"is_log_up": lambda now_s: not 5.0 < now_s < 400.0},
            TAKEN_BACK,
            move.Reason.DEADLINE_MISSED,
            id="log-away-until-deadline",
        ),
        pytest.param(
            {"is_log_up": lambda now_s: not 5.0 < now_s < 60.0},
            DONE,
            move.Reason.EVIDENCE,
            id="log-away-and-back",
        ),
    ],
)
def test_move_of_good_version_ends_as_expected(options, phase, reason):
    options = {"rates_per_s": RATES} | options
    run = version_traffic.MoveSimulation(**options).run()
    assert (run.phase, run.reason) == (phase, reason)


def test_faulty_version_while_log_is_unavailable_stops_at_once():
    run = version_traffic.MoveSimulation(
        RATES,
        new=when(lambda m: m.now_s > 10.0, errors=1.0),
        is_log_up=lambda now_s: now_s < 8.0 or now_s > 100.0,
    ).run()
    assert (run.phase, run.reason) == (TAKEN_BACK, ERRORS)
    assert run.new_errors < 20


def test_fault_of_both_versions_takes_nothing_back():
    trouble = when(lambda m: 5 < m.now_s < 25, errors=0.2, slowness=3.0)
    run = version_traffic.MoveSimulation(RATES, old=trouble, new=trouble).run()
    assert run.phase is DONE


@pytest.mark.parametrize("seed", range(40))
def test_good_version_is_not_taken_back(seed):
    run = version_traffic.MoveSimulation(
        {"read": 60.0, "write": 15.0},
        old=always(0.02),
        new=always(0.02),
        deadline_s=90.0,
        seed=seed,
    ).run()
    assert run.phase is DONE


def test_taken_back_move_gets_no_share_again():
    begun = move.Move(
        "s@2",
        ids.ServiceName("s"),
        version_traffic.OLD,
        version_traffic.NEW,
        None,
        phase=TAKEN_BACK,
        route_shares={"read": 0.5},
    )
    tracker = rollout.RolloutTracker(
        begun,
        ("read",),
        origin=ids.InstanceId("i"),
        incarnation=ids.Incarnation(1),
        now_s=0.0,
    )
    assert tracker.shares(9e9)["read"][version_traffic.NEW] == 0.0
    assert tracker.verdict(9e9).decision is rollout.Decision.HOLD


@pytest.mark.parametrize(
    ("counts", "is_faulty"),
    [
        ((5, 5, 95, 0), True),
        ((50, 5, 50, 5), False),
        ((5, 0, 95, 60), False),
        ((0, 0, 100, 50), False),
        ((100, 90, 0, 0), False),
    ],
)
def test_evidence_of_ten_equal_blocks_finds_faults(counts, is_faulty):
    test = fault_test.FaultTest()
    for _ in range(10):
        test.on_block(fault_test.FaultCounts(*counts))
    assert (test.evidence > 1000) == is_faulty
