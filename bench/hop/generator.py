"""Sends requests at times fixed in advance, whatever the answers do."""

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
_LOWEST_NS = 1_000
_HIGHEST_NS = 10_000_000_000
_DIGITS = 3
_READ_LIMIT_BYTES = 1 << 30
_HEADERS = (
    ("Accept", "application/json"),
    ("User-Agent", "tablet/1.0"),
    ("Magnoliacrank-Customer", "cirelis"),
    ("Magnoliacrank-Service", "route"),
)


@attrs.frozen
class Load:
    """What is sent."""

    seed: int
    """Seed of the arrival times and of the order of the ways."""

    rate: float
    """Requests a second on each way."""

    seconds: float
    """Time for which requests are sent."""

    target: str = "/stops"
    """Target of the requests."""


class Way:
    """One way to the backend server, with the latencies seen on it."""

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
            _LOWEST_NS, _HIGHEST_NS, _DIGITS
        )
        self._head = outbound_head.OutboundHead(
            "GET", "/", [("Host", f"{_HOST}:{port}"), *_HEADERS]
        )

    async def start(self, target: str) -> None:
        """Opens the pool."""
        self._head = attrs.evolve(self._head, target=target)
        await self._pool.start()

    async def close(self) -> None:
        """Closes the pool."""
        await self._pool.close()

    async def call(self, due_s: float) -> None:
        """Makes one call; its latency counts from when it was due.

        Args:
            due_s: Monotonic time in seconds at which it should have left.
        """
        answer = await self._pool.exchange(
            self._head, b"", time.monotonic() + _DEADLINE_S
        )
        if isinstance(answer, exchange_failure.ExchangeFailure):
            self.failures += 1
            return
        content = await answer.read_all(_READ_LIMIT_BYTES)
        answer.release()
        if answer.status != 200 or not isinstance(content, bytes):
            self.failures += 1
            return
        took_ns = int((time.monotonic() - due_s) * 1e9)
        self.latencies.record_value(max(_LOWEST_NS, took_ns))

    def forget(self) -> None:
        """Drops what was measured so far."""
        self.latencies.reset()
        self.failures = 0


async def run(ways: list[Way], load: Load) -> int:
    """Sends the load over all ways in turn.

    The loop never sleeps, so that requests leave on time.

    Args:
        ways: The ways; each gets the same number of requests.
        load: What is sent.

    Returns:
        The number of requests on each way.
    """
    chance = random.Random(load.seed)
    arrivals = _arrivals(ways, load, chance)
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


def _arrivals(
    ways: list[Way], load: Load, chance: random.Random
) -> list[tuple[float, Way]]:
    mean_s = 1.0 / (load.rate * len(ways))
    arrivals = []
    offset_s = 0.0
    for _ in range(int(load.rate * load.seconds)):
        order = list(ways)
        chance.shuffle(order)
        for way in order:
            offset_s += chance.expovariate(1.0 / mean_s)
            arrivals.append((offset_s, way))
    return arrivals
