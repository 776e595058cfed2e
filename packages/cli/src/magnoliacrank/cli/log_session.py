"""LogSession: an operator's connection to the platform's log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.cli import argument_parser
from magnoliacrank.platform import http_log_service
from magnoliacrank.state import appender
from magnoliacrank.state import log_follower
from magnoliacrank.state import publisher

if TYPE_CHECKING:
    import argparse

EXIT_UNAVAILABLE = 5
"""Exit code when the platform gives no answer in time."""

_MAX_TIMEOUT_S = 3600.0


def add_log_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the arguments that name the log and the patience for it."""
    argument_parser.add_log_address(parser)
    parser.add_argument(
        "--timeout-s",
        type=argument_parser.seconds(0.1, _MAX_TIMEOUT_S),
        default=10.0,
        help="seconds to wait for the platform",
    )


class LogSession:
    """Follows the log and publishes edits.

    Args:
        log_url: Base URL of the log service.
        log_stream: Name of the stream.
    """

    def __init__(self, log_url: str, log_stream: str) -> None:
        self._log = http_log_service.HttpLogService(log_url, log_stream)
        self._follower = log_follower.LogFollower(self._log)
        self._appender = appender.Appender(self._log, self._follower)
        self._publisher = publisher.Publisher(self._follower, self._appender)

    @property
    def follower(self) -> log_follower.LogFollower:
        """The fold of the log."""
        return self._follower

    @property
    def publisher(self) -> publisher.Publisher:
        """Publishes edits."""
        return self._publisher

    async def start(self, timeout_s: float) -> bool:
        """Reads the log up to its end.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Whether the fold caught up in that time.
        """
        await self._log.start()
        await self._follower.start()
        await self._appender.start()
        try:
            async with asyncio.timeout(timeout_s):
                await self._follower.wait_until_ready()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stops following."""
        await self._appender.close()
        await self._follower.close()
        await self._log.close()


def open_session(arguments: argparse.Namespace) -> LogSession:
    """Returns a session, not started, for parsed arguments."""
    return LogSession(arguments.log_url, arguments.log_stream)
