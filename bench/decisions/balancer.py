"""What the bench asks of a way to balance, on one entry instance."""

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
    REFUSED = "refused"
    """Not run: shed, or no server in time."""
    FAILED = "failed"
    """Error, timeout or unknown."""


@attrs.define(eq=False)
class Call:
    """One request of a caller."""

    number: int
    customer: str
    request_class: request.RequestClass
    data_centre: str
    created_s: float
    deadline_s: float
    crashes: bool = False
    digest: bytes = b""
    result: Result | None = None


@attrs.frozen
class Attempt:
    """End of one dispatch of a call, as the entry instance sees it."""

    status: fake_server.Status | None
    """Answer, or None when it ran out of time."""

    latency_s: float
    report: server.LoadReport | None


class Network(Protocol):
    """What a balancer can do to the outside."""

    def dispatch(
        self,
        entry: int,
        server_name: str,
        call: Call,
        done: Callable[[Attempt], None],
    ) -> None:
        """Sends a call to a backend server."""
        ...

    def probe(
        self,
        entry: int,
        server_name: str,
        done: Callable[[server.LoadReport | None], None],
    ) -> None:
        """Asks a backend server for its load report."""
        ...

    def prefer(self, entries: frozenset[int]) -> None:
        """Tells callers which entry instances to use."""
        ...

    def renew(self, entry: int, server_name: str) -> None:
        """Replaces the idle connections to a server by fresh ones."""
        ...

    def tell(
        self,
        entry: int,
        to: int,
        deliver: Callable[[], None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message to another entry instance.

        Args:
            entry: Sender.
            to: Receiver.
            deliver: Called at the receiver.
            refused: Called at the sender when the receiver is lost.
        """
        ...

    def finish(self, call: Call, result: Result) -> None:
        """Answers the caller; only the first time counts."""
        ...


class Balancer(Protocol):
    """Handles the calls that reach one entry instance."""

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Takes in the listing."""
        ...

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Takes in the data centres that get no new work."""
        ...

    def on_call(self, call: Call) -> None:
        """Takes in a call; it must finish it in the end."""
        ...

    def on_entry_lost(self, entry: int) -> None:
        """Takes in that an entry instance is lost, after its detection."""
        ...


@attrs.frozen
class Setting:
    """What a balancer is made from."""

    entry: int
    data_centre: str
    peers: tuple[int, ...]
    network: Network
    time: clock.Clock
    rng: random.Random
    size: size.Size
