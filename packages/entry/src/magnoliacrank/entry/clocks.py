"""The clock of an instance."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Returns the monotonic time in seconds, including time in suspension.

    Ages of cached records and reports are measured with this clock, so that
    everything counts as stale after the machine was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
