"""Callers, entry instances, links and backend servers of one run."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from bench.decisions import balancer
from bench.decisions import clock
from bench.decisions import fake_server
from bench.decisions import measures
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import server

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from bench.decisions import size as size_module

DEADLINE_S = 0.4
_DEFERRABLE_DEADLINE_S = 3.0
_CONNECTIONS = 200
_CONFIRM_SHARE = 0.2
_UPLOAD_SHARE = 0.1
_OUT_BOUND_S = 3.0
_CONFIGURATION_S = (0.2, 1.0)
_LISTING_S = (0.5, 1.5)
_CALLER_MOVES_S = 2.0
_STALE_CALLERS = 0.1
_DETECTION_S = 1.5
_NOTICED_S = 0.05
_OBSERVED_S = 0.5

_IDEMPOTENT = request.RequestClass.IDEMPOTENT
_CONFIRM = request.RequestClass.AT_MOST_ONCE
_UPLOAD = request.RequestClass.DEFERRABLE


class World:
    """Carries messages with their delays and counts what happens."""

    def __init__(self, dimension: size_module.Size, seed: int) -> None:
        self.size = dimension
        self.time = clock.Clock()
        self.rng = random.Random(seed)
        self.callers_rng = random.Random(seed + 1)
        self.measures = measures.Measures()
        self.servers: dict[str, fake_server.FakeServer] = {}
        self.balancers: list[balancer.Balancer] = []
        self.entries: list[str] = []
        self.dead: set[int] = set()
        self._open: dict[balancer.Call, int] = {}
        self.preferred: frozenset[int] = frozenset()
        self.silent: dict[tuple[int, str], int] = {}
        self._number = 0
        self._out_s: dict[str, float] = {}
        self._leaving_s: dict[str, float] = {}
        self._ran: set[int] = set()
        self._add_servers()

    def _add_servers(self) -> None:
        centres = self.size.data_centres
        for index in range(self.size.servers):
            listed = server.BackendServer(
                server_id=ids.ServerId(f"s{index:02d}"),
                service=ids.ServiceName(self.size.name),
                version=ids.SoftwareVersion("1"),
                data_centre=ids.DataCentre(centres[index % len(centres)]),
                host="127.0.0.1",
                port=1,
                slots=self.size.slots,
                connections=_CONNECTIONS,
            )
            self.servers[listed.server_id] = fake_server.FakeServer(
                listed,
                self.size.service_s,
                self.time,
                random.Random(self.rng.random()),
            )

    def add_entry(
        self,
        data_centre: str,
        peers: tuple[int, ...],
        make: Callable[[balancer.Setting], balancer.Balancer],
    ) -> None:
        """Adds an entry instance."""
        self.entries.append(data_centre)
        setting = balancer.Setting(
            len(self.entries) - 1,
            data_centre,
            peers,
            self,
            self.time,
            random.Random(self.rng.random()),
            self.size,
        )
        made = make(setting)
        made.set_servers([s.listed for s in self.servers.values()])
        self.balancers.append(made)

    def link_s(self, one: str, other: str) -> float:
        """Returns the one-way time between two data centres."""
        return self.size.within_s if one == other else self.size.between_s

    def set_out(self, data_centre: str, *, out: bool) -> None:
        """Takes a data centre out or in; entries learn of it later."""
        if out:
            self._out_s[data_centre] = self.time.now_s
        else:
            self._out_s.pop(data_centre, None)
        now_out = frozenset(self._out_s)
        for one in self.balancers:
            self.time.after(
                self.rng.uniform(*_CONFIGURATION_S),
                lambda one=one: one.set_data_centres_out(now_out),
            )

    def list_leaving(self, names: list[str]) -> None:
        """Lists servers as leaving; entries learn of it later."""
        for name in names:
            self._leaving_s[name] = self.time.now_s
            fake = self.servers[name]
            fake.listed = attrs.evolve(
                fake.listed, state=server.ListedState.LEAVING
            )
        listing = [fake.listed for fake in self.servers.values()]
        for one in self.balancers:
            self.time.after(
                self.rng.uniform(*_LISTING_S),
                lambda one=one: one.set_servers(listing),
            )

    def call(self, *, crashes: bool = False) -> None:
        """Lets a caller send a request."""
        self._number += 1
        request_class = _IDEMPOTENT if crashes else self._draw_class()
        now_s = self.time.now_s
        budget_s = DEADLINE_S
        if request_class is _UPLOAD:
            budget_s = _DEFERRABLE_DEADLINE_S
        centre = self.callers_rng.choice(self.size.data_centres)
        call = balancer.Call(
            self._number,
            "customer",
            request_class,
            centre,
            now_s,
            now_s + budget_s,
            crashes,
            b"crash" if crashes else b"%d" % self._number,
        )
        if not crashes:
            self.measures.calls += 1
        entry = self._entry_for(centre)
        delay_s = self.size.client_s + self._detour_s(centre, entry)
        self.time.after(delay_s, lambda: self._arrive(call, entry))

    def lose_entry(self, entry: int) -> None:
        """Stops an entry instance at once; the others learn of it later."""
        self.dead.add(entry)
        for call in [c for c, at in self._open.items() if at == entry]:
            self.finish(call, balancer.Result.FAILED)
        self.time.after(_DETECTION_S, lambda: self._tell_lost(entry))

    def _tell_lost(self, entry: int) -> None:
        for index, one in enumerate(self.balancers):
            if index not in self.dead:
                one.on_entry_lost(entry)

    def _arrive(self, call: balancer.Call, entry: int) -> None:
        """Hands a call to an entry; the caller tries another when refused."""
        if entry not in self.dead:
            self._open[call] = entry
            self.balancers[entry].on_call(call)
            return
        other = self._entry_for(call.data_centre, avoid=self.dead)
        delay_s = 2.0 * self.size.client_s
        delay_s += self._detour_s(call.data_centre, other)
        self.time.after(delay_s, lambda: self._arrive(call, other))

    def dispatch(
        self,
        entry: int,
        server_name: str,
        call: balancer.Call,
        done: Callable[[balancer.Attempt], None],
    ) -> None:
        """Sends a call to a backend server; `done` is called once."""
        if entry in self.dead:
            return
        fake = self.servers[server_name]
        self._count_dispatch(fake)
        sent_s = self.time.now_s
        delay_s = self.link_s(self.entries[entry], fake.listed.data_centre)
        pending = [done]

        def end(attempt: balancer.Attempt) -> None:
            if pending and entry not in self.dead:
                pending.pop()(attempt)

        def reply(
            status: fake_server.Status, report: server.LoadReport | None
        ) -> None:
            if status is fake_server.Status.OK:
                self._count_run(call)
            arrive_s = self.time.now_s + delay_s
            attempt = balancer.Attempt(status, arrive_s - sent_s, report)
            self.time.after(delay_s, lambda: end(attempt))

        work = fake_server.Work(call.deadline_s, call.crashes, reply)
        self.time.after(
            max(0.0, call.deadline_s - sent_s),
            lambda: end(balancer.Attempt(None, call.deadline_s - sent_s, None)),
        )
        if not self._meets_silence(entry, server_name):
            self.time.after(delay_s, lambda: fake.receive(work))

    def _meets_silence(self, entry: int, server_name: str) -> bool:
        """Uses up one silent connection, if there is one.

        It is busy until the request times out and is closed then.
        """
        left = self.silent.get((entry, server_name), 0)
        if left:
            self.silent[entry, server_name] = left - 1
        return left > 0

    def prefer(self, entries: frozenset[int]) -> None:
        """Tells callers which entry instances to use."""
        self.preferred = entries

    def renew(self, entry: int, server_name: str) -> None:
        """Replaces the idle connections to a server by fresh ones."""
        self.silent.pop((entry, server_name), None)

    def probe(
        self,
        entry: int,
        server_name: str,
        done: Callable[[server.LoadReport | None], None],
    ) -> None:
        """Asks a backend server for its load report."""
        if entry in self.dead:
            return
        self.measures.probes += 1
        fake = self.servers[server_name]
        delay_s = self.link_s(self.entries[entry], fake.listed.data_centre)

        def answer() -> None:
            report = fake.probe()
            self.time.after(delay_s, lambda: done(report))

        self.time.after(delay_s, answer)

    def tell(
        self,
        entry: int,
        to: int,
        deliver: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message to another entry instance."""
        if entry in self.dead:
            return
        delay_s = self.link_s(self.entries[entry], self.entries[to])

        def arrive() -> None:
            if to not in self.dead:
                deliver()
            elif refused is not None:
                self.time.after(delay_s, refused)

        self.time.after(delay_s, arrive)

    def finish(self, call: balancer.Call, result: balancer.Result) -> None:
        """Answers the caller; only the first time counts."""
        if call.result is not None:
            return
        self._open.pop(call, None)
        call.result = result
        if call.crashes:
            return
        done_s = self.time.now_s + self.size.client_s
        if result is balancer.Result.OK:
            self.measures.ok += 1
            self.measures.in_time += done_s <= call.deadline_s
            if call.request_class is not _UPLOAD:
                latency_us = int((done_s - call.created_s) * 1e6)
                self.measures.latency.record_value(latency_us)
        elif result is balancer.Result.REFUSED:
            self.measures.refused += 1
        else:
            self.measures.failed += 1

    def close(self, duration_s: float) -> measures.Measures:
        """Returns the figures of the run."""
        result = self.measures
        result.duration_s = duration_s
        answered = result.ok + result.refused + result.failed
        result.unfinished = result.calls - answered
        fakes = self.servers.values()
        result.crashes = sum(fake.crashes for fake in fakes)
        result.peak_cold = max(fake.peak_cold for fake in fakes)
        return result

    def _draw_class(self) -> request.RequestClass:
        draw = self.callers_rng.random()
        if draw < _CONFIRM_SHARE:
            return _CONFIRM
        if draw < _CONFIRM_SHARE + _UPLOAD_SHARE:
            return _UPLOAD
        return _IDEMPOTENT

    def _entry_for(self, centre: str, avoid: Collection[int] = ()) -> int:
        """Returns the entry that a caller uses; it moves when one is out."""
        out_s = self._out_s.get(centre)
        if out_s is not None:
            moved = (self.time.now_s - out_s) / _CALLER_MOVES_S
            if self.rng.random() < moved:
                rest = [c for c in self.size.data_centres if c != centre]
                centre = self.rng.choice(rest)
        own = [
            index
            for index, one in enumerate(self.entries)
            if one == centre and index not in avoid
        ]
        preferred = [i for i in own if i in self.preferred]
        is_stale = self.rng.random() < _STALE_CALLERS
        return self.rng.choice(own if is_stale else preferred or own)

    def _detour_s(self, centre: str, entry: int) -> float:
        if self.entries[entry] == centre:
            return 0.0
        return self.size.between_s

    def _count_dispatch(self, fake: fake_server.FakeServer) -> None:
        self.measures.dispatches += 1
        now_s = self.time.now_s
        out_s = self._out_s.get(fake.listed.data_centre, now_s)
        leaving_s = self._leaving_s.get(fake.listed.server_id, now_s)
        slow_s = now_s - fake.slowed_s
        self.measures.to_slow += _NOTICED_S < slow_s < _OBSERVED_S
        self.measures.late_out += now_s - out_s > _OUT_BOUND_S
        self.measures.late_leaving += now_s - leaving_s > _OUT_BOUND_S

    def _count_run(self, call: balancer.Call) -> None:
        if call.request_class is not _CONFIRM:
            return
        self.measures.doubles += call.number in self._ran
        self._ran.add(call.number)
