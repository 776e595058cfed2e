"""LogSession: a connection of an operator's command to the platform's log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.cli import argument_parser
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_log
from magnoliacrank.state import appender
from magnoliacrank.state import log_follower
from magnoliacrank.state import publisher

if TYPE_CHECKING:
    import argparse

EXIT_UNAVAILABLE = 5
"""Exit code when the platform doesn't answer in time."""

_MAX_TIMEOUT_S = 3600.0


def add_log_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of the log: its store, its topic and the timeout."""
    argument_parser.add_store_url_argument(parser)
    argument_parser.add_topic_argument(parser)
    parser.add_argument(
        "--timeout-s",
        type=argument_parser.seconds(0.1, _MAX_TIMEOUT_S),
        default=10.0,
        help="seconds to wait for the platform",
    )


class LogSession:
    """Follows the log and publishes edits of the configuration to it.

    Args:
        store_url: Base URL of the platform's store.
        topic: Topic of the store that holds the log.
    """

    def __init__(self, store_url: str, topic: str) -> None:
        self._store = store_client.StoreClient(store_url)
        log = store_log.StoreLog(self._store, topic)
        self._follower = log_follower.LogFollower(log)
        self._appender = appender.Appender(log, self._follower)
        self._publisher = publisher.Publisher(self._follower, self._appender)

    @property
    def follower(self) -> log_follower.LogFollower:
        """Reads the log and computes the current state from its records."""
        return self._follower

    @property
    def publisher(self) -> publisher.Publisher:
        """Appends edits of the configuration to the log."""
        return self._publisher

    async def start(self, timeout_s: float) -> bool:
        """Connects to the store and reads the log up to its end.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether the end of the log was reached in that time.
        """
        await self._store.start()
        await self._follower.start()
        await self._appender.start()
        try:
            async with asyncio.timeout(timeout_s):
                await self._follower.wait_until_ready()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stops reading the log and closes the connections."""
        await self._appender.close()
        await self._follower.close()
        await self._store.close()


def open_session(arguments: argparse.Namespace) -> LogSession:
    """Returns a session, not yet started, for the flags in `arguments`."""
    return LogSession(arguments.store_url, arguments.topic)
