"""The `explain` command: prints all log lines about one request."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any

import attrs
import msgspec

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable

EXIT_NOT_FOUND = 1
"""Exit code when no log line names the request."""

_LINES_DROPPED_EVENT = "log lines left out"
_OMITTED_FIELDS = frozenset(
    {"request_id", "time", "event", "level", "instance", "spans"}
)


@attrs.define
class RequestHistory:
    """Log lines about one request, and counts of those that may be missing."""

    lines: list[dict[str, Any]] = attrs.field(factory=list)
    """Decoded log lines that name the request, in order of time."""

    unreadable_lines: int = 0
    """Number of non-empty input lines that could not be decoded."""

    dropped_lines: dict[str, int] = attrs.field(factory=dict)
    """Total of log lines dropped by each instance, as it last reported."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `explain`."""
    parser.add_argument(
        "request_id", help="identity of the request; log lines come on stdin"
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints the log lines about a request.

    Returns:
        0, or `EXIT_NOT_FOUND` when no line names the request.
    """
    history = read_history(sys.stdin, arguments.request_id)
    for line in format_history(history):
        sys.stdout.write(line + "\n")
    return 0 if history.lines else EXIT_NOT_FOUND


def read_history(lines: Iterable[str], request_id: str) -> RequestHistory:
    """Collects the log lines about a request.

    Args:
        lines: JSON log lines of any number of instances; text before the
            first brace of a line is ignored.
        request_id: Request id to look for.
    """
    history = RequestHistory()
    for line in lines:
        if not line.strip():
            continue
        fields = _decode(line)
        if fields is None:
            history.unreadable_lines += 1
        elif fields.get("request_id") == request_id:
            history.lines.append(fields)
        elif fields.get("event") == _LINES_DROPPED_EVENT:
            instance = str(fields.get("instance"))
            history.dropped_lines[instance] = int(fields.get("total", 0))
    history.lines.sort(key=lambda fields: str(fields.get("time", "")))
    return history


def format_history(history: RequestHistory) -> list[str]:
    """Returns the history of a request as lines of text."""
    output = []
    for fields in history.lines:
        output.append(_format_line(fields))
        if "ahead" in fields:
            output.append(_format_decision(fields))
        output += _format_spans(fields.get("spans"))
    if not output:
        output.append("no line names this request")
        output.append(
            "ordinary successes are logged one in 64; all else always, unless "
            "left out below"
        )
    for instance, total in sorted(history.dropped_lines.items()):
        output.append(f"missing: {instance} left out {total} lines")
    if history.unreadable_lines:
        output.append(f"unreadable lines: {history.unreadable_lines}")
    return output


def _decode(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) else None


def _format_line(fields: dict[str, Any]) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _OMITTED_FIELDS
    )
    return (
        f"{fields.get('time', '?')} {fields.get('instance', '?')} "
        f"{fields.get('event', '?')}: {details}"
    )


def _format_decision(fields: dict[str, Any]) -> str:
    """Returns what decided on a refused request as a line of text."""
    customer = fields.get("customer") or "unknown"
    return (
        f"    {fields.get('decided_by', '?')}: {fields['ahead']} requests of "
        f"{fields.get('service', '?')} go before priority "
        f"{fields.get('priority', '?')} of customer {customer}; they take "
        f"{fields.get('wait_s', '?')} s, and it has "
        f"{fields.get('left_s', '?')} s to wait"
    )


def _format_spans(spans: object) -> list[str]:
    """Returns one indented line of text for each span of a request."""
    if not isinstance(spans, list):
        return []
    return [
        "    " + " ".join(f"{name}={value}" for name, value in span.items())
        for span in spans
        if isinstance(span, dict)
    ]
