"""Replays the worst load on virtual time against what the slots could serve.

For seconds, callers ask for half as much again as the servers can run, at
several instances that don't talk to each other. Refused callers come back once.
"""

import asyncio
import random

import attrs
import pytest

from magnoliacrank.entry import backend_table
from magnoliacrank.entry import placement_request
from magnoliacrank.entry import placer
from magnoliacrank.model import backend_entry
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import token_bucket
from magnoliacrank.standins import virtual_time

SLOTS = 6
WORK_S = 0.22
OBJECTIVE_S = 0.6
TIMEOUT_S = 1.5
OVERLOAD_S = 6.0
INSTANCES = 6
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


@attrs.define
class Outcome:
    """How the callers of one replay fared."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


class Replay:
    """Callers, instances and servers on one virtual clock."""

    def __init__(self, servers, seed):
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random(seed)
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
        self.outcome = Outcome()

    async def play(self, rate_per_s):
        end_s = self._clock() + OVERLOAD_S
        calls = []
        while self._clock() < end_s:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            calls.append(asyncio.ensure_future(self._call()))
        await asyncio.gather(*calls)
        return self.outcome

    async def _call(self):
        asked_s = self._clock()
        retry_after_s = await self._attempt(asked_s)
        if retry_after_s is not None:
            left_s = asked_s + TIMEOUT_S - self._clock()
            await asyncio.sleep(min(retry_after_s, left_s / 3))
            retry_after_s = await self._attempt(asked_s)
        if retry_after_s is not None:
            self.outcome.refused += 1
        elif self._clock() <= asked_s + OBJECTIVE_S:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1

    async def _attempt(self, asked_s):
        """Returns the Retry-After time, or None after an answer."""
        now_s = self._clock()
        chosen = self._rng.choice(self._placers)
        work_s = WORK_S * self._rng.uniform(0.7, 1.3)
        objective_s = asked_s + OBJECTIVE_S
        found = await chosen.place(
            placement_request.PlacementRequest(
                service="svc",
                customer="",
                priority=0,
                asked_s=asked_s,
                wait_deadline_s=max(objective_s - 1.2 * WORK_S, now_s + 0.06),
                may_wait=True,
                transfer_bytes=1500,
                excluded=frozenset(),
                wants_new_version=False,
                work_s=WORK_S,
                objective_s=objective_s,
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


@pytest.mark.parametrize("seed", range(4))
def test_slots_serve_requests_that_can_be_in_time(seed):
    servers = 4
    capacity_per_s = servers * SLOTS / WORK_S

    async def play():
        return await Replay(servers, seed).play(1.5 * capacity_per_s)

    outcome = virtual_time.run(play())
    ceiling = capacity_per_s * (OVERLOAD_S + OBJECTIVE_S - WORK_S)
    assert outcome.in_time >= MIN_SHARE * ceiling, outcome
