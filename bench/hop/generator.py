"""Open-loop load generator: sends requests at times fixed in advance.

A slow answer does not delay later requests. The latency of a request counts
from the time at which it was due, even if it was sent late.
"""

from __future__ import annotations

import asyncio
import random
import time

import attrs
from hdrh import histogram

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool

_HOST = "127.0.0.1"
_DEADLINE_S = 10.0
_MAX_CONNECTIONS = 128
_MIN_LATENCY_NS = 1_000
_MAX_LATENCY_NS = 10_000_000_000
_SIGNIFICANT_DIGITS = 3
_MAX_ANSWER_BYTES = 1 << 30
_HEADERS = (
    ("Accept", "application/json"),
    ("User-Agent", "tablet/1.0"),
    ("Magnoliacrank-Customer", "cirelis"),
    ("Magnoliacrank-Service", "route"),
)


@attrs.frozen
class Load:
    """Requests of one round of the benchmark."""

    seed: int
    """Seed of the send times and of the order of the ways."""

    rate: float
    """Requests per second sent over each path (`Way`) to the backend server."""

    seconds: float
    """Seconds for which requests are sent."""

    target: str = "/stops"
    """Request target, that is, the path of the URL."""


class Way:
    """One path to the backend server, with the results of its calls.

    Args:
        name: Name in the table.
        port: TCP port of the backend server or of the hop before it.
    """

    def __init__(self, name: str, port: int) -> None:
        self._pool = server_pool.ServerPool(
            _HOST,
            port,
            pool_limits.PoolLimits(
                max_connections=_MAX_CONNECTIONS, silence_s=_DEADLINE_S
            ),
        )
        self.name = name
        self.failures = 0
        self.latencies = histogram.HdrHistogram(
            _MIN_LATENCY_NS, _MAX_LATENCY_NS, _SIGNIFICANT_DIGITS
        )
        self._head = outbound_head.OutboundHead(
            "GET", "/", [("Host", f"{_HOST}:{port}"), *_HEADERS]
        )

    async def start(self, target: str) -> None:
        """Sets the request target and opens the connection pool."""
        self._head = attrs.evolve(self._head, target=target)
        await self._pool.start()

    async def close(self) -> None:
        """Closes the connection pool."""
        await self._pool.close()

    async def call(self, due_s: float) -> None:
        """Makes one call; its latency counts from its due time.

        Args:
            due_s: Time at which it should have been sent, in seconds as
                returned by time.monotonic().
        """
        answer = await self._pool.exchange(
            self._head, b"", time.monotonic() + _DEADLINE_S
        )
        if isinstance(answer, exchange_failure.ExchangeFailure):
            self.failures += 1
            return
        content = await answer.read_all(_MAX_ANSWER_BYTES)
        answer.release()
        if answer.status != 200 or not isinstance(content, bytes):
            self.failures += 1
            return
        took_ns = int((time.monotonic() - due_s) * 1e9)
        self.latencies.record_value(max(_MIN_LATENCY_NS, took_ns))

    def clear_results(self) -> None:
        """Discards the latencies and failures recorded so far."""
        self.latencies.reset()
        self.failures = 0


async def run(ways: list[Way], load: Load) -> int:
    """Sends a load over all ways and waits for the answers.

    The loop polls the clock instead of sleeping, so that requests are sent
    on time.

    Args:
        ways: The ways; each gets the same number of requests.
        load: Rate and duration of the requests.

    Returns:
        The number of requests on each way.
    """
    rng = random.Random(load.seed)
    arrivals = _plan_arrivals(ways, load, rng)
    tasks: set[asyncio.Task[None]] = set()
    start_s = time.monotonic()
    for offset_s, way in arrivals:
        due_s = start_s + offset_s
        while time.monotonic() < due_s:  # noqa: ASYNC110
            await asyncio.sleep(0)
        task = asyncio.ensure_future(way.call(due_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:  # noqa: ASYNC110
        await asyncio.sleep(0)
    return len(arrivals) // len(ways)


def _plan_arrivals(
    ways: list[Way], load: Load, rng: random.Random
) -> list[tuple[float, Way]]:
    mean_s = 1.0 / (load.rate * len(ways))
    arrivals = []
    offset_s = 0.0
    for _ in range(int(load.rate * load.seconds)):
        order = list(ways)
        rng.shuffle(order)
        for way in order:
            offset_s += rng.expovariate(1.0 / mean_s)
            arrivals.append((offset_s, way))
    return arrivals
