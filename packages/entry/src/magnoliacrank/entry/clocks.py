"""Clocks of an instance."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Returns seconds that go on while the machine is suspended.

    The age of what is believed is measured by it: after a suspension all of
    it is old.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
