"""Baselines: plain ways to balance, without slots or admission."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from bench.decisions import balancer
from bench.decisions import fake_server
from magnoliacrank.model import request

if TYPE_CHECKING:
    import random

    from magnoliacrank.model import server

_MAX_ATTEMPTS = 3
_POLL_S = 0.1
_NOT_RUN = (fake_server.Status.SHED, fake_server.Status.REFUSED)


class Picker(Protocol):
    """Picks a server among names; told of what is sent and what ends."""

    def pick(self, names: list[str]) -> str:
        """Returns one of the names."""
        ...

    def on_sent(self, name: str) -> None:
        """Counts a dispatch."""
        ...

    def on_ended(self, name: str) -> None:
        """Counts the end of a dispatch."""
        ...

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Takes in a polled report."""
        ...


class Random:
    """Picks at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, names: list[str]) -> str:
        """Returns any name."""
        return self._rng.choice(names)

    def on_sent(self, name: str) -> None:
        """Ignored."""

    def on_ended(self, name: str) -> None:
        """Ignored."""

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Ignored."""


class RoundRobin(Random):
    """Picks one after the other."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1000)

    def pick(self, names: list[str]) -> str:
        """Returns the next name."""
        self._next += 1
        return names[self._next % len(names)]


class LeastInFlight(Random):
    """Picks the server with the fewest own requests in flight."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._in_flight: dict[str, int] = {}

    def pick(self, names: list[str]) -> str:
        """Returns the least used name, ties at random."""
        names = self._rng.sample(names, len(names))
        return min(names, key=lambda name: self._in_flight.get(name, 0))

    def on_sent(self, name: str) -> None:
        """Counts one more."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def on_ended(self, name: str) -> None:
        """Counts one less."""
        self._in_flight[name] -= 1


class PowerOfTwo(Random):
    """Picks the less loaded of two by their last polled reports."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._load: dict[str, int] = {}

    def pick(self, names: list[str]) -> str:
        """Returns the less loaded of two names."""
        two = self._rng.sample(names, min(2, len(names)))
        return min(two, key=lambda name: self._load.get(name, 0))

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Keeps the load."""
        if report is not None:
            self._load[name] = report.in_flight + report.queued


PICKERS = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "power-of-two": PowerOfTwo,
}


class Baseline:
    """Sends each call at once to the server that a picker names."""

    def __init__(self, setting: balancer.Setting, kind: str) -> None:
        self._setting = setting
        self._picker: Picker = PICKERS[kind](setting.rng)
        self._servers: list[server.BackendServer] = []
        self._out: frozenset[str] = frozenset()
        self._names: list[str] = []
        if kind == "power-of-two":
            setting.time.after(setting.rng.random() * _POLL_S, self._poll)

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Takes in the listing."""
        self._servers = servers
        self._update()

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Takes in the data centres that get no new work."""
        self._out = out
        self._update()

    def on_call(self, call: balancer.Call) -> None:
        """Sends the call."""
        self._attempt(call, ())

    def on_entry_lost(self, entry: int) -> None:
        """Ignored: entries know nothing of one another."""

    def _update(self) -> None:
        self._names = [
            s.server_id for s in self._servers if s.data_centre not in self._out
        ]

    def _attempt(self, call: balancer.Call, failed: tuple[str, ...]) -> None:
        names = [name for name in self._names if name not in failed]
        if not names:
            self._setting.network.finish(call, balancer.Result.REFUSED)
            return
        name = self._picker.pick(names)
        self._picker.on_sent(name)

        def done(attempt: balancer.Attempt) -> None:
            self._picker.on_ended(name)
            self._on_end(call, (*failed, name), attempt)

        self._setting.network.dispatch(self._setting.entry, name, call, done)

    def _on_end(
        self,
        call: balancer.Call,
        failed: tuple[str, ...],
        attempt: balancer.Attempt,
    ) -> None:
        finish = self._setting.network.finish
        if attempt.status is fake_server.Status.OK:
            finish(call, balancer.Result.OK)
        elif len(failed) < _MAX_ATTEMPTS and _may_retry(call, attempt):
            self._attempt(call, failed)
        elif attempt.status in _NOT_RUN:
            finish(call, balancer.Result.REFUSED)
        else:
            finish(call, balancer.Result.FAILED)

    def _poll(self) -> None:
        for name in self._names:
            self._poll_one(name)
        self._setting.time.after(_POLL_S, self._poll)

    def _poll_one(self, name: str) -> None:
        self._setting.network.probe(
            self._setting.entry,
            name,
            lambda report: self._picker.on_polled(name, report),
        )


def _may_retry(call: balancer.Call, attempt: balancer.Attempt) -> bool:
    if attempt.status is None:
        return False
    if attempt.status in _NOT_RUN:
        return True
    return call.request_class is not request.RequestClass.AT_MOST_ONCE
