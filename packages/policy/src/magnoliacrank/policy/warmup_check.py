"""Decides when to ask a server that states no load whether it is cold.

Load pattern: a data centre is taken back into service, and its servers have
become cold meanwhile. A server that states its load is asked before each
request and says so then; any other is asked once when it rejoins, and a few
times a second while it is in use.
"""

from __future__ import annotations

import enum

_MAX_REPORT_AGE_S = 0.5
"""Age in seconds up to which a report on the warm-up is relied on."""

_MAX_IDLE_S = 1.0
"""Time in seconds without a request after which a server may have become cold
without notice."""


class WarmupCheck(enum.Enum):
    """Whether a server's warm-up state is asked for."""

    NONE = "none"
    """It is known."""

    CONCURRENT = "concurrent"
    """It is asked for while the server is used."""

    BEFORE_USE = "before-use"
    """It is asked for before the server is used."""


def due_check(report_age_s: float | None, idle_s: float) -> WarmupCheck:
    """Returns whether a server has to be asked before a request is sent to it.

    Args:
        report_age_s: Age in seconds of its newest report. None if there is
            none; its entry in the store is relied on then.
        idle_s: Seconds since this instance last sent a request to it.
    """
    if report_age_s is None or report_age_s <= _MAX_REPORT_AGE_S:
        return WarmupCheck.NONE
    if idle_s <= _MAX_IDLE_S:
        return WarmupCheck.CONCURRENT
    return WarmupCheck.BEFORE_USE
