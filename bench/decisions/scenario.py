"""Scenarios of the decision benchmark: load over time and faults."""

from __future__ import annotations

import enum

import attrs


class Fault(enum.Enum):
    """Fault of backend servers, connections, an instance or a data centre."""

    SLOW = "slow"
    """Backend servers become slower by a factor."""

    NOISY = "noisy"
    """The same as SLOW, for slowdowns by a noisy neighbour."""

    FAIL_FAST = "fail-fast"
    """Backend servers answer each request with an error at once."""

    RESTART = "restart"
    """Backend servers restart without downtime and are cold afterwards."""

    CRASH = "crash"
    """Backend servers crash and start again cold."""

    LEAVE = "leave"
    """Backend servers are listed as leaving."""

    OUT = "out"
    """The first data centre is taken out of service."""

    REPORT_IDLE = "report-idle"
    """Load reports of backend servers show no load."""

    REPORT_FROZEN = "report-frozen"
    """Load reports of backend servers no longer change."""

    REPORT_BUSY = "report-busy"
    """Load reports of backend servers show a high load."""

    CRASH_REQUEST = "crash-request"
    """A caller repeats a request that crashes each server that runs it."""

    SILENT = "silent"
    """Idle connections to backend servers fail without an error."""

    ENTRY_LOST = "entry-lost"
    """An entry instance stops."""


@attrs.frozen
class Step:
    """One fault with its start and end in a scenario."""

    fault: Fault
    """What fails."""
    at_s: float = 2.0
    """Start in seconds of virtual time."""
    until_s: float = 4.0
    """End in seconds of virtual time, for faults that end."""
    share: float = 0.0
    """Fraction of the backend servers affected, with one at least.

    For SILENT it is the fraction of the pairs of entry instance and server.
    """
    factor: float = 1.0
    """Factor on the duration of requests, for SLOW and NOISY."""


@attrs.frozen
class Scenario:
    """Load and faults of one run."""

    name: str
    """Name in the table."""
    steps: tuple[Step, ...] = ()
    """Faults of the run."""
    load: float = 0.6
    """Offered load outside the peak, as a multiple of the servers' capacity."""
    peak: float | None = None
    """Offered load between 2 s and 3 s, or None for no peak."""
    duration_s: float = 6.0
    """Virtual seconds for which calls are sent."""


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
