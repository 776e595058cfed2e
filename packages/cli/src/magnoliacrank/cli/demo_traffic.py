"""DemoTraffic: callers that send all request classes at a steady rate."""

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
_PHOTO_BYTES = 200_000
_CONFIRM_SHARE = 0.2
_UPLOAD_SHARE = 0.02


class DemoTraffic:
    """One caller next to each data centre, sending in an open loop.

    Args:
        urls: Base URLs of some entry instances.
        rng: Source of randomness.
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
        self._sending: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self._count = 0

    @property
    def results(self) -> Sequence[caller.Result]:
        """Results so far, in the order of their end."""
        return self._results

    async def start(self) -> None:
        """Begins to send."""
        for one in self._callers:
            await one.start()
        self._task = asyncio.create_task(self._run(), name="traffic")

    async def close(self) -> None:
        """Stops sending and waits for what was sent."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(*self._sending)
        for one in self._callers:
            await one.close()

    async def _run(self) -> None:
        while True:
            task = asyncio.create_task(self._send(self._next()))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)
            await asyncio.sleep(self._rng.expovariate(_RATE_PER_S))

    async def _send(self, wanted: caller.Wanted) -> None:
        one = self._rng.choice(self._callers)
        self._results.append(await one.send(wanted))

    def _next(self) -> caller.Wanted:
        self._count += 1
        draw = self._rng.random()
        if draw < _UPLOAD_SHARE:
            return caller.Wanted(
                "PUT",
                f"/sheets/{self._count}",
                request.RequestClass.DEFERRABLE,
                self._rng.randbytes(_PHOTO_BYTES),
            )
        if draw < _UPLOAD_SHARE + _CONFIRM_SHARE:
            return caller.Wanted(
                "POST",
                f"/refills/{self._count}",
                request.RequestClass.AT_MOST_ONCE,
                b'{"drums": 1}',
            )
        return caller.Wanted(
            "GET", f"/stops/{self._count}", request.RequestClass.IDEMPOTENT
        )
