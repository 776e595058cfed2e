"""The table of the hop bench."""

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
    """One way in one round."""

    name: str
    """Name of the way."""

    requests: int
    """Requests sent."""

    failures: int
    """Requests without a whole answer."""

    p50_ms: float
    """Median latency."""

    p99_ms: float
    """Latency of 99 in 100."""

    p999_ms: float
    """Latency of 999 in 1,000."""

    processor_us: float
    """Processor time of the hop for one request."""


def percentile_ms(latencies: histogram.HdrHistogram, percent: float) -> float:
    """Returns one percentile of latencies recorded in nanoseconds."""
    value = latencies.get_value_at_percentile(percent)
    return float(value) / _NS_PER_MS


def format_row(row: Row, direct: Row) -> str:
    """Returns one line of the table.

    Args:
        row: One way.
        direct: The direct path in the same round.
    """
    return (
        f"{row.name:10}{row.requests:9}{row.failures:7}"
        f"{row.p50_ms:8.3f}{row.p99_ms:8.3f}{row.p999_ms:8.3f}"
        f"{row.p50_ms - direct.p50_ms:7.3f}{row.p99_ms - direct.p99_ms:7.3f}"
        f"{row.p50_ms / direct.p50_ms:7.2f}{row.p99_ms / direct.p99_ms:7.2f}"
        f"{row.processor_us:8.0f}"
    )


def middle(rows: list[Row]) -> Row:
    """Returns the medians of one way over all rounds.

    Args:
        rows: The way's row of each round.
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


def show(rounds: list[list[Row]]) -> None:
    """Prints each round and the medians over the rounds.

    Args:
        rounds: The rows of each round, the direct path first.
    """
    for number, rows in enumerate(rounds, 1):
        print(f"round {number}")
        _show_table(rows)
    print("medians of the rounds")
    _show_table([middle(list(rows)) for rows in zip(*rounds, strict=True)])


def _show_table(rows: list[Row]) -> None:
    print(_HEADER)
    for row in rows:
        print(format_row(row, rows[0]))
