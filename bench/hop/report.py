"""Formats the tables of the hop benchmark."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hdrh import histogram

_NS_PER_MS = 1e6
_HEADER = (
    f"{'way':10}{'requests':>9}{'failed':>7}"
    f"{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>8}"
    f"{'+p50':>7}{'+p99':>7}{'x p50':>7}{'x p99':>7}{'cpu us':>8}"
)


@attrs.frozen
class Row:
    """Results of one way in one round."""

    name: str
    """Name of the way."""

    requests: int
    """Number of requests sent."""

    failures: int
    """Number of requests without a complete answer of status 200."""

    p50_ms: float
    """Median latency in milliseconds."""

    p99_ms: float
    """99th percentile of the latency in milliseconds."""

    p999_ms: float
    """99.9th percentile of the latency in milliseconds."""

    processor_us: float
    """Processor time of the hop per request in microseconds."""


def percentile_ms(latencies: histogram.HdrHistogram, percent: float) -> float:
    """Returns a percentile in milliseconds.

    Args:
        latencies: Latencies recorded in nanoseconds.
        percent: The percentile, from 0 to 100.
    """
    value = latencies.get_value_at_percentile(percent)
    return float(value) / _NS_PER_MS


def format_row(row: Row, direct: Row) -> str:
    """Returns one line of the table.

    Args:
        row: Results of a way.
        direct: Results of the direct path in the same round.
    """
    return (
        f"{row.name:10}{row.requests:9}{row.failures:7}"
        f"{row.p50_ms:8.3f}{row.p99_ms:8.3f}{row.p999_ms:8.3f}"
        f"{row.p50_ms - direct.p50_ms:7.3f}{row.p99_ms - direct.p99_ms:7.3f}"
        f"{row.p50_ms / direct.p50_ms:7.2f}{row.p99_ms / direct.p99_ms:7.2f}"
        f"{row.processor_us:8.0f}"
    )


def median_row(rows: list[Row]) -> Row:
    """Returns the medians of one way over all rounds, with summed counts.

    Args:
        rows: Results of the way in each round.
    """
    return Row(
        name=rows[0].name,
        requests=sum(row.requests for row in rows),
        failures=sum(row.failures for row in rows),
        p50_ms=statistics.median(row.p50_ms for row in rows),
        p99_ms=statistics.median(row.p99_ms for row in rows),
        p999_ms=statistics.median(row.p999_ms for row in rows),
        processor_us=statistics.median(row.processor_us for row in rows),
    )


def print_report(rounds: list[list[Row]]) -> None:
    """Prints each round and the medians over the rounds.

    Args:
        rounds: Results of all ways in each round, the direct path first.
    """
    for number, rows in enumerate(rounds, 1):
        print(f"round {number}")
        _print_table(rows)
    print("medians of the rounds")
    _print_table([median_row(list(rows)) for rows in zip(*rounds, strict=True)])


def _print_table(rows: list[Row]) -> None:
    print(_HEADER)
    for row in rows:
        print(format_row(row, rows[0]))
