"""Prints how long requests wait for a slot under each way of sharing.

Run it with `python -m bench.slots`. Virtual time and a fixed seed make two
runs print the same.
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
_TURN_S = 1.0


class _Clock:
    """Virtual time, with a count of the messages."""

    def __init__(self, one_way_s: float) -> None:
        self._one_way_s = one_way_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self.messages = 0

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._now_s

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Runs something later."""
        entry = (self._now_s + delay_s, next(self._order), run)
        heapq.heappush(self._events, entry)

    def message(self, run: Callable[[], None]) -> None:
        """Runs something at another member, one way later."""
        self.messages += 1
        self.after(self._one_way_s, run)

    def run(self, until_s: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, run = heapq.heappop(self._events)
            run()


@attrs.frozen
class _Load:
    """How the load falls on the members."""

    name: str
    """Name in the table."""

    use: float
    """Part of all slots that is in use on average."""

    share: float
    """Part of the load that falls on the member whose turn it is."""


_LOADS = (
    _Load("even, 60%", 0.6, 1 / 6),
    _Load("even, 90%", 0.9, 1 / 6),
    _Load("half on one, 60%", 0.6, 0.5),
    _Load("nearly all on one, 60%", 0.6, 0.9),
)
_SETTINGS = (
    ("Cirelis route", scheme.Setting(6, 20, 4, 0.0015)),
    ("Cirelis refill", scheme.Setting(6, 6, 4, 0.0015)),
    ("Sela Justa booking", scheme.Setting(6, 30, 2, 0.0005)),
)
_SCHEMES = (
    ("not shared", scheme.NotShared),
    ("steward", scheme.Steward),
    ("owned and lent", scheme.OwnedAndLent),
)


def _run(
    setting: scheme.Setting,
    load: _Load,
    make: Callable[[scheme.Setting, scheme.Network], scheme.Scheme],
) -> str:
    """Returns the figures of one run as a part of a row."""
    clock = _Clock(setting.one_way_s)
    sharing = make(setting, clock)
    rng = random.Random(_SEED)
    waits_s: list[float] = []
    waiting: dict[int, float] = {}
    offered = 0
    rate_per_s = load.use * setting.servers * setting.slots / _SERVICE_S

    def arrive() -> None:
        nonlocal offered
        offered += 1
        clock.after(rng.expovariate(rate_per_s), arrive)
        busy = int(clock.now_s / _TURN_S) % setting.members
        member = busy
        if rng.random() >= load.share:
            others = [n for n in range(setting.members) if n != busy]
            member = rng.choice(others)
        number = offered
        waiting[number] = clock.now_s
        service_s = rng.expovariate(1 / _SERVICE_S)

        def start(slot: object) -> None:
            waits_s.append(clock.now_s - waiting.pop(number))
            clock.after(service_s, lambda: sharing.done(member, slot))

        sharing.wait(member, start)

    arrive()
    clock.run(_RUN_S)
    waits_s.extend(_RUN_S - came_s for came_s in waiting.values())
    waits_s.sort()
    p50, p99 = (waits_s[int(len(waits_s) * q)] * 1000 for q in (0.5, 0.99))
    return f"{p50:.1f} | {p99:.1f} | {clock.messages / offered:.2f}"


def main() -> None:
    """Prints the table."""
    print("| slots | load | sharing | p50 ms | p99 ms | messages each |")
    print("| --- | --- | --- | --- | --- | --- |")
    for title, setting in _SETTINGS:
        for load in _LOADS:
            for name, make in _SCHEMES:
                figures = _run(setting, load, make)
                print(f"| {title} | {load.name} | {name} | {figures} |")


if __name__ == "__main__":
    main()
