"""Worker processes: one for each hop and one for the backend server."""

from __future__ import annotations

import asyncio
import multiprocessing
import threading
import time
from typing import TYPE_CHECKING

from bench.hop import hops
from magnoliacrank.gateway import event_loop

if TYPE_CHECKING:
    from multiprocessing import connection

_STOP_TIMEOUT_S = 5.0


class Worker:
    """Child process that runs a hop or the backend server.

    Its processor time can be read at any time.

    Args:
        starter: Called in the process; starts the server and returns its
            port.
        settings: Argument of the starter.
    """

    def __init__(
        self, starter: hops.Starter, settings: hops.HopSettings
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child = context.Pipe()
        self._process = context.Process(
            target=_main, args=(child, starter, settings), daemon=True
        )
        self._process.start()
        self.port: int = self._pipe.recv()

    def processor_s(self) -> float:
        """Returns the processor time in seconds that the process has used."""
        self._pipe.send("processor")
        return float(self._pipe.recv())

    def close(self) -> None:
        """Stops the process; kills it if it does not end in time."""
        self._pipe.send("stop")
        self._process.join(_STOP_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()


def _main(
    pipe: connection.Connection,
    starter: hops.Starter,
    settings: hops.HopSettings,
) -> None:
    event_loop.run(_serve(pipe, starter, settings))


async def _serve(
    pipe: connection.Connection,
    starter: hops.Starter,
    settings: hops.HopSettings,
) -> int:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    pipe.send(await starter(settings))
    thread = threading.Thread(
        target=_answer_commands, args=(pipe, loop, stopped), daemon=True
    )
    thread.start()
    await stopped.wait()
    await hops.close_all()
    return 0


def _answer_commands(
    pipe: connection.Connection,
    loop: asyncio.AbstractEventLoop,
    stopped: asyncio.Event,
) -> None:
    while pipe.recv() == "processor":
        pipe.send(time.process_time())
    loop.call_soon_threadsafe(stopped.set)
