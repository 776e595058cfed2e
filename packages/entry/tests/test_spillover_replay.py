"""Replays waves of demand in three data centres on virtual time.

The phase of the wave differs by data centre, and one has a larger part of the
requests than of the servers: its servers are full while others have room.
"""

import asyncio
import collections
import math
import random
import types

import pytest

from magnoliacrank.entry import backend_table
from magnoliacrank.entry import entry_metrics
from magnoliacrank.entry import placement_request
from magnoliacrank.entry import placer
from magnoliacrank.entry import spillover_control
from magnoliacrank.model import backend_entry
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import service_load
from magnoliacrank.policy import token_bucket
from magnoliacrank.standins import virtual_time

PLACES = ("a", "b", "c")
SERVERS = {"a": 11, "b": 10, "c": 11}
PARTS = {"a": 0.31, "b": 0.37, "c": 0.32}
PHASES = {"a": 0.1, "b": 0.35, "c": 0.6}
SLOTS = 2
WORK_S = 0.06
OBJECTIVE_S = 0.2
PERIOD_S = 5.0
SWING = 0.55
CREW = 2
"""Instances in each data centre."""

LOCAL_S = 0.0002
REMOTE_S = 0.0015
"""One way between an instance and a server, in seconds."""

NEIGHBOUR_S = 0.15
"""Interval at which the servers' slowdown by neighbours changes."""


class Server:
    """Backend server whose speed neighbours change."""

    def __init__(self, place, number, rng):
        self._rng = rng
        self.running = 0
        self.slowdown = 1.0
        self.entry = backend_entry.BackendEntry(
            server_id=f"{place}{number}",
            service="svc",
            host="127.0.0.1",
            port=1,
            data_centre=place,
            version="v1",
            slots=SLOTS,
            is_draining=False,
            warmup_left_s=0.0,
            born_ms=0,
        )

    async def disturb(self):
        while True:
            self.slowdown = 3.0 if self._rng.random() < 0.12 else 1.0
            await asyncio.sleep(NEIGHBOUR_S)


class Table:
    """Backend table of one instance; its probes read the servers."""

    def __init__(self, place, servers, clock):
        self._place = place
        self._servers = servers
        self._clock = clock
        self._backends = {
            name: backend_table.Backend(
                entry=item.entry,
                link=None,
                health=backend_health.BackendHealth(),
                probe_bucket=token_bucket.TokenBucket(12.0, 24.0),
            )
            for name, item in servers.items()
        }

    def find(self, entry):
        return self._backends[entry.server_id]

    def one_way_s(self, entry):
        return LOCAL_S if entry.data_centre == self._place else REMOTE_S

    async def probe(self, backend, health_path, *, may_queue=False):
        del health_path, may_queue
        requested_s = self._clock()
        await asyncio.sleep(self.one_way_s(backend.entry))
        server = self._servers[backend.entry.server_id]
        report = backend_entry.HealthReport(
            server_id=backend.entry.server_id,
            is_healthy=True,
            running=server.running,
            waiting=0,
            slots=SLOTS,
            slowdown=server.slowdown,
            cold_s=0.0,
        )
        await asyncio.sleep(self.one_way_s(backend.entry))
        backend.on_health_report(report, requested_s, self._clock())
        return report


def _view(servers):
    """Returns a site view with one service and no configuration."""
    entries = [item.entry for item in servers.values()]
    return types.SimpleNamespace(
        plan=None,
        backends=lambda _: entries,
        target_version=lambda _: None,
        is_usable=entries.__contains__,
    )


def _roster(place):
    """Returns a roster in which each data centre has a crew."""
    return types.SimpleNamespace(
        own=types.SimpleNamespace(data_centre=place),
        is_alone=lambda _: False,
        crew=lambda place, _: [place],
    )


class Instance:
    """Placer of one instance with its own figures and those of others."""

    highest_priority = 0

    def __init__(self, name, place, servers, clock, seed, *, has_spillover):
        self.name = name
        self.place = place
        self.meter = service_load.ServiceLoadMeter()
        self.peer_loads = service_load.ServiceLoadRegister()
        log = types.SimpleNamespace(event=lambda *_, **fields: None)
        self.table = Table(place, servers, clock)
        self.is_cut_off = False
        rng = random.Random(f"{seed}-{name}")
        view = _view(servers)
        roster = _roster(place)
        self.placer = placer.Placer(
            view,
            self.table,
            roster,
            lambda _: True,
            place,
            log,
            clock,
            rng,
        )
        self.control = spillover_control.SpilloverControl(
            view,
            self.table,
            roster,
            self,
            self.placer.crowding_of,
            log,
            entry_metrics.EntryMetrics(),
            clock,
            rng,
        )
        if has_spillover:
            self.placer.set_spillover(self.control)

    def own_load(self, service, now_s):
        return self.meter.load(
            service, self.placer.queue(service).length, now_s
        )


class Replay:
    """Callers, instances and servers on one virtual clock."""

    def __init__(self, seed, *, load, has_spillover):
        self._clock = asyncio.get_running_loop().time
        self._rngs = {
            place: random.Random(f"{seed}-{place}") for place in PLACES
        }
        self._load = load
        self._servers = {
            f"{place}{number}": Server(
                place, number, random.Random(f"{seed}-{place}{number}")
            )
            for place, count in SERVERS.items()
            for number in range(count)
        }
        self.instances = [
            Instance(
                f"{place}-{number}",
                place,
                self._servers,
                self._clock,
                seed,
                has_spillover=has_spillover,
            )
            for place in PLACES
            for number in range(CREW)
        ]
        self.counts = collections.Counter()

    async def play(self, seconds):
        end_s = self._clock() + seconds
        helpers = [
            asyncio.ensure_future(server.disturb())
            for server in self._servers.values()
        ]
        helpers += [
            asyncio.ensure_future(self._beat(instance))
            for instance in self.instances
        ]
        await asyncio.gather(*(self._ask(place, end_s) for place in PLACES))
        for task in helpers:
            task.cancel()

    def rate_per_s(self, place):
        mean = self._load * sum(SERVERS.values()) * SLOTS / WORK_S
        angle = 2 * math.pi * (self._clock() / PERIOD_S + PHASES[place])
        return mean * PARTS[place] * (1 + SWING * math.sin(angle))

    async def _ask(self, place, end_s):
        calls = []
        while self._clock() < end_s:
            rng = self._rngs[place]
            await asyncio.sleep(rng.expovariate(self.rate_per_s(place)))
            work_s = WORK_S * rng.uniform(0.7, 1.3)
            calls.append(asyncio.ensure_future(self._call(place, work_s)))
        await asyncio.gather(*calls)

    async def _beat(self, instance):
        """Sends loads five times a second, and once to other data centres."""
        number = 0
        while True:
            await asyncio.sleep(0.2)
            number += 1
            now_s = self._clock()
            loads = [instance.own_load("svc", now_s)]
            for other in self.instances:
                is_near = other.place == instance.place
                if other is instance or not (is_near or number % 5 == 0):
                    continue
                if not instance.is_cut_off and not other.is_cut_off:
                    other.peer_loads.on_report(
                        instance.name, instance.place, loads, now_s
                    )

    async def _call(self, place, work_s):
        instance = self._rngs[place].choice(
            [item for item in self.instances if item.place == place]
        )
        asked_s = self._clock()
        self.counts["asked"] += 1
        instance.meter.on_arrival("svc", WORK_S, asked_s)
        found = await instance.placer.place(
            placement_request.PlacementRequest(
                service="svc",
                customer="",
                priority=0,
                asked_s=asked_s,
                wait_deadline_s=asked_s + OBJECTIVE_S - 1.2 * WORK_S,
                may_wait=True,
                transfer_bytes=1500,
                excluded=frozenset(),
                wants_new_version=False,
                work_s=WORK_S,
                objective_s=asked_s + OBJECTIVE_S,
            )
        )
        if isinstance(found, placement_request.Rejection):
            instance.meter.on_rejected("svc", self._clock())
            self.counts["refused"] += 1
            return
        instance.meter.on_placed("svc", self._clock())
        self.counts["crossed"] += found.entry.data_centre != place
        one_way_s = instance.table.one_way_s(found.entry)
        await asyncio.sleep(one_way_s)
        server = self._servers[found.entry.server_id]
        server.running += 1
        work_s *= server.slowdown * max(server.running / SLOTS, 1.0)
        await asyncio.sleep(work_s)
        load = f"{server.running},0,{SLOTS},{round(100 * server.slowdown)}"
        server.running -= 1
        await asyncio.sleep(one_way_s)
        now_s = self._clock()
        found.on_answer(
            {request_wire.SERVER_LOAD: load}, was_run=True, now_s=now_s
        )
        instance.placer.on_finished(found)
        self.counts["in_time"] += now_s <= asked_s + OBJECTIVE_S


def _play(seed, load, *, has_spillover, cut_off=0):
    async def play():
        replay = Replay(seed, load=load, has_spillover=has_spillover)
        for instance in replay.instances[:cut_off]:
            instance.is_cut_off = True
        await replay.play(2 * PERIOD_S)
        return replay

    return virtual_time.run(play())


@pytest.mark.parametrize("seed", range(2))
def test_shortage_of_one_data_centre_is_met_by_others(seed):
    before = _play(seed, 0.7, has_spillover=False).counts
    after = _play(seed, 0.7, has_spillover=True).counts
    asked = before["asked"]
    assert after["refused"] < before["refused"] / 2
    assert after["in_time"] > before["in_time"] + 0.02 * asked
    assert after["crossed"] < 0.25 * asked


def test_without_a_shortage_requests_stay():
    counts = _play(0, 0.3, has_spillover=True).counts
    assert counts["crossed"] < 0.01 * counts["asked"]
    assert counts["in_time"] > 0.98 * counts["asked"]


def test_instance_without_reports_of_others_restricts_nothing():
    """It neither guesses their room nor refuses to use it."""
    replay = _play(0, 0.7, has_spillover=True, cut_off=1)
    lonely, *others = replay.instances
    now_s = 2 * PERIOD_S
    assert lonely.control.plan("svc", now_s) is None
    assert all(item.control.plan("svc", now_s) for item in others)
    assert replay.counts["in_time"] > 0.95 * replay.counts["asked"]
