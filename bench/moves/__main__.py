"""Prints what becomes of good and bad versions over many seeds.

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
    """One kind of version."""

    name: str
    new: version_traffic.BehaviourAt
    old: version_traffic.BehaviourAt = version_traffic.steady(_GOOD)  # noqa: RUF009
    shows_s: float = 0.0
    runs: int = _BAD_RUNS


def _when(
    is_bad: version_traffic.Condition, errors: float, slowness: float
) -> version_traffic.BehaviourAt:
    bad = version_traffic.Behaviour(errors, slowness)
    return lambda moment: bad if is_bad(moment) else _GOOD


def _always(_: version_traffic.Moment) -> bool:
    return True


def _noise(moment: version_traffic.Moment) -> bool:
    return moment.now_s % 20 < 4


_CASES = (
    _Case("good", version_traffic.steady(_GOOD), runs=_GOOD_RUNS),
    _Case(
        "good, noisy neighbours",
        _when(_noise, 0.1, 3.0),
        _when(_noise, 0.1, 3.0),
        runs=_GOOD_RUNS,
    ),
    _Case("good, 5% slower", _when(_always, 0.005, 1.05), runs=_GOOD_RUNS),
    _Case("every request fails", _when(_always, 1.0, 1.0)),
    _Case("10% fail", _when(_always, 0.1, 1.0)),
    _Case("3% fail", _when(_always, 0.03, 1.0)),
    _Case("3 times slower", _when(_always, 0.005, 3.0)),
    _Case("1.5 times slower", _when(_always, 0.005, 1.5)),
    _Case(
        "20% fail after 30 s",
        _when(lambda m: m.now_s > 30, 0.2, 1.0),
        shows_s=30,
    ),
    _Case(
        "4 times slower from half",
        _when(lambda m: m.share >= 0.5, 0.005, 4.0),
    ),
    _Case(
        "30% fail on one route", _when(lambda m: m.route == "write", 0.3, 1.0)
    ),
)


def main() -> None:
    """Prints the table."""
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


def _print_row(case: _Case, runs: Sequence[version_traffic.MoveRun]) -> None:
    done = sum(run.phase is move.Phase.DONE for run in runs)
    back = sum(run.phase is move.Phase.TAKEN_BACK for run in runs)
    ends = [run.ended_s - case.shows_s for run in runs]
    errors = [run.new_errors for run in runs]
    print(
        f"{case.name:<26}{len(runs):>5}{done:>6}{back:>6}"
        f"{statistics.median(ends):>11.1f}{max(ends):>11.1f}"
        f"{statistics.median(errors):>12.0f}{max(errors):>6}"
    )


if __name__ == "__main__":
    main()
