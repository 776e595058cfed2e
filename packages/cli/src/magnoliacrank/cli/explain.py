"""The `explain` command: prints the story of one request from log lines."""

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
"""Exit code when no line names the request."""

_LEFT_OUT = "log lines left out"
_OMITTED = frozenset(
    {"request_id", "time", "event", "level", "instance", "spans"}
)


@attrs.define
class Story:
    """Lines about one request, and what may be missing."""

    lines: list[dict[str, Any]] = attrs.field(factory=list)
    """Lines that name the request, by time."""

    unreadable: int = 0
    """Lines that are not log lines."""

    left_out: dict[str, int] = attrs.field(factory=dict)
    """Instances that left lines out, with how many."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `explain`."""
    parser.add_argument(
        "request_id", help="identity of the request; log lines come on stdin"
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints the story of a request; returns the exit code."""
    story = read_story(sys.stdin, arguments.request_id)
    for line in format_story(story):
        sys.stdout.write(line + "\n")
    return 0 if story.lines else EXIT_NOT_FOUND


def read_story(lines: Iterable[str], request_id: str) -> Story:
    """Collects the lines about a request.

    Args:
        lines: Log lines of any number of instances; text before a line's
            first brace is passed over.
        request_id: Identity of the request.
    """
    story = Story()
    for line in lines:
        if not line.strip():
            continue
        fields = _decode(line)
        if fields is None:
            story.unreadable += 1
        elif fields.get("request_id") == request_id:
            story.lines.append(fields)
        elif fields.get("event") == _LEFT_OUT:
            instance = str(fields.get("instance"))
            story.left_out[instance] = int(fields.get("total", 0))
    story.lines.sort(key=lambda fields: str(fields.get("time", "")))
    return story


def format_story(story: Story) -> list[str]:
    """Returns the story as lines of text."""
    found = []
    for fields in story.lines:
        found.append(_format(fields))
        found += _format_spans(fields.get("spans"))
    if not found:
        found.append("no line names this request")
        found.append(
            "ordinary successes are logged one in 64; all else always, unless "
            "left out below"
        )
    for instance, total in sorted(story.left_out.items()):
        found.append(f"missing: {instance} left out {total} lines")
    if story.unreadable:
        found.append(f"unreadable lines: {story.unreadable}")
    return found


def _decode(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) else None


def _format(fields: dict[str, Any]) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _OMITTED
    )
    return (
        f"{fields.get('time', '?')} {fields.get('instance', '?')} "
        f"{fields.get('event', '?')}: {details}"
    )


def _format_spans(spans: object) -> list[str]:
    """Returns a line for each span, indented below the line of the request."""
    if not isinstance(spans, list):
        return []
    return [
        "    " + " ".join(f"{name}={value}" for name, value in span.items())
        for span in spans
        if isinstance(span, dict)
    ]
