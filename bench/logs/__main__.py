"""Prints lines, bytes and processor time of the log at several loads.

Each row runs in a process of its own, whose standard output is read by this
one, or not read at all.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time

import attrs
import msgspec

from magnoliacrank.entry import event_log
from magnoliacrank.entry import request_trace

_SECONDS = 4.0
_TICK_S = 0.01
_UNREAD_END_S = 60.0
_MAX_LINE_BYTES = 1 << 20


@attrs.frozen
class Load:
    """Requests of one row."""

    name: str
    """Name of the row."""

    requests_per_s: int
    """Requests a second."""

    failure_share: float
    """Part of them that is refused or late, and so logged each time."""

    is_read: bool = True
    """Whether standard output is read."""


_LOADS = (
    Load("calm", 40, 0.01),
    Load("at load", 400, 0.05),
    Load("all fail", 400, 1.0),
    Load("all fail, nobody reads", 400, 1.0, is_read=False),
)


class Usage(msgspec.Struct):
    """What a row cost; written to standard error at its end."""

    processor_s: float
    """Processor time of all requests with their log lines."""

    without_s: float
    """Processor time of the same requests without a log."""

    longest_s: float
    """Longest time that one call of the log took."""

    dropped: int
    """Lines that were not written."""


def _trace(clock: float) -> request_trace.RequestTrace:
    trace = request_trace.RequestTrace(clock, time.monotonic)
    trace.end(trace.begin(request_trace.Hop.READ), "whole")
    trace.end(trace.begin(request_trace.Hop.PLACE), "found")
    choice = request_trace.Choice("i-7f3a91c2", 1.0, 1, 0.94, 0.0004)
    trace.end(trace.begin(request_trace.Hop.DISPATCH, choice), "status-200")
    return trace


def _log_one(log: event_log.EventLog, number: int, load: Load) -> None:
    trace = _trace(time.monotonic())
    request_id = f"{number:016x}"
    is_failure = number % 1000 < load.failure_share * 1000
    if not is_failure and not log.is_sampled(request_id):
        return
    log.request(
        "request refused" if is_failure else "request answered",
        request_id,
        route="read",
        status=200,
        duration_s=0.1612,
        spans=trace.fields,
    )


def _processor_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _play(load: Load) -> Usage:
    """Logs the requests of a load in real time."""
    count = int(load.requests_per_s * _SECONDS)
    before_s = _processor_s()
    for _ in range(count):
        _trace(time.monotonic())
    without_s = _processor_s() - before_s
    log = event_log.EventLog("front-1", "a", time.monotonic)
    log.start()
    longest_s = 0.0
    used_s = 0.0
    started_s = time.monotonic()
    number = 0
    while number < count:
        time.sleep(_TICK_S)
        due = int((time.monotonic() - started_s) * load.requests_per_s)
        while number < min(due, count):
            before_s = time.monotonic()
            _log_one(log, number, load)
            spent_s = time.monotonic() - before_s
            used_s += spent_s
            longest_s = max(longest_s, spent_s)
            number += 1
    if load.is_read:
        log.close()
    return Usage(used_s, without_s, longest_s, log.dropped)


async def _measure(index: int) -> str:
    load = _LOADS[index]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.logs",
        str(index),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=_MAX_LINE_BYTES,
    )
    assert process.stdout is not None
    assert process.stderr is not None
    output = b""
    if load.is_read:
        output = await process.stdout.read()
    usage = msgspec.json.decode(await process.stderr.readline(), type=Usage)
    if not load.is_read:
        process.kill()
    await process.communicate()
    count = load.requests_per_s * _SECONDS
    lines = output.count(b"\n") / _SECONDS
    size = len(output) / _SECONDS / 1000
    return (
        f"| {load.name} | {load.requests_per_s} | {lines:.0f} | {size:.1f} "
        f"| {usage.dropped} | {usage.without_s / count * 1e6:.0f} "
        f"| {usage.processor_s / count * 1e6:.0f} "
        f"| {usage.longest_s * 1e3:.2f} |"
    )


def _play_row(load: Load) -> None:
    """Plays a load in this process, and tells what it cost."""
    usage = _play(load)
    sys.stderr.buffer.write(msgspec.json.encode(usage) + b"\n")
    sys.stderr.flush()
    if not load.is_read:
        # The log's thread waits for a reader until this process is ended.
        time.sleep(_UNREAD_END_S)


async def _print_rows() -> None:
    print(
        "| load | requests/s | lines/s | KB/s | left out | trace us "
        "| trace and log us | longest call ms |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for index in range(len(_LOADS)):
        print(await _measure(index), flush=True)


def main() -> None:
    """Prints one row for each load, or plays the one that is named."""
    if len(sys.argv) > 1:
        _play_row(_LOADS[int(sys.argv[1])])
    else:
        asyncio.run(_print_rows())


if __name__ == "__main__":
    main()
