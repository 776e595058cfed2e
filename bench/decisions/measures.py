"""What one run of a scenario measured."""

from __future__ import annotations

import attrs
from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3


@attrs.define
class Measures:
    """Figures of one scenario under one policy."""

    duration_s: float = 0.0
    calls: int = 0
    ok: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    unfinished: int = 0
    probes: int = 0
    dispatches: int = 0
    peak_cold: float = 0.0
    crashes: int = 0
    late_out: int = 0
    """Dispatches to a data centre that has been out for longer than 3 s."""
    late_leaving: int = 0
    """Dispatches to a server that has been leaving for longer than 3 s."""
    doubles: int = 0
    """At-most-once calls that reached a server more than once and ran."""
    to_slow: int = 0
    """Dispatches to a server that has been far slower for 50 to 500 ms."""
    latency: histogram.HdrHistogram = attrs.Factory(
        lambda: histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the served calls' latency."""
        return self.latency.get_value_at_percentile(percentile) / 1000.0

    @property
    def goodput(self) -> float:
        """Calls served in time per second."""
        return self.in_time / self.duration_s
