"""Runs one scenario under one load balancing policy."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import TYPE_CHECKING

from bench.decisions import baselines
from bench.decisions import fake_server
from bench.decisions import member_slots
from bench.decisions import product
from bench.decisions import scenario
from bench.decisions import world

if TYPE_CHECKING:
    from bench.decisions import balancer
    from bench.decisions import measures
    from bench.decisions import size

PRODUCT = "magnoliacrank"
"""Name of the policy that uses the policy library of the product."""

POLICIES = (PRODUCT, *baselines.PICKERS)
"""Names of all policies."""

_CREW_PER_DATA_CENTRE = 2
_PEAK_S = (2.0, 3.0)
_DRAIN_S = 0.5
_CRASH_REQUEST_PERIOD_S = 0.2
_SILENT_CONNECTIONS = 4
_MIN_COUNTED_SLOWDOWN = 5.0

_Fake = fake_server.FakeServer
_FaultAction = Callable[[_Fake, scenario.Step], None]


def _set_slowdown(fake: _Fake, step: scenario.Step) -> None:
    fake.slowdown = step.factor
    if step.factor >= _MIN_COUNTED_SLOWDOWN:
        fake.slowed_since_s = step.at_s


def _set_failing(fake: _Fake, _: scenario.Step) -> None:
    fake.fails_fast = True


def _set_report_mode(report_mode: fake_server.ReportMode) -> _FaultAction:
    def act(fake: _Fake, _: scenario.Step) -> None:
        fake.report_mode = report_mode

    return act


def _end_faults(fakes: list[_Fake]) -> None:
    for fake in fakes:
        fake.slowdown = 1.0
        fake.slowed_since_s = math.inf
        fake.fails_fast = False
        fake.report_mode = fake_server.ReportMode.HONEST


_FAULT_ACTIONS: dict[scenario.Fault, _FaultAction] = {
    scenario.Fault.SLOW: _set_slowdown,
    scenario.Fault.NOISY: _set_slowdown,
    scenario.Fault.FAIL_FAST: _set_failing,
    scenario.Fault.REPORT_IDLE: _set_report_mode(fake_server.ReportMode.IDLE),
    scenario.Fault.REPORT_FROZEN: _set_report_mode(
        fake_server.ReportMode.FROZEN
    ),
    scenario.Fault.REPORT_BUSY: _set_report_mode(fake_server.ReportMode.BUSY),
    scenario.Fault.RESTART: lambda fake, _: fake.restart(),
    scenario.Fault.CRASH: lambda fake, _: fake.crash(),
}


class Run:
    """One scenario under one policy for a service of one size.

    The same arguments give the same figures.
    """

    def __init__(
        self,
        case: scenario.Scenario,
        service_size: size.Size,
        policy: str,
        seed: int = 1,
    ) -> None:
        self._scenario = case
        self._size = service_size
        self._world = world.World(service_size, seed)
        self._add_entries(policy)

    def run(self) -> measures.Measures:
        """Runs the scenario and returns its figures; call it once."""
        self._send_next_call()
        for step in self._scenario.steps:
            self._world.time.after(
                step.at_s, lambda step=step: self._start_step(step)
            )
        self._world.time.run(self._scenario.duration_s + _DRAIN_S)
        return self._world.collect_measures(self._scenario.duration_s)

    def _add_entries(self, policy: str) -> None:
        centres = self._size.data_centres
        if policy == PRODUCT:
            count = _CREW_PER_DATA_CENTRE * len(centres)
            record = member_slots.make_record(
                self._size,
                [fake.listed for fake in self._world.servers.values()],
                count,
            )
            make = product.product_factory(record)
            self._world.preferred_entries = member_slots.preferred_entries(
                record
            )
        else:
            count = self._size.entries
            make = self._baseline_factory(policy)
        peers = tuple(range(count))
        for index in range(count):
            centre = centres[index % len(centres)]
            self._world.add_entry(centre, peers, make)

    def _baseline_factory(
        self, policy: str
    ) -> Callable[[balancer.BalancerContext], balancer.Balancer]:
        return lambda context: baselines.Baseline(context, policy)

    def _rate_per_s(self) -> float:
        now_s = self._world.time.now_s
        load = self._scenario.load
        in_peak = _PEAK_S[0] <= now_s < _PEAK_S[1]
        if in_peak and self._scenario.peak is not None:
            load = self._scenario.peak
        capacity_per_s = (
            self._size.servers * self._size.slots / self._size.service_s
        )
        return load * capacity_per_s

    def _send_next_call(self) -> None:
        if self._world.time.now_s >= self._scenario.duration_s:
            return
        if self._world.time.now_s > 0.0:
            self._world.call()
        gap_s = self._world.callers_rng.expovariate(self._rate_per_s())
        self._world.time.after(gap_s, self._send_next_call)

    def _start_step(self, step: scenario.Step) -> None:
        names = self._pick_servers(step)
        if step.fault is scenario.Fault.OUT:
            self._take_data_centre_out(step)
        elif step.fault is scenario.Fault.CRASH_REQUEST:
            self._send_crash_requests(step)
        elif step.fault is scenario.Fault.SILENT:
            self._silence_links(step)
        elif step.fault is scenario.Fault.ENTRY_LOST:
            self._world.lose_entry(self._pick_entry_to_lose())
        elif step.fault is scenario.Fault.LEAVE:
            self._world.list_leaving(names)
        else:
            self._apply_fault(step, names)

    def _pick_entry_to_lose(self) -> int:
        return min(self._world.preferred_entries, default=0)

    def _pick_servers(self, step: scenario.Step) -> list[str]:
        names = sorted(self._world.servers)
        count = max(1, round(step.share * len(names)))
        stride = len(names) // count
        return names[::stride][:count]

    def _apply_fault(self, step: scenario.Step, names: list[str]) -> None:
        fakes = [self._world.servers[name] for name in names]
        for fake in fakes:
            _FAULT_ACTIONS[step.fault](fake, step)
        self._world.time.after(
            step.until_s - step.at_s, lambda: _end_faults(fakes)
        )

    def _take_data_centre_out(self, step: scenario.Step) -> None:
        centre = self._size.data_centres[0]
        self._world.set_out(centre, out=True)
        self._world.time.after(
            step.until_s - step.at_s,
            lambda: self._world.set_out(centre, out=False),
        )

    def _send_crash_requests(self, step: scenario.Step) -> None:
        if self._world.time.now_s >= step.until_s:
            return
        self._world.call(crashes=True)
        self._world.time.after(
            _CRASH_REQUEST_PERIOD_S, lambda: self._send_crash_requests(step)
        )

    def _silence_links(self, step: scenario.Step) -> None:
        pairs = [
            (entry, name)
            for entry in range(len(self._world.entry_data_centres))
            for name in sorted(self._world.servers)
        ]
        count = round(step.share * len(pairs))
        chosen = self._world.rng.sample(pairs, count)
        for pair in chosen:
            self._world.silent_connections[pair] = _SILENT_CONNECTIONS
