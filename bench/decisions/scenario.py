"""Scenarios as rows of a table: load over time and faults."""

from __future__ import annotations

import enum

import attrs


class Fault(enum.Enum):
    """What happens to some servers or to a data centre."""

    SLOW = "slow"
    NOISY = "noisy"
    FAIL_FAST = "fail-fast"
    RESTART = "restart"
    CRASH = "crash"
    LEAVE = "leave"
    OUT = "out"
    REPORT_IDLE = "report-idle"
    REPORT_FROZEN = "report-frozen"
    REPORT_BUSY = "report-busy"
    CRASH_REQUEST = "crash-request"
    SILENT = "silent"
    ENTRY_LOST = "entry-lost"


@attrs.frozen
class Step:
    """One fault for a time."""

    fault: Fault
    at_s: float = 2.0
    until_s: float = 4.0
    share: float = 0.0
    """Part of the servers; 0 means one server."""
    factor: float = 1.0
    """Slowdown."""


@attrs.frozen
class Scenario:
    """One row of the table."""

    name: str
    steps: tuple[Step, ...] = ()
    load: float = 0.6
    """Work offered before and after the peak over what the servers bear."""
    peak: float | None = None
    """Work offered between 2 s and 3 s, or None for no change."""
    duration_s: float = 6.0


_SLOW = Step(Fault.SLOW, factor=8.0, share=0.1)
_COLD = Step(Fault.RESTART, share=0.15)
_OUT = Step(Fault.OUT, at_s=1.0, until_s=4.5)
_IDLE = Step(Fault.REPORT_IDLE, at_s=0.0, until_s=9.0, share=0.2)
_NOISY = Step(Fault.NOISY, share=0.3, factor=3.0)

SCENARIOS = (
    Scenario("steady"),
    Scenario("load step", load=0.4, peak=0.9),
    Scenario("noisy neighbour", (_NOISY,)),
    Scenario("sudden slowdown", (_SLOW,)),
    Scenario("fast failure", (Step(Fault.FAIL_FAST, share=0.1),)),
    Scenario("cold, unannounced", (_COLD,)),
    Scenario("crash and cold", (Step(Fault.CRASH, share=0.15),)),
    Scenario("servers leave", (Step(Fault.LEAVE, share=0.15, until_s=6.0),)),
    Scenario("data centre out", (_OUT,), load=0.5),
    Scenario("lying reports", (_IDLE,)),
    Scenario("lying and slow", (_IDLE, _SLOW)),
    Scenario("frozen reports", (Step(Fault.REPORT_FROZEN, share=0.3), _NOISY)),
    Scenario("overload", load=2.0),
    Scenario("crash request", (Step(Fault.CRASH_REQUEST, until_s=5.0),)),
    Scenario("silent links", (Step(Fault.SILENT, share=0.2),)),
    Scenario("entry lost", (Step(Fault.ENTRY_LOST, at_s=1.0),), load=0.5),
    Scenario("out and cold", (_OUT, _COLD), load=0.4),
    Scenario("out and slow", (_OUT, _SLOW), load=0.4),
    Scenario("step and cold", (_COLD,), load=0.4, peak=0.85),
    Scenario("slow and overload", (_SLOW,), load=1.5),
)
