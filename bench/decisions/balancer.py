"""Interface between the simulated world and a load balancer under test."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from bench.decisions import clock
from bench.decisions import fake_server
from bench.decisions import size
from magnoliacrank.model import request
from magnoliacrank.model import server

if TYPE_CHECKING:
    from collections.abc import Callable


class Result(enum.Enum):
    """How a call ended for its caller."""

    OK = "ok"
    """A backend server answered with success."""
    REFUSED = "refused"
    """The call was not run: shed, or no backend server was free in time."""
    FAILED = "failed"
    """The call ended with an error or a timeout, or its outcome is unknown."""


@attrs.define(eq=False)
class Call:
    """One request of a caller."""

    number: int
    """Sequence number of the call within the run."""

    customer: str
    """Customer on whose behalf the call is sent."""

    request_class: request.RequestClass
    """Whether the call may be repeated or deferred."""

    data_centre: str
    """Data centre nearest to the caller."""

    created_s: float
    """Virtual time in seconds at which the caller sent it."""

    deadline_s: float
    """Virtual time in seconds by which the caller needs the answer."""

    crashes: bool = False
    """Whether the call crashes each backend server that runs it."""

    digest: bytes = b""
    """Digest of the content; the same for all calls that crash servers."""

    result: Result | None = None
    """How the call ended; None while it is open."""


@attrs.frozen
class Attempt:
    """Outcome of one dispatch of a call, as the entry instance sees it."""

    status: fake_server.Status | None
    """How the server ended the dispatch; None if the deadline passed first."""

    latency_s: float
    """Seconds from the dispatch to its end."""

    report: server.LoadReport | None
    """Load report that came with the answer, or None."""


class Network(Protocol):
    """Simulated network by which a balancer reaches servers and callers.

    Entry instances are numbered from 0; the argument `entry` is the number of
    the balancer's own instance.
    """

    def dispatch(
        self,
        entry: int,
        server_name: str,
        call: Call,
        done: Callable[[Attempt], None],
    ) -> None:
        """Sends a call to a backend server.

        Args:
            entry: Entry instance that sends it.
            server_name: Backend server to send to.
            call: The call.
            done: Called once, with the answer or at the call's deadline.
        """
        ...

    def probe(
        self,
        entry: int,
        server_name: str,
        done: Callable[[server.LoadReport | None], None],
    ) -> None:
        """Asks a backend server for its load report.

        Args:
            entry: Entry instance that asks.
            server_name: Backend server to ask.
            done: Called with the report, or None if the server is down.
        """
        ...

    def set_preferred_entries(self, entries: frozenset[int]) -> None:
        """Sets the entry instances that callers are directed to."""
        ...

    def replace_idle_connections(self, entry: int, server_name: str) -> None:
        """Replaces the idle connections to a backend server by new ones."""
        ...

    def send_message(
        self,
        entry: int,
        to: int,
        deliver: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message to another entry instance.

        Args:
            entry: Entry instance that sends it.
            to: Entry instance that receives it.
            deliver: Called when the message arrives at the receiver.
            refused: Called at the sender if the receiver has been lost.
        """
        ...

    def finish(self, call: Call, result: Result) -> None:
        """Answers the caller; a second answer to a call is ignored."""
        ...


class Balancer(Protocol):
    """Load balancer of one entry instance: handles the calls that reach it."""

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Replaces the list of backend servers."""
        ...

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Sets the data centres that must get no new work."""
        ...

    def on_call(self, call: Call) -> None:
        """Handles a call; the balancer must end it with `Network.finish`."""
        ...

    def on_entry_lost(self, entry: int) -> None:
        """Handles the detected loss of another entry instance."""
        ...


@attrs.frozen
class BalancerContext:
    """Arguments from which the balancer of one entry instance is created."""

    entry: int
    """Number of the entry instance."""

    data_centre: str
    """Data centre of the entry instance."""

    peers: tuple[int, ...]
    """Numbers of all entry instances, this one included."""

    network: Network
    """Sends the balancer's dispatches, probes, messages and answers."""

    time: clock.Clock
    """Virtual time."""

    rng: random.Random
    """Random numbers for the choices of the balancer."""

    size: size.Size
    """Size of the service that the entry instance serves."""
