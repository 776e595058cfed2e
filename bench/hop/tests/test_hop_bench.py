"""The hop benchmark plans its requests evenly and computes its table."""

from __future__ import annotations

import random

import pytest

from bench.hop import generator
from bench.hop import report


def _row(name, p50, p99, failures=0):
    return report.Row(name, 10, failures, p50, p99, p99, 1.0)


def test_arrivals_are_the_same_for_one_seed_and_even_over_ways():
    load = generator.Load(seed=3, rate=50.0, seconds=2.0)
    first = generator._plan_arrivals(["a", "b"], load, random.Random(3))
    again = generator._plan_arrivals(["a", "b"], load, random.Random(3))
    assert first == again
    names = [name for _, name in first]
    assert names.count("a") == names.count("b") == 100
    times = [offset_s for offset_s, _ in first]
    assert times == sorted(times)


def test_median_row_takes_medians_and_sums_of_the_rounds():
    rows = [_row("a", 1.0, 9.0), _row("a", 3.0, 7.0, 2), _row("a", 2.0, 8.0)]
    median_row = report.median_row(rows)
    assert (median_row.p50_ms, median_row.p99_ms) == (2.0, 8.0)
    assert (median_row.requests, median_row.failures) == (30, 2)


def test_row_shows_difference_and_ratio_to_the_direct_path():
    line = report.format_row(_row("a", 3.0, 8.0), _row("direct", 1.0, 2.0))
    assert line.split()[5:] == [
        "8.000", "2.000", "6.000", "3.00", "4.00", "1"
    ]  # fmt: skip


@pytest.mark.parametrize(("percent", "expected"), [(50.0, 1.0), (99.0, 5.0)])
def test_percentile_is_in_milliseconds(percent, expected):
    way = generator.Way("a", 1)
    for _ in range(90):
        way.latencies.record_value(1_000_000)
    for _ in range(10):
        way.latencies.record_value(5_000_000)
    seen = report.percentile_ms(way.latencies, percent)
    assert seen == pytest.approx(expected, rel=0.01)
