"""Counts the crew records of a simulated day with restarts and failures.

A crew record in the log names the crew of a service, that is, the entry
instances that own the slots of its backend servers. The day has the number of
services and servers that the system is designed for.
"""

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
_SLOTS_PER_SERVER = 4
_RESTARTS_PER_DAY = 52
_FAILURES_PER_DAY = 2
_DAY_S = 86_400.0
_RESTART_DOWNTIME_S = 60.0
_FAILURE_DOWNTIME_S = 600.0
_CHECK_DELAYS_S = (0.0, 0.6, 4.0, 11.0, 125.0, 901.0)


class _Day:
    """Simulates the entry instances of one day, with their crew planners.

    For each service, the planners of the two instances that propose first run
    at each change and at some times after it. A proposal becomes the crew in
    force at once.
    """

    def __init__(self, instance_count: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._instances = [
            _build_instance(number) for number in range(instance_count)
        ]
        self._down: set[ids.InstanceId] = set()
        self._crews: dict[ids.ServiceName, crew.Crew] = {}
        self._planners: dict[
            tuple[ids.ServiceName, ids.InstanceId], crew_planner.CrewPlanner
        ] = {}
        self._servers_by_service = collections.defaultdict(list)
        for number in range(_SERVERS):
            one = _build_server(number)
            self._servers_by_service[one.service].append(one)
        self.reason_counts: collections.Counter[str] = collections.Counter()
        self.planner_calls = 0
        self.cpu_s = 0.0

    def run(self) -> None:
        """Runs the day and counts the crew records by reason."""
        check_times_s: set[float] = set(_CHECK_DELAYS_S)
        changes: list[tuple[float, ids.InstanceId, bool]] = []
        for number in range(_RESTARTS_PER_DAY + _FAILURES_PER_DAY):
            at_s = self._rng.uniform(1000, _DAY_S)
            downtime_s = (
                _RESTART_DOWNTIME_S
                if number < _RESTARTS_PER_DAY
                else _FAILURE_DOWNTIME_S
            )
            name = self._rng.choice(self._instances).instance_id
            changes += [(at_s, name, True), (at_s + downtime_s, name, False)]
        for at_s, _, _ in changes:
            check_times_s.update(at_s + delay_s for delay_s in _CHECK_DELAYS_S)
        changes.sort()
        for now_s in sorted(check_times_s):
            while changes and changes[0][0] <= now_s:
                self._apply_change(*changes.pop(0)[1:])
            self._check_crews(now_s)

    def _apply_change(self, name: ids.InstanceId, is_down: bool) -> None:
        if is_down:
            self._down.add(name)
            return
        self._down.discard(name)
        self._instances = [
            attrs.evolve(one, incarnation=one.incarnation + 1)
            if one.instance_id == name
            else one
            for one in self._instances
        ]

    def _check_crews(self, now_s: float) -> None:
        live = tuple(
            one for one in self._instances if one.instance_id not in self._down
        )
        candidates = crew_planner.Candidates(live, len(self._instances))
        for service, servers in self._servers_by_service.items():
            need = crew_planner.CrewNeed(
                service, tuple(servers), self._crews.get(service)
            )
            for name in crew_planner.rank_proposers(service, live)[:2]:
                self._ask_planner(name, need, candidates, now_s)

    def _ask_planner(
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
        self.planner_calls += 1
        current = self._crews.get(need.service)
        number = -1 if current is None else current.number
        if proposal is None or proposal.based_on != number:
            return
        self.reason_counts[proposal.reason.value] += 1
        self._crews[need.service] = crew.Crew(
            need.service,
            ids.LogOffset(self.reason_counts.total()),
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
        _SLOTS_PER_SERVER,
        200,
    )


def main() -> None:
    """Prints the number of crew records of one day by reason."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=112)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    day = _Day(options.instances, options.seed)
    day.run()
    print(
        f"{options.instances} instances, {_SERVICES} services,"
        f" {_RESTARTS_PER_DAY} restarts and {_FAILURES_PER_DAY} failures:"
    )
    for reason, count in day.reason_counts.most_common():
        print(f"  {reason:<16} {count:>5} records")
    print(
        f"  in a day         {day.reason_counts.total() - _SERVICES:>5} records"
    )
    print(f"  {1e6 * day.cpu_s / day.planner_calls:.0f} us for each look, mean")


if __name__ == "__main__":
    main()
