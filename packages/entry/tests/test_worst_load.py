"""Replays the worst load on virtual time against what the slots could serve.

For seconds, callers ask for more than the servers can run, at several
instances that share the servers. Refused callers come back once.
"""

import asyncio
import collections
import random

import attrs
import pytest

from magnoliacrank.entry import backend_table
from magnoliacrank.entry import placement_request
from magnoliacrank.entry import placer
from magnoliacrank.model import backend_entry
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import service_load
from magnoliacrank.policy import token_bucket
from magnoliacrank.standins import virtual_time

SLOTS = 6
WORK_S = 0.22
INSTANCES = 6
HEARTBEAT_S = 0.2
PROBES_PER_S = 8.0
"""Health requests to one server that each instance may send."""

NETWORK_S = 0.001

MIN_SHARE = 0.9
"""Share of the requests that a scheduler which knows every slot and arrival
could answer in time; six instances that don't talk may lose a tenth."""


class Server:
    """Backend server that runs at most `SLOTS` requests at once."""

    def __init__(self, number):
        self.running = 0
        self.entry = backend_entry.BackendEntry(
            server_id=f"s{number}",
            service="svc",
            host="127.0.0.1",
            port=1,
            data_centre="a",
            version="v1",
            slots=SLOTS,
            is_draining=False,
            warmup_left_s=0.0,
            born_ms=0,
        )

    def load(self):
        return f"{self.running},0,{SLOTS},100"


class Table:
    """Backend table whose probes read the servers directly."""

    def __init__(self, servers, clock):
        self._clock = clock
        self._servers = {item.entry.server_id: item for item in servers}
        self._backends = {
            server_id: backend_table.Backend(
                entry=item.entry,
                link=None,
                health=backend_health.BackendHealth(),
                probe_bucket=token_bucket.TokenBucket(
                    PROBES_PER_S, 2 * PROBES_PER_S
                ),
            )
            for server_id, item in self._servers.items()
        }

    def find(self, entry):
        return self._backends[entry.server_id]

    async def probe(self, backend, health_path, *, may_queue=False):
        del health_path, may_queue
        requested_s = self._clock()
        await asyncio.sleep(NETWORK_S)
        report = backend_entry.HealthReport(
            server_id=backend.entry.server_id,
            is_healthy=True,
            running=self._servers[backend.entry.server_id].running,
            waiting=0,
            slots=SLOTS,
            slowdown=1.0,
            cold_s=0.0,
        )
        await asyncio.sleep(NETWORK_S)
        backend.on_health_report(report, requested_s, self._clock())
        return report


class View:
    """Site view with one service and no configuration."""

    plan = None

    def __init__(self, servers):
        self._entries = [item.entry for item in servers]

    def backends(self, service):
        del service
        return self._entries

    def target_version(self, service):
        del service

    def is_usable(self, entry):
        return entry in self._entries


@attrs.frozen
class Kind:
    """Callers of one kind."""

    rate: float
    """Requests, as a share of those that the servers can run."""

    priority: int = 0
    customer: str = ""
    objective_s: float = 0.6
    timeout_s: float = 1.5
    instances: range = range(INSTANCES)
    """Numbers of the instances that they ask."""


@attrs.define
class Outcome:
    """How the callers of one kind fared."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def served(self):
        return self.in_time + self.late

    @property
    def asked(self):
        return self.served + self.refused

    @property
    def served_share(self):
        return self.served / self.asked

    @property
    def in_time_share(self):
        return self.in_time / self.asked


class Replay:
    """Callers, instances and servers on one virtual clock."""

    def __init__(self, servers, seed, kinds, *, heartbeats=True):
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._heartbeats = heartbeats
        self._servers = {
            item.entry.server_id: item for item in map(Server, range(servers))
        }
        values = list(self._servers.values())
        self._placers = [
            placer.Placer(
                View(values),
                Table(values, self._clock),
                None,
                lambda _: True,
                "a",
                None,
                self._clock,
                random.Random(f"{seed}-{number}"),
            )
            for number in range(INSTANCES)
        ]
        self._demand = [collections.deque(maxlen=1000) for _ in self._placers]
        self.outcomes = {name: Outcome() for name in kinds}

    async def play(self, length_s):
        end_s = self._clock() + length_s
        calls = []
        capacity_per_s = len(self._servers) * SLOTS / WORK_S

        async def ask(name, kind):
            while True:
                rate_per_s = kind.rate * capacity_per_s
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                if self._clock() >= end_s:
                    return
                calls.append(asyncio.ensure_future(self._call(name, kind)))

        beats = asyncio.ensure_future(self._exchange_heartbeats())
        await asyncio.gather(*(ask(*item) for item in self._kinds.items()))
        await asyncio.gather(*calls)
        beats.cancel()
        return self.outcomes

    async def _exchange_heartbeats(self):
        while self._heartbeats:
            now_s = self._clock()
            loads = [
                service_load.ServiceLoad(
                    "svc",
                    sum(at_s > now_s - 1.0 for at_s in demand),
                    0.0,
                    0.0,
                    WORK_S,
                    instance.queue("svc").length,
                    instance.level("svc").own_level(now_s),
                )
                for instance, demand in zip(
                    self._placers, self._demand, strict=True
                )
            ]
            await asyncio.sleep(HEARTBEAT_S)
            for number, instance in enumerate(self._placers):
                others = loads[:number] + loads[number + 1 :]
                instance.agree(loads[number], others, self._clock())

    async def _call(self, name, kind):
        asked_s = self._clock()
        outcome = self.outcomes[name]
        retry_after_s = await self._attempt(kind, asked_s)
        if retry_after_s is not None:
            left_s = asked_s + kind.timeout_s - self._clock()
            await asyncio.sleep(min(retry_after_s, left_s / 3))
            retry_after_s = await self._attempt(kind, asked_s)
        if retry_after_s is not None:
            outcome.refused += 1
        elif self._clock() <= asked_s + kind.objective_s:
            outcome.in_time += 1
        else:
            outcome.late += 1

    async def _attempt(self, kind, asked_s):
        """Returns the Retry-After time, or None after an answer."""
        now_s = self._clock()
        number = self._rng.choice(kind.instances)
        chosen = self._placers[number]
        self._demand[number].append(now_s)
        work_s = WORK_S * self._rng.uniform(0.7, 1.3)
        objective_s = asked_s + kind.objective_s
        found = await chosen.place(
            placement_request.PlacementRequest(
                service="svc",
                customer=kind.customer,
                priority=kind.priority,
                asked_s=asked_s,
                wait_deadline_s=max(objective_s - 1.2 * WORK_S, now_s + 0.06),
                may_wait=True,
                transfer_bytes=1500,
                excluded=frozenset(),
                wants_new_version=False,
                work_s=WORK_S,
                objective_s=objective_s,
                deadline_s=asked_s + kind.timeout_s,
            )
        )
        if isinstance(found, placement_request.Rejection):
            return found.retry_after_s
        await asyncio.sleep(NETWORK_S)
        server = self._servers[found.entry.server_id]
        server.running += 1
        # A server that is over its slots serves all of them more slowly.
        await asyncio.sleep(work_s * max(server.running / SLOTS, 1.0))
        headers = {request_wire.SERVER_LOAD: server.load()}
        server.running -= 1
        await asyncio.sleep(NETWORK_S)
        found.on_answer(headers, was_run=True, now_s=self._clock())
        chosen.on_finished(found)
        return None


def _replay(kinds, seed, *, length_s=6.0, servers=12, heartbeats=True):
    async def play():
        replay = Replay(servers, seed, kinds, heartbeats=heartbeats)
        return await replay.play(length_s)

    return virtual_time.run(play())


def _in_time_share(outcomes, servers=12, length_s=6.0, objective_s=0.6):
    """Returns the requests in time as a share of what the slots can serve."""
    capacity = servers * SLOTS / WORK_S * (length_s + objective_s - WORK_S)
    return sum(item.in_time for item in outcomes.values()) / capacity


URGENT = Kind(0.4, objective_s=0.35, timeout_s=1.0)
OTHER = Kind(1.2, priority=2, objective_s=1.0, timeout_s=2.0)


@pytest.mark.parametrize("seed", range(4))
def test_slots_serve_requests_that_can_be_in_time(seed):
    outcomes = _replay({"all": Kind(1.5)}, seed, servers=4)
    assert _in_time_share(outcomes, servers=4) >= MIN_SHARE, outcomes


@pytest.mark.parametrize("seed", range(2))
def test_least_urgent_give_way(seed):
    """Less urgent requests with a long objective come three times as often.

    Their queue once turned the most urgent away, which have little time.
    """
    outcomes = _replay({"urgent": URGENT, "other": OTHER}, seed)
    assert outcomes["urgent"].in_time_share > 0.85, outcomes
    assert outcomes["other"].served_share < outcomes["urgent"].served_share
    assert _in_time_share(outcomes) >= MIN_SHARE, outcomes


@pytest.mark.parametrize("seed", range(2))
def test_agreed_level_helps_urgent_requests(seed):
    """Instances with fewer urgent requests leave free servers to the others."""
    kinds = {"urgent": URGENT, "other": OTHER}
    alone = _replay(kinds, seed, heartbeats=False)["urgent"]
    agreed = _replay(kinds, seed)["urgent"]
    assert agreed.in_time_share > alone.in_time_share + 0.05, alone


@pytest.mark.parametrize("seed", range(2))
def test_urgent_requests_go_before_others_at_other_instances(seed):
    outcomes = _replay(
        {
            "urgent": attrs.evolve(URGENT, instances=range(3)),
            "other": attrs.evolve(OTHER, instances=range(3, INSTANCES)),
        },
        seed,
    )
    assert outcomes["urgent"].in_time_share > 0.8, outcomes
    assert outcomes["other"].served_share < outcomes["urgent"].served_share
    assert _in_time_share(outcomes) >= MIN_SHARE, outcomes


def test_least_urgent_are_not_starved_by_a_long_shortage():
    outcomes = _replay(
        {
            "urgent": Kind(1.3, objective_s=0.5),
            "other": attrs.evolve(OTHER, rate=0.4),
        },
        0,
        length_s=30.0,
    )
    served = sum(item.served for item in outcomes.values())
    asked = sum(item.asked for item in outcomes.values())
    assert outcomes["other"].served_share > 0.3 * served / asked, outcomes
    assert outcomes["urgent"].served_share > outcomes["other"].served_share


@pytest.mark.parametrize("seed", range(2))
def test_flood_of_one_customer_does_not_starve_others(seed):
    outcomes = _replay(
        {
            "flood": Kind(1.6, customer="a"),
            "small": Kind(0.1, customer="b"),
        },
        seed,
    )
    assert outcomes["small"].in_time_share > 0.95, outcomes
    assert _in_time_share(outcomes) >= MIN_SHARE, outcomes
