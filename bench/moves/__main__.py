"""Prints the outcome of moves to good and bad versions over many seeds.

A move is the gradual rollout of a new version of a service, which is taken
back when the version proves faulty.

Run by: python -m bench.moves
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import move
from magnoliacrank.standins import version_traffic

if TYPE_CHECKING:
    from collections.abc import Sequence

_GOOD_RUNS = 300
_BAD_RUNS = 40
_DEADLINE_S = 120.0
_RATES_PER_S = {"read": 80.0, "write": 10.0}
_GOOD = version_traffic.Behaviour(0.005)


@attrs.frozen
class _Case:
    """Behaviour of the two versions in one row of the table."""

    name: str
    """Name in the table."""
    new: version_traffic.BehaviourAt
    """Behaviour of the new version."""
    old: version_traffic.BehaviourAt = version_traffic.constant_behaviour(_GOOD)  # noqa: RUF009
    """Behaviour of the old version."""
    fault_starts_s: float = 0.0
    """Seconds from the start of the move until the fault begins."""
    runs: int = _BAD_RUNS
    """Number of runs, each with a seed of its own."""


def _behaviour_when(
    is_bad: version_traffic.Condition, errors: float, slowness: float
) -> version_traffic.BehaviourAt:
    bad = version_traffic.Behaviour(errors, slowness)
    return lambda conditions: bad if is_bad(conditions) else _GOOD


def _always(_: version_traffic.TrafficConditions) -> bool:
    return True


def _is_noisy(conditions: version_traffic.TrafficConditions) -> bool:
    return conditions.now_s % 20 < 4


_CASES = (
    _Case("good", version_traffic.constant_behaviour(_GOOD), runs=_GOOD_RUNS),
    _Case(
        "good, noisy neighbours",
        _behaviour_when(_is_noisy, 0.1, 3.0),
        _behaviour_when(_is_noisy, 0.1, 3.0),
        runs=_GOOD_RUNS,
    ),
    _Case(
        "good, 5% slower",
        _behaviour_when(_always, 0.005, 1.05),
        runs=_GOOD_RUNS,
    ),
    _Case("every request fails", _behaviour_when(_always, 1.0, 1.0)),
    _Case("10% fail", _behaviour_when(_always, 0.1, 1.0)),
    _Case("3% fail", _behaviour_when(_always, 0.03, 1.0)),
    _Case("3 times slower", _behaviour_when(_always, 0.005, 3.0)),
    _Case("1.5 times slower", _behaviour_when(_always, 0.005, 1.5)),
    _Case(
        "20% fail after 30 s",
        _behaviour_when(lambda m: m.now_s > 30, 0.2, 1.0),
        fault_starts_s=30,
    ),
    _Case(
        "4 times slower from half",
        _behaviour_when(lambda m: m.share >= 0.5, 0.005, 4.0),
    ),
    _Case(
        "30% fail on one route",
        _behaviour_when(lambda m: m.route == "write", 0.3, 1.0),
    ),
)


def main() -> None:
    """Prints one row per case."""
    print(
        f"{'version':<26}{'runs':>5}{'done':>6}{'back':>6}"
        f"{'end s p50':>11}{'end s max':>11}{'errors p50':>12}{'max':>6}"
    )
    for case in _CASES:
        runs = [
            version_traffic.MoveSimulation(
                _RATES_PER_S,
                old=case.old,
                new=case.new,
                deadline_s=_DEADLINE_S,
                seed=seed,
            ).run()
            for seed in range(case.runs)
        ]
        _print_row(case, runs)


def _print_row(case: _Case, runs: Sequence[version_traffic.MoveResult]) -> None:
    done = sum(run.phase is move.Phase.DONE for run in runs)
    taken_back = sum(run.phase is move.Phase.TAKEN_BACK for run in runs)
    ends = [run.ended_s - case.fault_starts_s for run in runs]
    errors = [run.new_errors for run in runs]
    print(
        f"{case.name:<26}{len(runs):>5}{done:>6}{taken_back:>6}"
        f"{statistics.median(ends):>11.1f}{max(ends):>11.1f}"
        f"{statistics.median(errors):>12.0f}{max(errors):>6}"
    )


if __name__ == "__main__":
    main()
