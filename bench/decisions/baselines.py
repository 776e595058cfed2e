"""Baselines: plain load balancing policies, without slots or admission."""

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
    """Load balancing policy: picks one backend server for each dispatch.

    The `on_` methods report the events that a policy may base its choice on.
    """

    def pick(self, names: list[str]) -> str:
        """Returns the name of the backend server to use."""
        ...

    def on_sent(self, name: str) -> None:
        """Handles the start of a dispatch to a backend server."""
        ...

    def on_ended(self, name: str) -> None:
        """Handles the end of a dispatch to a backend server."""
        ...

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Handles a polled load report; None if the server is down."""
        ...


class Random:
    """Picks uniformly at random; base class that ignores all events."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, names: list[str]) -> str:
        """Returns a random name."""
        return self._rng.choice(names)

    def on_sent(self, name: str) -> None:
        """Ignored."""

    def on_ended(self, name: str) -> None:
        """Ignored."""

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Ignored."""


class RoundRobin(Random):
    """Picks the backend servers in turn, from a random start."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._next = rng.randrange(1000)

    def pick(self, names: list[str]) -> str:
        """Returns the next name in turn."""
        self._next += 1
        return names[self._next % len(names)]


class LeastInFlight(Random):
    """Picks the server with the fewest requests in flight.

    It counts only the requests of its own entry instance.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._in_flight: dict[str, int] = {}

    def pick(self, names: list[str]) -> str:
        """Returns the name with the fewest requests; breaks ties at random."""
        names = self._rng.sample(names, len(names))
        return min(names, key=lambda name: self._in_flight.get(name, 0))

    def on_sent(self, name: str) -> None:
        """Counts one more request in flight."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def on_ended(self, name: str) -> None:
        """Counts one request less in flight."""
        self._in_flight[name] -= 1


class PowerOfTwo(Random):
    """Picks the less loaded of two random servers by their polled reports."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._load: dict[str, int] = {}

    def pick(self, names: list[str]) -> str:
        """Returns the less loaded of two random names."""
        two = self._rng.sample(names, min(2, len(names)))
        return min(two, key=lambda name: self._load.get(name, 0))

    def on_polled(self, name: str, report: server.LoadReport | None) -> None:
        """Stores the load of a backend server."""
        if report is not None:
            self._load[name] = report.in_flight + report.queued


PICKERS = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "power-of-two": PowerOfTwo,
}
"""Baseline policies by name."""


class Baseline:
    """Balancer that sends each call at once to the server of a picker."""

    def __init__(self, context: balancer.BalancerContext, kind: str) -> None:
        self._context = context
        self._picker: Picker = PICKERS[kind](context.rng)
        self._servers: list[server.BackendServer] = []
        self._out_data_centres: frozenset[str] = frozenset()
        self._server_names: list[str] = []
        if kind == "power-of-two":
            context.time.after(context.rng.random() * _POLL_S, self._poll)

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Replaces the list of backend servers."""
        self._servers = servers
        self._update()

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Sets the data centres that must get no new work."""
        self._out_data_centres = out
        self._update()

    def on_call(self, call: balancer.Call) -> None:
        """Dispatches the call without queueing."""
        self._attempt(call, ())

    def on_entry_lost(self, entry: int) -> None:
        """Does nothing: baselines do not communicate with each other."""

    def _update(self) -> None:
        self._server_names = [
            s.server_id
            for s in self._servers
            if s.data_centre not in self._out_data_centres
        ]

    def _attempt(self, call: balancer.Call, failed: tuple[str, ...]) -> None:
        names = [name for name in self._server_names if name not in failed]
        if not names:
            self._context.network.finish(call, balancer.Result.REFUSED)
            return
        name = self._picker.pick(names)
        self._picker.on_sent(name)

        def done(attempt: balancer.Attempt) -> None:
            self._picker.on_ended(name)
            self._on_end(call, (*failed, name), attempt)

        self._context.network.dispatch(self._context.entry, name, call, done)

    def _on_end(
        self,
        call: balancer.Call,
        failed: tuple[str, ...],
        attempt: balancer.Attempt,
    ) -> None:
        finish = self._context.network.finish
        if attempt.status is fake_server.Status.OK:
            finish(call, balancer.Result.OK)
        elif len(failed) < _MAX_ATTEMPTS and _may_retry(call, attempt):
            self._attempt(call, failed)
        elif attempt.status in _NOT_RUN:
            finish(call, balancer.Result.REFUSED)
        else:
            finish(call, balancer.Result.FAILED)

    def _poll(self) -> None:
        for name in self._server_names:
            self._poll_one(name)
        self._context.time.after(_POLL_S, self._poll)

    def _poll_one(self, name: str) -> None:
        self._context.network.probe(
            self._context.entry,
            name,
            lambda report: self._picker.on_polled(name, report),
        )


def _may_retry(call: balancer.Call, attempt: balancer.Attempt) -> bool:
    if attempt.status is None:
        return False
    if attempt.status in _NOT_RUN:
        return True
    return call.request_class is not request.RequestClass.AT_MOST_ONCE
