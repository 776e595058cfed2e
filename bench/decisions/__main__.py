"""Runs the decision benchmark and prints one row of figures per run.

There is one run for each combination of service size, scenario and load
balancing policy.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
from typing import TYPE_CHECKING

from bench.decisions import runner
from bench.decisions import scenario
from bench.decisions import size

if TYPE_CHECKING:
    from collections.abc import Sequence

_WORKERS = 6
_HEADER = (
    f"{'size':15}{'scenario':20}{'policy':16}"
    f"{'p50':>7}{'p99':>8}{'p99.9':>8}{'goodput':>9}{'good%':>7}"
    f"{'refused':>8}{'failed':>7}{'probes/s':>9}{'cold':>6}"
    f"{'crashes':>8}{'late':>6}"
)


def _format_row(job: tuple[size.Size, scenario.Scenario, str]) -> str:
    service_size, case, policy = job
    got = runner.Run(case, service_size, policy).run()
    good = 100.0 * got.in_time / max(1, got.calls)
    return (
        f"{service_size.name:15}{case.name:20}{policy:16}"
        f"{got.percentile_ms(50):7.1f}{got.percentile_ms(99):8.1f}"
        f"{got.percentile_ms(99.9):8.1f}{got.goodput:9.0f}{good:7.2f}"
        f"{got.refused:8}{got.failed:7}{got.probes / got.duration_s:9.0f}"
        f"{got.peak_cold_load:6.2f}{got.crashes:8}"
        f"{got.dispatches_to_out + got.dispatches_to_leaving:6}"
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the selected combinations and prints their table.

    Args:
        arguments: Command-line arguments; None for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", default="", help="part of the name")
    parser.add_argument("--size", default="", help="part of the name")
    parser.add_argument("--policy", default="", help="part of the name")
    parser.add_argument("--workers", type=int, default=_WORKERS)
    options = parser.parse_args(arguments)
    jobs = [
        (service_size, case, policy)
        for service_size, case, policy in itertools.product(
            size.SIZES, scenario.SCENARIOS, runner.POLICIES
        )
        if options.size in service_size.name
        and options.scenario in case.name
        and options.policy in policy
    ]
    print(_HEADER)
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        for line in pool.map(_format_row, jobs):
            print(line, flush=True)


if __name__ == "__main__":
    main()
