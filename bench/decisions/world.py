"""Simulation of the callers, entry instances, network and backend servers."""

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
_AT_MOST_ONCE_SHARE = 0.2
_DEFERRABLE_SHARE = 0.1
_LATE_DISPATCH_S = 3.0
_CONFIGURATION_DELAY_S = (0.2, 1.0)
_LISTING_DELAY_S = (0.5, 1.5)
_CALLERS_MOVE_WITHIN_S = 2.0
_STALE_CALLER_SHARE = 0.1
_LOSS_DETECTION_S = 1.5
_SLOW_COUNTED_FROM_S = 0.05
_SLOW_COUNTED_UNTIL_S = 0.5

_IDEMPOTENT = request.RequestClass.IDEMPOTENT
_AT_MOST_ONCE = request.RequestClass.AT_MOST_ONCE
_DEFERRABLE = request.RequestClass.DEFERRABLE


class World:
    """Simulated system of one run: delivers messages and counts outcomes.

    Entry instances are numbered in the order in which they were added.
    """

    def __init__(self, service_size: size_module.Size, seed: int) -> None:
        self.size = service_size
        self.time = clock.Clock()
        self.rng = random.Random(seed)
        self.callers_rng = random.Random(seed + 1)
        self.measures = measures.Measures()
        self.servers: dict[str, fake_server.FakeServer] = {}
        self.balancers: list[balancer.Balancer] = []
        self.entry_data_centres: list[str] = []
        self.lost_entries: set[int] = set()
        self._entry_by_call: dict[balancer.Call, int] = {}
        self.preferred_entries: frozenset[int] = frozenset()
        self.silent_connections: dict[tuple[int, str], int] = {}
        self._last_call_number = 0
        self._out_since_s: dict[str, float] = {}
        self._leaving_since_s: dict[str, float] = {}
        self._at_most_once_run: set[int] = set()
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
        make: Callable[[balancer.BalancerContext], balancer.Balancer],
    ) -> None:
        """Adds an entry instance with its balancer.

        Args:
            data_centre: Data centre of the instance.
            peers: Numbers of all entry instances.
            make: Creates the balancer.
        """
        self.entry_data_centres.append(data_centre)
        context = balancer.BalancerContext(
            len(self.entry_data_centres) - 1,
            data_centre,
            peers,
            self,
            self.time,
            random.Random(self.rng.random()),
            self.size,
        )
        new_balancer = make(context)
        new_balancer.set_servers([s.listed for s in self.servers.values()])
        self.balancers.append(new_balancer)

    def one_way_s(self, one: str, other: str) -> float:
        """Returns the one-way delay between two data centres in seconds."""
        return self.size.within_s if one == other else self.size.between_s

    def set_out(self, data_centre: str, *, out: bool) -> None:
        """Takes a data centre out of service or back in.

        Each entry instance receives the change after a delay of its own.
        """
        if out:
            self._out_since_s[data_centre] = self.time.now_s
        else:
            self._out_since_s.pop(data_centre, None)
        now_out = frozenset(self._out_since_s)
        for one in self.balancers:
            self.time.after(
                self.rng.uniform(*_CONFIGURATION_DELAY_S),
                lambda one=one: one.set_data_centres_out(now_out),
            )

    def list_leaving(self, names: list[str]) -> None:
        """Lists backend servers as leaving.

        Each entry instance receives the new list after a delay of its own.
        """
        for name in names:
            self._leaving_since_s[name] = self.time.now_s
            fake = self.servers[name]
            fake.listed = attrs.evolve(
                fake.listed, state=server.ListedState.LEAVING
            )
        listing = [fake.listed for fake in self.servers.values()]
        for one in self.balancers:
            self.time.after(
                self.rng.uniform(*_LISTING_DELAY_S),
                lambda one=one: one.set_servers(listing),
            )

    def call(self, *, crashes: bool = False) -> None:
        """Sends a request from a caller in a random data centre.

        Args:
            crashes: Whether the request crashes each backend server that runs
                it.
        """
        self._last_call_number += 1
        request_class = _IDEMPOTENT if crashes else self._draw_class()
        now_s = self.time.now_s
        budget_s = DEADLINE_S
        if request_class is _DEFERRABLE:
            budget_s = _DEFERRABLE_DEADLINE_S
        centre = self.callers_rng.choice(self.size.data_centres)
        call = balancer.Call(
            self._last_call_number,
            "customer",
            request_class,
            centre,
            now_s,
            now_s + budget_s,
            crashes,
            b"crash" if crashes else b"%d" % self._last_call_number,
        )
        if not crashes:
            self.measures.calls += 1
        entry = self._choose_entry(centre)
        delay_s = self.size.client_s + self._detour_s(centre, entry)
        self.time.after(delay_s, lambda: self._deliver_call(call, entry))

    def lose_entry(self, entry: int) -> None:
        """Stops an entry instance at once; its open calls fail.

        The other instances are notified after a delay.
        """
        self.lost_entries.add(entry)
        for call in [c for c, at in self._entry_by_call.items() if at == entry]:
            self.finish(call, balancer.Result.FAILED)
        self.time.after(
            _LOSS_DETECTION_S, lambda: self._announce_lost_entry(entry)
        )

    def _announce_lost_entry(self, entry: int) -> None:
        for index, one in enumerate(self.balancers):
            if index not in self.lost_entries:
                one.on_entry_lost(entry)

    def _deliver_call(self, call: balancer.Call, entry: int) -> None:
        """Delivers a call; if the entry is lost, the caller tries another."""
        if entry not in self.lost_entries:
            self._entry_by_call[call] = entry
            self.balancers[entry].on_call(call)
            return
        other = self._choose_entry(call.data_centre, avoid=self.lost_entries)
        delay_s = 2.0 * self.size.client_s
        delay_s += self._detour_s(call.data_centre, other)
        self.time.after(delay_s, lambda: self._deliver_call(call, other))

    def dispatch(
        self,
        entry: int,
        server_name: str,
        call: balancer.Call,
        done: Callable[[balancer.Attempt], None],
    ) -> None:
        """Sends a call to a backend server.

        `done` is called once, unless the entry instance has been lost.
        """
        if entry in self.lost_entries:
            return
        fake = self.servers[server_name]
        self._count_dispatch(fake)
        sent_s = self.time.now_s
        delay_s = self.one_way_s(
            self.entry_data_centres[entry], fake.listed.data_centre
        )
        pending = [done]

        def end(attempt: balancer.Attempt) -> None:
            if pending and entry not in self.lost_entries:
                pending.pop()(attempt)

        def reply(
            status: fake_server.Status, report: server.LoadReport | None
        ) -> None:
            if status is fake_server.Status.OK:
                self._count_run(call)
            arrive_s = self.time.now_s + delay_s
            attempt = balancer.Attempt(status, arrive_s - sent_s, report)
            self.time.after(delay_s, lambda: end(attempt))

        server_request = fake_server.ServerRequest(
            call.deadline_s, call.crashes, reply
        )
        self.time.after(
            max(0.0, call.deadline_s - sent_s),
            lambda: end(balancer.Attempt(None, call.deadline_s - sent_s, None)),
        )
        if not self._use_silent_connection(entry, server_name):
            self.time.after(delay_s, lambda: fake.receive(server_request))

    def _use_silent_connection(self, entry: int, server_name: str) -> bool:
        """Uses up one silent connection; returns False if there is none.

        The request on it gets no answer until its deadline, after which the
        connection is closed.
        """
        left = self.silent_connections.get((entry, server_name), 0)
        if left:
            self.silent_connections[entry, server_name] = left - 1
        return left > 0

    def set_preferred_entries(self, entries: frozenset[int]) -> None:
        """Sets the entry instances that callers are directed to."""
        self.preferred_entries = entries

    def replace_idle_connections(self, entry: int, server_name: str) -> None:
        """Replaces the idle connections to a backend server by new ones."""
        self.silent_connections.pop((entry, server_name), None)

    def probe(
        self,
        entry: int,
        server_name: str,
        done: Callable[[server.LoadReport | None], None],
    ) -> None:
        """Asks a backend server for its load report; see `Network.probe`."""
        if entry in self.lost_entries:
            return
        self.measures.probes += 1
        fake = self.servers[server_name]
        delay_s = self.one_way_s(
            self.entry_data_centres[entry], fake.listed.data_centre
        )

        def answer() -> None:
            report = fake.probe()
            self.time.after(delay_s, lambda: done(report))

        self.time.after(delay_s, answer)

    def send_message(
        self,
        entry: int,
        to: int,
        deliver: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message to another entry instance."""
        if entry in self.lost_entries:
            return
        delay_s = self.one_way_s(
            self.entry_data_centres[entry], self.entry_data_centres[to]
        )

        def arrive() -> None:
            if to not in self.lost_entries:
                deliver()
            elif refused is not None:
                self.time.after(delay_s, refused)

        self.time.after(delay_s, arrive)

    def finish(self, call: balancer.Call, result: balancer.Result) -> None:
        """Answers the caller; a second answer to a call is ignored."""
        if call.result is not None:
            return
        self._entry_by_call.pop(call, None)
        call.result = result
        if call.crashes:
            return
        done_s = self.time.now_s + self.size.client_s
        if result is balancer.Result.OK:
            self.measures.ok += 1
            self.measures.in_time += done_s <= call.deadline_s
            if call.request_class is not _DEFERRABLE:
                latency_us = int((done_s - call.created_s) * 1e6)
                self.measures.latency.record_value(latency_us)
        elif result is balancer.Result.REFUSED:
            self.measures.refused += 1
        else:
            self.measures.failed += 1

    def collect_measures(self, duration_s: float) -> measures.Measures:
        """Completes and returns the figures of the run.

        Args:
            duration_s: Virtual seconds for which calls were sent.
        """
        result = self.measures
        result.duration_s = duration_s
        answered = result.ok + result.refused + result.failed
        result.unfinished = result.calls - answered
        fakes = self.servers.values()
        result.crashes = sum(fake.crashes for fake in fakes)
        result.peak_cold_load = max(fake.peak_cold_load for fake in fakes)
        return result

    def _draw_class(self) -> request.RequestClass:
        draw = self.callers_rng.random()
        if draw < _AT_MOST_ONCE_SHARE:
            return _AT_MOST_ONCE
        if draw < _AT_MOST_ONCE_SHARE + _DEFERRABLE_SHARE:
            return _DEFERRABLE
        return _IDEMPOTENT

    def _choose_entry(self, centre: str, avoid: Collection[int] = ()) -> int:
        """Returns the entry instance that a caller sends a call to.

        While the caller's data centre is out, an increasing share of the
        calls goes to other data centres. Callers with a stale answer use any
        entry instance of the data centre instead of the preferred ones.

        Args:
            centre: Data centre of the caller.
            avoid: Entry instances that are known to be lost.
        """
        out_s = self._out_since_s.get(centre)
        if out_s is not None:
            moved = (self.time.now_s - out_s) / _CALLERS_MOVE_WITHIN_S
            if self.rng.random() < moved:
                rest = [c for c in self.size.data_centres if c != centre]
                centre = self.rng.choice(rest)
        own = [
            index
            for index, one in enumerate(self.entry_data_centres)
            if one == centre and index not in avoid
        ]
        preferred_entries = [i for i in own if i in self.preferred_entries]
        is_stale = self.rng.random() < _STALE_CALLER_SHARE
        return self.rng.choice(own if is_stale else preferred_entries or own)

    def _detour_s(self, centre: str, entry: int) -> float:
        if self.entry_data_centres[entry] == centre:
            return 0.0
        return self.size.between_s

    def _count_dispatch(self, fake: fake_server.FakeServer) -> None:
        self.measures.dispatches += 1
        now_s = self.time.now_s
        out_s = self._out_since_s.get(fake.listed.data_centre, now_s)
        leaving_s = self._leaving_since_s.get(fake.listed.server_id, now_s)
        slow_s = now_s - fake.slowed_since_s
        self.measures.dispatches_to_slowed += (
            _SLOW_COUNTED_FROM_S < slow_s < _SLOW_COUNTED_UNTIL_S
        )
        self.measures.dispatches_to_out += now_s - out_s > _LATE_DISPATCH_S
        self.measures.dispatches_to_leaving += (
            now_s - leaving_s > _LATE_DISPATCH_S
        )

    def _count_run(self, call: balancer.Call) -> None:
        if call.request_class is not _AT_MOST_ONCE:
            return
        self.measures.duplicate_runs += call.number in self._at_most_once_run
        self._at_most_once_run.add(call.number)
