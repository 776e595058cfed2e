"""Prints a day's worst windows beside what could have been served in time.

    python -m bench.ceiling SITE.toml DAY REPORT.json [--span FROM TO]

The bound of one window ignores what the windows beside it need; with --span the
windows between two seconds are taken together.

The report is that of a played day. Arrivals are spread evenly over each window
and over the kinds of request by their share; servers of data centres that are
out of service count as absent, and neighbours' load at its mean.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import tomllib
from typing import TYPE_CHECKING
from typing import Any

from bench.ceiling import window_ceiling

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

_WINDOW_S = 2.0
"""Length of the report's windows."""

_WORST_WINDOWS = 4
"""Number of windows that are printed."""

_OUT_OF_SERVICE = ("evacuate", "cold_return", "zone_loss")
"""Events that leave a data centre without servers."""


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(prog="bench.ceiling")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("day")
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("--span", nargs=2, type=int, metavar=("FROM", "TO"))
    arguments = parser.parse_args()
    site = tomllib.loads(arguments.site.read_text("utf-8"))
    report = json.loads(arguments.report.read_text("utf-8"))
    days = {day["name"]: day for day in site["day"]}
    print("second  asked  in time  late  refused  failed  ceiling")
    if arguments.span:
        rows = [_merged(report["windows"], *arguments.span)]
    else:
        rows = sorted(report["windows"], key=lambda row: row["worth"])
    for row in rows[:_WORST_WINDOWS]:
        ceiling = window_ceiling_of(site, days[arguments.day], report, row)
        print(
            f"{row['name']:>6}  {row['n']:>5}  {row['in_aim']:>7}  "
            f"{row['late']:>4}  {row['refused']:>7}  {row['failed']:>6}  "
            f"{ceiling:>7}"
        )


def _merged(
    windows: list[dict[str, Any]], start_s: int, end_s: int
) -> dict[str, Any]:
    """Returns one row for the windows between two seconds."""
    rows = [row for row in windows if start_s <= int(row["name"]) < end_s]
    counts = ("n", "in_aim", "late", "refused", "failed")
    merged = {name: sum(row[name] for row in rows) for name in counts}
    return {**merged, "name": str(start_s), "length_s": float(end_s - start_s)}


def window_ceiling_of(
    site: Mapping[str, Any],
    day: Mapping[str, Any],
    report: Mapping[str, Any],
    window: Mapping[str, Any],
) -> int:
    """Returns how many requests of a window can be in time, over all services.

    Args:
        site: The site file.
        day: The day's entry in the site file.
        report: Report of the played day.
        window: Row of the report for the window.
    """
    outages = list(_outages(day, report))
    total = sum(row["n"] for row in report["classes"])
    shares = {row["name"]: row["n"] / total for row in report["classes"]}
    found = 0
    for service in site["services"]:
        requests = [
            request
            for kind in site["classes"]
            if kind["service"] == service["name"]
            for request in _requests(kind, shares, window)
        ]
        capacities = list(_capacities(service, report))
        found += window_ceiling.in_time_ceiling(requests, capacities, outages)
    return found


def _requests(
    kind: Mapping[str, Any],
    shares: Mapping[str, float],
    window: Mapping[str, Any],
) -> Iterator[window_ceiling.Request]:
    number = round(window["n"] * shares[kind["name"]])
    length_s = window.get("length_s", _WINDOW_S)
    for index in range(number):
        yield window_ceiling.Request(
            asked_s=float(window["name"]) + length_s * index / number,
            work_s=kind["work_ms"]["mean"] / 1000,
            objective_s=kind["aim_ms"] / 1000,
        )


def _capacities(
    service: Mapping[str, Any],
    report: Mapping[str, Any],
) -> Iterator[window_ceiling.Capacity]:
    noise = service.get("noise") or {"share": 0.0, "x": 1.0}
    speed = 1.0 - noise["share"] + noise["share"] / noise["x"]
    end_s = max(event["to_s"] for event in report["events"])
    for group in service["servers"]:
        slots = group["count"] * service["slots"] * speed
        start_s = 0.0
        for event in sorted(report["events"], key=lambda one: one["at_s"]):
            if not _takes_out(event, group["zone"]) or event["to_s"] < start_s:
                continue
            yield window_ceiling.Capacity(start_s, event["at_s"], slots)
            start_s = event["to_s"]
        yield window_ceiling.Capacity(start_s, end_s, slots)


def _takes_out(event: Mapping[str, Any], zone: str) -> bool:
    return event["kind"].startswith(_OUT_OF_SERVICE) and event["what"].endswith(
        zone
    )


def _outages(
    day: Mapping[str, Any], report: Mapping[str, Any]
) -> Iterator[window_ceiling.Outage]:
    for event in report["events"]:
        if event["kind"].startswith("closing"):
            start_s = event["at_s"]
            end_s = start_s + day["closing"]["down_s"]
            yield window_ceiling.Outage(start_s, end_s)


if __name__ == "__main__":
    main()
