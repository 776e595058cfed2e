"""Crew records in a day of restarts and failures at the design size."""

from __future__ import annotations

import argparse
import collections
import random
import time

import attrs

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import crew_planner

_DATA_CENTRES = 7
_SERVICES = 28
_SERVERS = 790
_SLOTS = 4
_RESTARTS = 52
_FAILURES = 2
_DAY_S = 86_400.0
_RESTART_S = 60.0
_FAILURE_S = 600.0
_LOOKS_S = (0.0, 0.6, 4.0, 11.0, 125.0, 901.0)


class _Day:
    """Instances that come and go, and the crews in force."""

    def __init__(self, instances: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._all = [_build_instance(number) for number in range(instances)]
        self._down: set[ids.InstanceId] = set()
        self._crews: dict[ids.ServiceName, crew.Crew] = {}
        self._planners: dict[
            tuple[ids.ServiceName, ids.InstanceId], crew_planner.CrewPlanner
        ] = {}
        self._servers = collections.defaultdict(list)
        for number in range(_SERVERS):
            one = _build_server(number)
            self._servers[one.service].append(one)
        self.records: collections.Counter[str] = collections.Counter()
        self.calls = 0
        self.cpu_s = 0.0

    def run(self) -> None:
        """Runs the day."""
        looks: set[float] = set(_LOOKS_S)
        changes: list[tuple[float, ids.InstanceId, bool]] = []
        for number in range(_RESTARTS + _FAILURES):
            at_s = self._rng.uniform(1000, _DAY_S)
            away_s = _RESTART_S if number < _RESTARTS else _FAILURE_S
            name = self._rng.choice(self._all).instance_id
            changes += [(at_s, name, True), (at_s + away_s, name, False)]
        for at_s, _, _ in changes:
            looks.update(at_s + look_s for look_s in _LOOKS_S)
        changes.sort()
        for now_s in sorted(looks):
            while changes and changes[0][0] <= now_s:
                self._change(*changes.pop(0)[1:])
            self._look(now_s)

    def _change(self, name: ids.InstanceId, is_down: bool) -> None:
        if is_down:
            self._down.add(name)
            return
        self._down.discard(name)
        self._all = [
            attrs.evolve(one, incarnation=one.incarnation + 1)
            if one.instance_id == name
            else one
            for one in self._all
        ]

    def _look(self, now_s: float) -> None:
        live = tuple(
            one for one in self._all if one.instance_id not in self._down
        )
        candidates = crew_planner.Candidates(live, len(self._all))
        for service, servers in self._servers.items():
            need = crew_planner.CrewNeed(
                service, tuple(servers), self._crews.get(service)
            )
            for name in crew_planner.rank_proposers(service, live)[:2]:
                self._ask(name, need, candidates, now_s)

    def _ask(
        self,
        name: ids.InstanceId,
        need: crew_planner.CrewNeed,
        candidates: crew_planner.Candidates,
        now_s: float,
    ) -> None:
        planner = self._planners.setdefault(
            (need.service, name), crew_planner.CrewPlanner(name)
        )
        began_s = time.process_time()
        proposal = planner.propose(need, candidates, now_s)
        self.cpu_s += time.process_time() - began_s
        self.calls += 1
        current = self._crews.get(need.service)
        number = -1 if current is None else current.number
        if proposal is None or proposal.based_on != number:
            return
        self.records[proposal.reason.value] += 1
        self._crews[need.service] = crew.Crew(
            need.service,
            ids.LogOffset(self.records.total()),
            proposal.members,
            proposal.shares,
        )


def _build_instance(number: int) -> instance.EntryInstance:
    return instance.EntryInstance(
        ids.InstanceId(f"entry-{number}"),
        ids.DataCentre(f"dc{number % _DATA_CENTRES}"),
        "192.0.2.1",
        8080,
        8081,
        ids.Incarnation(1),
    )


def _build_server(number: int) -> server.BackendServer:
    return server.BackendServer(
        ids.ServerId(f"server-{number}"),
        ids.ServiceName(f"service-{number % _SERVICES}"),
        ids.SoftwareVersion("1"),
        ids.DataCentre(f"dc{number // _SERVICES % _DATA_CENTRES}"),
        "192.0.2.2",
        8000,
        _SLOTS,
        200,
    )


def main() -> None:
    """Prints the records of one day by their reason."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=112)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    day = _Day(options.instances, options.seed)
    day.run()
    print(
        f"{options.instances} instances, {_SERVICES} services,"
        f" {_RESTARTS} restarts and {_FAILURES} failures:"
    )
    for reason, count in day.records.most_common():
        print(f"  {reason:<16} {count:>5} records")
    print(f"  in a day         {day.records.total() - _SERVICES:>5} records")
    print(f"  {1e6 * day.cpu_s / day.calls:.0f} us for each look, mean")


if __name__ == "__main__":
    main()
