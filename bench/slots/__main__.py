"""Prints how long requests wait for a slot under each sharing scheme.

Run it with `python -m bench.slots`. Virtual time and a fixed seed make the
output of all runs the same.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from bench.slots import scheme

if TYPE_CHECKING:
    from collections.abc import Callable

_SEED = 11
_RUN_S = 8.0
_SERVICE_S = 0.02
_BUSY_MEMBER_PERIOD_S = 1.0


class _Clock:
    """Simulated clock and network, with a count of the messages sent."""

    def __init__(self, one_way_s: float) -> None:
        self._one_way_s = one_way_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self.message_count = 0

    @property
    def now_s(self) -> float:
        """Virtual time in seconds since the start of the run."""
        return self._now_s

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        entry = (self._now_s + delay_s, next(self._order), run)
        heapq.heappush(self._events, entry)

    def send_message(self, run: Callable[[], None]) -> None:
        """Counts a message; calls back after the one-way network delay."""
        self.message_count += 1
        self.after(self._one_way_s, run)

    def run(self, until_s: float) -> None:
        """Runs all callbacks that are due up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, run = heapq.heappop(self._events)
            run()


@attrs.frozen
class _Load:
    """Offered load and its distribution over the crew members.

    The busiest member changes periodically.
    """

    name: str
    """Name in the table."""

    use: float
    """Fraction of all slots that is in use on average."""

    share: float
    """Fraction of the load that the busiest member receives."""


_LOADS = (
    _Load("even, 60%", 0.6, 1 / 6),
    _Load("even, 90%", 0.9, 1 / 6),
    _Load("half on one, 60%", 0.6, 0.5),
    _Load("nearly all on one, 60%", 0.6, 0.9),
)
_LAYOUTS = (
    ("Cirelis route", scheme.SlotLayout(6, 20, 4, 0.0015)),
    ("Cirelis refill", scheme.SlotLayout(6, 6, 4, 0.0015)),
    ("Sela Justa booking", scheme.SlotLayout(6, 30, 2, 0.0005)),
)
_SCHEMES = (
    ("not shared", scheme.NotShared),
    ("steward", scheme.Steward),
    ("owned and lent", scheme.OwnedAndLent),
)


def _run(
    layout: scheme.SlotLayout,
    load: _Load,
    make: Callable[[scheme.SlotLayout, scheme.Network], scheme.Scheme],
) -> str:
    """Returns wait times in ms and messages per request as cells of a row."""
    clock = _Clock(layout.one_way_s)
    sharing = make(layout, clock)
    rng = random.Random(_SEED)
    waits_s: list[float] = []
    waiting: dict[int, float] = {}
    offered = 0
    rate_per_s = load.use * layout.servers * layout.slots / _SERVICE_S

    def arrive() -> None:
        nonlocal offered
        offered += 1
        clock.after(rng.expovariate(rate_per_s), arrive)
        busy = int(clock.now_s / _BUSY_MEMBER_PERIOD_S) % layout.members
        member = busy
        if rng.random() >= load.share:
            others = [n for n in range(layout.members) if n != busy]
            member = rng.choice(others)
        number = offered
        waiting[number] = clock.now_s
        service_s = rng.expovariate(1 / _SERVICE_S)

        def start(slot: object) -> None:
            waits_s.append(clock.now_s - waiting.pop(number))
            clock.after(service_s, lambda: sharing.release_slot(member, slot))

        sharing.request_slot(member, start)

    arrive()
    clock.run(_RUN_S)
    waits_s.extend(_RUN_S - arrived_s for arrived_s in waiting.values())
    waits_s.sort()
    p50, p99 = (waits_s[int(len(waits_s) * q)] * 1000 for q in (0.5, 0.99))
    return f"{p50:.1f} | {p99:.1f} | {clock.message_count / offered:.2f}"


def main() -> None:
    """Prints one row per layout of slots, load and sharing scheme."""
    print("| slots | load | sharing | p50 ms | p99 ms | messages each |")
    print("| --- | --- | --- | --- | --- | --- |")
    for title, layout in _LAYOUTS:
        for load in _LOADS:
            for name, make in _SCHEMES:
                figures = _run(layout, load, make)
                print(f"| {title} | {load.name} | {name} | {figures} |")


if __name__ == "__main__":
    main()
