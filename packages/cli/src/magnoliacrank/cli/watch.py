"""The `watch` command: prints notices, that is, messages for operators."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from magnoliacrank.cli import argument_parser
from magnoliacrank.cli import log_session
from magnoliacrank.cli import output_format

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.state import log_state

_POLL_S = 0.2
_MAX_OFFSET = 2**53


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `watch`."""
    log_session.add_log_arguments(parser)
    parser.add_argument(
        "--from-offset",
        type=argument_parser.whole_number(0, _MAX_OFFSET),
        default=0,
        help="prints notices from this log offset on",
    )
    parser.add_argument(
        "--once",
        action="store_true",
        help="prints the notices that are there and ends",
    )
    output_format.add_output_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Prints existing notices, then new ones as they arrive until interrupted.

    With `--once`, prints only the existing notices and ends.

    Returns:
        0, or `log_session.EXIT_UNAVAILABLE` when the log can't be read in time.
    """
    try:
        return asyncio.run(_watch(arguments))
    except KeyboardInterrupt:
        return 0


async def _watch(arguments: argparse.Namespace) -> int:
    session = log_session.open_session(arguments)
    next_offset = arguments.from_offset
    try:
        if not await session.start(arguments.timeout_s):
            return log_session.EXIT_UNAVAILABLE
        while True:
            for notice in session.follower.state.notices:
                if notice.offset >= next_offset:
                    _print(notice, arguments.output)
                    next_offset = notice.offset + 1
            if arguments.once:
                return 0
            await asyncio.sleep(_POLL_S)
    finally:
        await session.close()


def _print(notice: log_state.Notice, output: str) -> None:
    if output == output_format.JSON:
        row = {
            "notice_id": notice.notice_id,
            "offset": notice.offset,
            "text": notice.text,
        }
        print(json.dumps(row), flush=True)
        return
    print(f"{notice.offset}: {notice.text}", flush=True)
