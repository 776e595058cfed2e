"""Prints lines, bytes and processor time of the event log at several loads.

Each load runs in a child process. This process reads the standard output of
the child, or leaves it unread to show that a full pipe blocks no request.
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

_DURATION_S = 4.0
_TICK_S = 0.01
_UNREAD_HOLD_S = 60.0
_MAX_LINE_BYTES = 1 << 20


@attrs.frozen
class Load:
    """One load, which gives one row of the table."""

    name: str
    """Name of the row."""

    requests_per_s: int
    """Requests per second."""

    failure_share: float
    """Fraction of requests that are refused; each of them is logged."""

    is_read: bool = True
    """Whether the standard output of the child process is read."""


_LOADS = (
    Load("calm", 40, 0.01),
    Load("at load", 400, 0.05),
    Load("all fail", 400, 1.0),
    Load("all fail, nobody reads", 400, 1.0, is_read=False),
)


class Usage(msgspec.Struct):
    """Cost of one load; the child writes it to standard error at its end."""

    elapsed_s: float
    """Seconds spent on all requests with their traces and log lines."""

    without_s: float
    """Seconds of processor time for the traces alone, without a log."""

    longest_s: float
    """Longest time in seconds of one request with its trace and log line."""

    dropped: int
    """Log lines that were dropped."""


def _build_trace(clock: float) -> request_trace.RequestTrace:
    trace = request_trace.RequestTrace(clock, time.monotonic)
    trace.end(trace.begin(request_trace.Hop.READ), "whole")
    trace.end(trace.begin(request_trace.Hop.PLACE), "found")
    choice = request_trace.ChosenServer("i-7f3a91c2", 1.0, 1, 0.94, 0.0004)
    trace.end(trace.begin(request_trace.Hop.DISPATCH, choice), "status-200")
    return trace


def _log_request(log: event_log.EventLog, number: int, load: Load) -> None:
    trace = _build_trace(time.monotonic())
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


def _run_load(load: Load) -> Usage:
    """Logs the requests of a load in real time and returns the cost."""
    count = int(load.requests_per_s * _DURATION_S)
    before_s = _processor_s()
    for _ in range(count):
        _build_trace(time.monotonic())
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
            _log_request(log, number, load)
            spent_s = time.monotonic() - before_s
            used_s += spent_s
            longest_s = max(longest_s, spent_s)
            number += 1
    if load.is_read:
        log.close()
    return Usage(used_s, without_s, longest_s, log.dropped_lines)


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
    count = load.requests_per_s * _DURATION_S
    lines = output.count(b"\n") / _DURATION_S
    size = len(output) / _DURATION_S / 1000
    return (
        f"| {load.name} | {load.requests_per_s} | {lines:.0f} | {size:.1f} "
        f"| {usage.dropped} | {usage.without_s / count * 1e6:.0f} "
        f"| {usage.elapsed_s / count * 1e6:.0f} "
        f"| {usage.longest_s * 1e3:.2f} |"
    )


def _run_row(load: Load) -> None:
    """Runs a load in this process and writes its cost to standard error."""
    usage = _run_load(load)
    sys.stderr.buffer.write(msgspec.json.encode(usage) + b"\n")
    sys.stderr.flush()
    if not load.is_read:
        # The log thread is blocked on the unread pipe until the parent process
        # kills this one.
        time.sleep(_UNREAD_HOLD_S)


async def _print_rows() -> None:
    print(
        "| load | requests/s | lines/s | KB/s | left out | trace us "
        "| trace and log us | longest call ms |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for index in range(len(_LOADS)):
        print(await _measure(index), flush=True)


def main() -> None:
    """Prints one row per load; with an index as argument, runs that load."""
    if len(sys.argv) > 1:
        _run_row(_LOADS[int(sys.argv[1])])
    else:
        asyncio.run(_print_rows())


if __name__ == "__main__":
    main()
