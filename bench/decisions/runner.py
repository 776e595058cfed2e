"""Runs one scenario under one policy."""

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
POLICIES = (PRODUCT, *baselines.PICKERS)

_CREW_PER_DATA_CENTRE = 2
_PEAK_S = (2.0, 3.0)
_SETTLE_S = 0.5
_CRASH_PERIOD_S = 0.2
_IDLE_CONNECTIONS = 4
_FAR_SLOWER = 5.0

_Fake = fake_server.FakeServer
_Act = Callable[[_Fake, scenario.Step], None]


def _set_slowdown(fake: _Fake, step: scenario.Step) -> None:
    fake.slowdown = step.factor
    if step.factor >= _FAR_SLOWER:
        fake.slowed_s = step.at_s


def _set_failing(fake: _Fake, _: scenario.Step) -> None:
    fake.fails_fast = True


def _set_reports(reports: fake_server.Reports) -> _Act:
    def act(fake: _Fake, _: scenario.Step) -> None:
        fake.reports = reports

    return act


def _heal_all(fakes: list[_Fake]) -> None:
    for fake in fakes:
        fake.slowdown = 1.0
        fake.slowed_s = math.inf
        fake.fails_fast = False
        fake.reports = fake_server.Reports.HONEST


_ACTS: dict[scenario.Fault, _Act] = {
    scenario.Fault.SLOW: _set_slowdown,
    scenario.Fault.NOISY: _set_slowdown,
    scenario.Fault.FAIL_FAST: _set_failing,
    scenario.Fault.REPORT_IDLE: _set_reports(fake_server.Reports.IDLE),
    scenario.Fault.REPORT_FROZEN: _set_reports(fake_server.Reports.FROZEN),
    scenario.Fault.REPORT_BUSY: _set_reports(fake_server.Reports.BUSY),
    scenario.Fault.RESTART: lambda fake, _: fake.restart(),
    scenario.Fault.CRASH: lambda fake, _: fake.crash(),
}


class Run:
    """One scenario under one policy at one size."""

    def __init__(
        self,
        row: scenario.Scenario,
        dimension: size.Size,
        policy: str,
        seed: int = 1,
    ) -> None:
        self._row = row
        self._size = dimension
        self._world = world.World(dimension, seed)
        self._add_entries(policy)

    def run(self) -> measures.Measures:
        """Runs it and returns the figures."""
        self._arrive()
        for step in self._row.steps:
            self._world.time.after(
                step.at_s, lambda step=step: self._begin(step)
            )
        self._world.time.run(self._row.duration_s + _SETTLE_S)
        return self._world.close(self._row.duration_s)

    def _add_entries(self, policy: str) -> None:
        centres = self._size.data_centres
        if policy == PRODUCT:
            count = _CREW_PER_DATA_CENTRE * len(centres)
            record = member_slots.make_record(
                self._size,
                [fake.listed for fake in self._world.servers.values()],
                count,
            )
            make = product.make_product(record)
            self._world.preferred = member_slots.preferred(record)
        else:
            count = self._size.entries
            make = self._baseline_maker(policy)
        peers = tuple(range(count))
        for index in range(count):
            centre = centres[index % len(centres)]
            self._world.add_entry(centre, peers, make)

    def _baseline_maker(
        self, policy: str
    ) -> Callable[[balancer.Setting], balancer.Balancer]:
        return lambda setting: baselines.Baseline(setting, policy)

    def _rate_per_s(self) -> float:
        now_s = self._world.time.now_s
        load = self._row.load
        in_peak = _PEAK_S[0] <= now_s < _PEAK_S[1]
        if in_peak and self._row.peak is not None:
            load = self._row.peak
        bears = self._size.servers * self._size.slots / self._size.service_s
        return load * bears

    def _arrive(self) -> None:
        if self._world.time.now_s >= self._row.duration_s:
            return
        if self._world.time.now_s > 0.0:
            self._world.call()
        gap_s = self._world.callers_rng.expovariate(self._rate_per_s())
        self._world.time.after(gap_s, self._arrive)

    def _begin(self, step: scenario.Step) -> None:
        names = self._pick(step)
        if step.fault is scenario.Fault.OUT:
            self._take_out(step)
        elif step.fault is scenario.Fault.CRASH_REQUEST:
            self._crash_request(step)
        elif step.fault is scenario.Fault.SILENT:
            self._silence(step)
        elif step.fault is scenario.Fault.ENTRY_LOST:
            self._world.lose_entry(self._busiest_entry())
        elif step.fault is scenario.Fault.LEAVE:
            self._world.list_leaving(names)
        else:
            self._act(step, names)

    def _busiest_entry(self) -> int:
        return min(self._world.preferred, default=0)

    def _pick(self, step: scenario.Step) -> list[str]:
        names = sorted(self._world.servers)
        count = max(1, round(step.share * len(names)))
        stride = len(names) // count
        return names[::stride][:count]

    def _act(self, step: scenario.Step, names: list[str]) -> None:
        fakes = [self._world.servers[name] for name in names]
        for fake in fakes:
            _ACTS[step.fault](fake, step)
        self._world.time.after(
            step.until_s - step.at_s, lambda: _heal_all(fakes)
        )

    def _take_out(self, step: scenario.Step) -> None:
        centre = self._size.data_centres[0]
        self._world.set_out(centre, out=True)
        self._world.time.after(
            step.until_s - step.at_s,
            lambda: self._world.set_out(centre, out=False),
        )

    def _crash_request(self, step: scenario.Step) -> None:
        if self._world.time.now_s >= step.until_s:
            return
        self._world.call(crashes=True)
        self._world.time.after(
            _CRASH_PERIOD_S, lambda: self._crash_request(step)
        )

    def _silence(self, step: scenario.Step) -> None:
        pairs = [
            (entry, name)
            for entry in range(len(self._world.entries))
            for name in sorted(self._world.servers)
        ]
        count = round(step.share * len(pairs))
        chosen = self._world.rng.sample(pairs, count)
        for pair in chosen:
            self._world.silent[pair] = _IDLE_CONNECTIONS
