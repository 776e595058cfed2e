"""The `publish` command: puts the lists of plans and allowances into force."""

from __future__ import annotations

import asyncio
import getpass
import json
import sys
from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from magnoliacrank.cli import argument_parser
from magnoliacrank.cli import check
from magnoliacrank.cli import list_reader
from magnoliacrank.cli import log_session
from magnoliacrank.cli import output_format
from magnoliacrank.state import edit
from magnoliacrank.state import publisher

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.model import configuration

EXIT_ACCEPTED = 0
"""Exit code when the edit was accepted: the lists are in force."""

EXIT_CONFLICT = 3
"""Exit code when another edit came first; nothing was changed."""

EXIT_UNKNOWN = 4
"""Exit code when it is unknown whether the edit comes into force; publishing
the same lists again with the same base version gives its result."""

_MAX_VERSION = 2**53


@attrs.frozen
class _Report:
    """Result of the command, as printed for operators."""

    result: str
    message: str
    exit_code: int
    version: int | None = None
    edits: tuple[str, ...] = ()


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `publish`."""
    check.add_list_arguments(parser)
    parser.add_argument(
        "--base-version",
        type=argument_parser.whole_number(0, _MAX_VERSION),
        required=True,
        help="version that the lists were edited from; `status` prints it",
    )
    parser.add_argument(
        "--author", default=getpass.getuser(), help="who makes the edit"
    )
    log_session.add_log_arguments(parser)
    output_format.add_output_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Validates and publishes the lists; returns the exit code."""
    lists = check.load_lists(arguments)
    if isinstance(lists, list_reader.InvalidLists):
        check.print_errors(lists, arguments.output)
        return check.EXIT_INVALID
    report = asyncio.run(_publish(arguments, lists))
    _print(report, arguments.output)
    return report.exit_code


async def publish_lists(
    session: log_session.LogSession,
    lists: configuration.Configuration,
    base_version: int,
    author: str,
    timeout_s: float,
) -> publisher.PublishResult:
    """Publishes the changes that the lists make to the configuration in force.

    The append id is a hash of the lists and their base version. Publishing the
    same lists again with the same base version therefore returns the first
    result instead of making a second edit.

    Args:
        session: A started session that has read the log up to its end.
        lists: Configuration that the lists describe.
        base_version: Configuration version that the lists were edited from.
        author: Name of the person who made the edit, for operators to read.
        timeout_s: Seconds after which the result is reported as unknown.
    """
    append_id = _append_id(lists, base_version)
    state = session.follower.state
    known = publisher.find_result(state, append_id)
    if known is not None:
        return known
    return await session.publisher.publish(
        edit.difference(state.configuration, lists),
        base_version,
        author=author,
        append_id=append_id,
        timeout_s=timeout_s,
    )


async def _publish(
    arguments: argparse.Namespace, lists: configuration.Configuration
) -> _Report:
    session = log_session.open_session(arguments)
    try:
        if not await session.start(arguments.timeout_s):
            return _Report(
                "unavailable",
                "the log gave no answer; nothing was sent",
                log_session.EXIT_UNAVAILABLE,
            )
        result = await publish_lists(
            session,
            lists,
            arguments.base_version,
            arguments.author,
            arguments.timeout_s,
        )
    finally:
        await session.close()
    return _describe(result)


def _describe(result: publisher.PublishResult) -> _Report:
    if isinstance(result, publisher.Accepted):
        return _Report(
            "accepted",
            f"accepted at version {result.version}",
            EXIT_ACCEPTED,
            version=result.version,
        )
    if isinstance(result, publisher.Conflict):
        return _Report(
            "conflict",
            f"conflict: version {result.version} is in force, the lists were "
            f"edited from version {result.base_version}",
            EXIT_CONFLICT,
            version=result.version,
            edits=tuple(
                f"version {one.version} by {one.author or 'unknown'} changed "
                + ", ".join(one.changes)
                for one in result.edits
            ),
        )
    if isinstance(result, publisher.NotPublished):
        return _Report(
            "unavailable",
            f"the log took nothing: {result.reason.value}",
            log_session.EXIT_UNAVAILABLE,
        )
    return _Report(
        "unknown",
        f"unknown: {result.reason.value}; publish the same lists again",
        EXIT_UNKNOWN,
    )


def _print(report: _Report, output: str) -> None:
    if output == output_format.JSON:
        print(json.dumps(attrs.asdict(report)))
        return
    stream = sys.stderr if report.exit_code else sys.stdout
    for line in (report.message, *report.edits):
        stream.write(f"{line}\n")


def _append_id(lists: configuration.Configuration, base_version: int) -> str:
    data = msgspec.json.encode((base_version, lists), order="deterministic")
    return "lists-" + xxhash.xxh3_128_hexdigest(data)
