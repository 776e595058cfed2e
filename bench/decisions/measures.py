"""Figures that one run of a scenario measures."""

from __future__ import annotations

import attrs
from hdrh import histogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


@attrs.define
class Measures:
    """Figures of one scenario under one policy."""

    duration_s: float = 0.0
    """Virtual seconds for which calls were sent."""
    calls: int = 0
    """Calls sent, without those that crash backend servers."""
    ok: int = 0
    """Calls answered with success."""
    in_time: int = 0
    """Calls answered with success by their deadline."""
    refused: int = 0
    """Calls that were refused and did not run."""
    failed: int = 0
    """Calls that failed or whose outcome is unknown."""
    unfinished: int = 0
    """Calls that were still open at the end."""
    probes: int = 0
    """Load reports asked for by entry instances."""
    dispatches: int = 0
    """Dispatches to backend servers, retries and hedges included."""
    peak_cold_load: float = 0.0
    """Highest load of a cold server, as a multiple of its capacity then."""
    crashes: int = 0
    """Crashes of backend servers."""
    dispatches_to_out: int = 0
    """Dispatches to a data centre that has been out for longer than 3 s."""
    dispatches_to_leaving: int = 0
    """Dispatches to a server that has been leaving for longer than 3 s."""
    duplicate_runs: int = 0
    """Repeated successful runs of at-most-once calls."""
    dispatches_to_slowed: int = 0
    """Dispatches to a server 50 to 500 ms after it became far slower."""
    latency: histogram.HdrHistogram = attrs.Factory(
        lambda: histogram.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
    )

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency of successful calls.

        Deferrable calls are left out, since they may wait for seconds.
        """
        return self.latency.get_value_at_percentile(percentile) / 1000.0

    @property
    def goodput(self) -> float:
        """Calls answered in time per second."""
        return self.in_time / self.duration_s
