"""The `status` command: prints the state and version of each instance."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from magnoliacrank.cli import argument_parser
from magnoliacrank.cli import log_session
from magnoliacrank.cli import output_format
from magnoliacrank.model import headers
from magnoliacrank.platform import instance_list
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_instance_list

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.model import instance

_STATUS_OK = 200
_MAX_TIMEOUT_S = 60.0
_COLUMNS = ("instance", "data_centre", "state", "version", "next_offset")


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `status`."""
    argument_parser.add_store_url_argument(parser)
    parser.add_argument(
        "--timeout-s",
        type=argument_parser.seconds(0.1, _MAX_TIMEOUT_S),
        default=2.0,
        help="seconds to wait for each instance",
    )
    output_format.add_output_argument(parser)


def run(arguments: argparse.Namespace) -> int:
    """Prints the status of all announced instances; returns the exit code."""
    try:
        rows = asyncio.run(_collect(arguments.store_url, arguments.timeout_s))
    except instance_list.InstanceListUnavailableError as error:
        sys.stderr.write(f"the instance list gave no answer: {error}\n")
        return log_session.EXIT_UNAVAILABLE
    _print(rows, arguments.output)
    return 0


async def _collect(url: str, timeout_s: float) -> list[dict[str, Any]]:
    store = store_client.StoreClient(url)
    await store.start()
    try:
        registry = store_instance_list.StoreInstanceList(store, timeout_s)
        announced = await registry.fetch()
    finally:
        await store.close()
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        rows = await asyncio.gather(
            *(_fetch_status(session, one.entry) for one in announced.instances)
        )
    return sorted(rows, key=lambda row: str(row["instance"]))


async def _fetch_status(
    session: aiohttp.ClientSession, one: instance.EntryInstance
) -> dict[str, Any]:
    host = f"[{one.host}]" if ":" in one.host else one.host
    url = f"http://{host}:{one.http_port}{headers.STATUS_PATH}"
    row: dict[str, Any] = {
        "instance": one.instance_id,
        "data_centre": one.data_centre,
        "state": "unreachable",
    }
    try:
        async with session.get(url) as answer:
            if answer.status == _STATUS_OK:
                row |= await answer.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        row["error"] = str(error) or type(error).__name__
    return row


def _print(rows: list[dict[str, Any]], output: str) -> None:
    if output == output_format.JSON:
        print(json.dumps(rows))
        return
    table: list[tuple[str, ...]] = [_COLUMNS]
    table += [
        tuple(str(row.get(column, "-")) for column in _COLUMNS) for row in rows
    ]
    widths = [max(len(line[i]) for line in table) for i in range(len(_COLUMNS))]
    for line in table:
        cells = zip(line, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
    versions = {row.get("version") for row in rows if "version" in row}
    agreement = "agree" if len(versions) == 1 else "do not agree"
    print(f"{len(rows)} instances, which {agreement} on the version")
