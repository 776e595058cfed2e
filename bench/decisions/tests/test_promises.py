"""The policy library keeps its promises in the simulated scenarios.

A run of the random baseline shows that the checks notice a broken promise.
"""

from __future__ import annotations

import pytest

from bench.decisions import runner
from bench.decisions import scenario
from bench.decisions import size

_SIZES = {one.name: one for one in size.SIZES}
_ROWS = {row.name: row for row in scenario.SCENARIOS}
_SMALL = ("cirelis-refill", "sela-records")
_CALM = ("steady", "servers leave", "data centre out", "lying reports")
_PROBES_PER_S = 10.0


def _run(row, dimension, policy=runner.PRODUCT):
    return runner.Run(_ROWS[row], _SIZES[dimension], policy).run()


@pytest.fixture(scope="module")
def figures():
    """Returns a function that runs each scenario at most once."""
    kept = {}

    def get(row, dimension):
        if (row, dimension) not in kept:
            kept[row, dimension] = _run(row, dimension)
        return kept[row, dimension]

    return get


@pytest.mark.parametrize("dimension", _SMALL)
@pytest.mark.parametrize("row", _CALM)
def test_calm_scenarios_serve_all_in_time(figures, row, dimension):
    got = figures(row, dimension)
    assert got.in_time == got.calls
    assert got.refused == got.failed == got.unfinished == 0


@pytest.mark.parametrize("dimension", _SMALL)
@pytest.mark.parametrize("row", ["data centre out", "servers leave"])
def test_departed_servers_get_no_work_after_limit(figures, row, dimension):
    got = figures(row, dimension)
    assert got.dispatches_to_out == 0
    assert got.dispatches_to_leaving == 0


@pytest.mark.parametrize("dimension", _SMALL)
def test_restarted_server_is_not_overloaded(figures, dimension):
    got = figures("crash and cold", dimension)
    assert got.crashes == 1
    assert got.peak_cold_load <= 1.0


@pytest.mark.parametrize("row", [row.name for row in scenario.SCENARIOS])
def test_every_scenario_runs_no_duplicates_and_stays_in_probe_budget(
    figures, row
):
    got = figures(row, "sela-records")
    assert got.duplicate_runs == 0
    assert got.probes <= _PROBES_PER_S * (got.duration_s + 1.0)


@pytest.mark.parametrize("dimension", _SMALL)
def test_slowed_server_loses_work_within_half_a_second(figures, dimension):
    got = figures("sudden slowdown", dimension)
    plain = _run("sudden slowdown", dimension, "random")
    assert plain.dispatches_to_slowed >= 10
    assert got.dispatches_to_slowed <= plain.dispatches_to_slowed / 5


@pytest.mark.parametrize("dimension", _SMALL)
def test_crash_request_crashes_at_most_two_servers(figures, dimension):
    assert figures("crash request", dimension).crashes <= 2


@pytest.mark.parametrize("dimension", _SMALL)
def test_overload_keeps_goodput_near_capacity(figures, dimension):
    got = figures("overload", dimension)
    one = _SIZES[dimension]
    capacity_per_s = one.servers * one.slots / one.service_s
    assert got.goodput >= 0.9 * capacity_per_s


@pytest.mark.parametrize("policy", runner.POLICIES)
def test_same_seed_gives_same_figures(policy):
    one, other = (
        _run("sudden slowdown", "sela-records", policy) for _ in range(2)
    )
    assert one.latency.encode() == other.latency.encode()
    assert one.dispatches == other.dispatches


def test_random_policy_breaks_the_promises():
    got = _run("servers leave", "sela-records", "random")
    assert got.dispatches_to_leaving > 0
    got = _run("crash and cold", "cirelis-refill", "random")
    assert got.peak_cold_load > 1.0
