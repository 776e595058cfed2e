"""DemoTraffic: callers that send requests of all classes at a steady rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.cli import demo_world
from magnoliacrank.model import request
from magnoliacrank.standins import caller

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

_RATE_PER_S = 150.0
_UPLOAD_BYTES = 200_000
_AT_MOST_ONCE_SHARE = 0.2
_DEFERRABLE_SHARE = 0.02


class DemoTraffic:
    """Sends requests in an open loop, from one caller for each data centre.

    The times between requests are exponentially distributed.

    Args:
        urls: Base URLs of entry instances; callers ask these which entry
            instances to use.
        rng: Random numbers for the times and the kinds of requests.
    """

    def __init__(self, urls: Sequence[str], rng: random.Random) -> None:
        self._rng = rng
        self._callers = [
            caller.Caller(
                demo_world.CUSTOMER, demo_world.SERVICE, data_centre, urls
            )
            for data_centre in demo_world.DATA_CENTRES
        ]
        self._results: list[caller.Result] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self._count = 0

    @property
    def results(self) -> Sequence[caller.Result]:
        """Results of finished requests, in the order in which they ended."""
        return self._results

    async def start(self) -> None:
        """Starts the callers and the traffic."""
        for one in self._callers:
            await one.start()
        self._task = asyncio.create_task(self._run(), name="traffic")

    async def close(self) -> None:
        """Stops sending, awaits requests in flight and closes the callers."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(*self._in_flight)
        for one in self._callers:
            await one.close()

    async def _run(self) -> None:
        while True:
            task = asyncio.create_task(self._send(self._next_request()))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
            await asyncio.sleep(self._rng.expovariate(_RATE_PER_S))

    async def _send(self, spec: caller.RequestSpec) -> None:
        one = self._rng.choice(self._callers)
        self._results.append(await one.send(spec))

    def _next_request(self) -> caller.RequestSpec:
        self._count += 1
        draw = self._rng.random()
        if draw < _DEFERRABLE_SHARE:
            return caller.RequestSpec(
                "PUT",
                f"/sheets/{self._count}",
                request.RequestClass.DEFERRABLE,
                self._rng.randbytes(_UPLOAD_BYTES),
            )
        if draw < _DEFERRABLE_SHARE + _AT_MOST_ONCE_SHARE:
            return caller.RequestSpec(
                "POST",
                f"/refills/{self._count}",
                request.RequestClass.AT_MOST_ONCE,
                b'{"drums": 1}',
            )
        return caller.RequestSpec(
            "GET", f"/stops/{self._count}", request.RequestClass.IDEMPOTENT
        )
