"""The `serve` command: runs an entry instance."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.cli import entry_process
from magnoliacrank.cli import settings
from magnoliacrank.gateway import event_loop
from magnoliacrank.gateway import garbage_collection
from magnoliacrank.peers import errors

if TYPE_CHECKING:
    import argparse
    from collections.abc import Coroutine

    from magnoliacrank.cli import argument_parser

EXIT_OK = 0
"""Exit code after a graceful shutdown."""

EXIT_BIND = 1
"""Exit code when a port can't be bound."""


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `serve`."""
    settings.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Runs the instance until SIGTERM or SIGINT.

    Returns:
        `EXIT_OK` after a shutdown, or `EXIT_BIND`.
    """
    options = settings.from_arguments(arguments)
    logging.use_absl_handler()
    logging.set_verbosity(options.verbosity)
    return event_loop.run(_serve(options))


async def _serve(options: settings.Settings) -> int:
    stops = _StopSignals()
    process = entry_process.EntryProcess(options)
    try:
        await process.start()
    except (OSError, errors.PeerBindError) as error:
        sys.stderr.write(f"magnoliacrank serve: {error}\n")
        return EXIT_BIND
    garbage_collection.configure()
    await stops.first.wait()
    await _run_until(process.leave(), stops.second)
    grace_s = 0.0 if stops.second.is_set() else options.drain_timeout_s
    await process.close(grace_s)
    return EXIT_OK


class _StopSignals:
    """Events set by SIGTERM and SIGINT.

    The first signal requests a graceful shutdown, the second an immediate one.
    """

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self.first.is_set():
            self.second.set()
        self.first.set()


async def _run_until(
    coroutine: Coroutine[None, None, None], stop: asyncio.Event
) -> None:
    """Runs a coroutine until it ends or `stop` is set, then cancels it."""
    task = asyncio.ensure_future(coroutine)
    waiter = asyncio.ensure_future(stop.wait())
    await asyncio.wait((task, waiter), return_when=asyncio.FIRST_COMPLETED)
    for one in (task, waiter):
        one.cancel()
    await asyncio.gather(task, waiter, return_exceptions=True)
