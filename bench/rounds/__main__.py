"""Prints two sets of reports side by side, paired by file name.

    python -m bench.rounds BEFORE_DIRECTORY AFTER_DIRECTORY

A report's name states the day and the seed, so that pairs differ in the code
only.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import statistics
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

_LARGEST_PRICES = 6
_WORST_WINDOWS = 2


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(prog="bench.rounds")
    parser.add_argument("before", type=pathlib.Path)
    parser.add_argument("after", type=pathlib.Path)
    arguments = parser.parse_args()
    pairs = [
        (path, arguments.after / path.name)
        for path in sorted(arguments.before.glob("*.json"))
        if (arguments.after / path.name).exists()
    ]
    gains = []
    for before_path, after_path in pairs:
        before, after = _read(before_path), _read(after_path)
        gains.append(after["G"] - before["G"])
        print(f"{before_path.stem}: {gains[-1]:+.3f}")
        for name, report in (("before", before), ("after", after)):
            print(f"  {name:6} {describe(report)}")
    if gains:
        spread = statistics.pstdev(gains)
        print(
            f"{len(gains)} pairs: {statistics.mean(gains):+.3f} +- {spread:.3f}"
        )


def describe(report: Mapping[str, Any]) -> str:
    """Returns worth, parts, prices and worst windows of a report."""
    parts = " ".join(
        f"{name} {value:.3f}" for name, _, value in report["parts"]
    )
    prices = sorted(report["prices"], key=lambda row: -row[2])
    largest = " ".join(
        f"{name} {price:.3f}" for name, _, price in prices[:_LARGEST_PRICES]
    )
    windows = sorted(report["windows"], key=lambda row: row["worth"])
    worst = " ".join(
        f"{row['name']}s {row['n']}/{row['in_aim']}/{row['late']}/"
        f"{row['refused']}/{row['failed']}"
        for row in windows[:_WORST_WINDOWS]
    )
    return f"{report['G']:.3f} | {parts} | {largest} | {worst}"


def _read(path: pathlib.Path) -> Any:
    return json.loads(path.read_text("utf-8"))


if __name__ == "__main__":
    main()
