"""HTTP headers and status codes used with callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_ID = "Request-Id"
"""Request and response: identifies one attempt of the caller."""

DEADLINE = "Request-Deadline"
"""Request: milliseconds for which the sender waits for the response."""

TARGET = "Target-Instance"
"""Request: name of the only backend server that may run it."""

NOT_EXECUTED = "Not-Executed"
"""Response: present if the backend server did not run the request."""

SIGNATURE = "Response-Signature"
"""Response: present if the backend server itself computed the response."""

INSTANCE_ID = "Instance-Id"
"""Response: name of the backend server that answered."""

SERVER_LOAD = "Server-Load"
"""Response: running requests, waiting requests, slots and pace of the server.

The pace may be missing. At a pace of 100 work takes its usual time, at 200
twice that time.
"""

WARMUP_REMAINING = "Warmup-Remaining"
"""Response: time until the backend server is warm."""

RETRY_AFTER = "Retry-After"
"""Response: seconds after which the caller may retry; may be a fraction."""

KEEP_ALIVE = "Keep-Alive"
"""Response: parameters of a persistent connection, such as its idle timeout."""

MISDIRECTED = 421
"""Status of a backend server that is not the one in `Target-Instance`."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

_MS_PER_S = 1000.0
_TIMEOUT_PARAMETER = "timeout="


def read_deadline_s(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds that the caller waits, or None if not stated.

    A value of more than nine digits, over eleven days, sets no limit.
    """
    left_ms = wire_values.parse_count(headers.get(DEADLINE, "").strip())
    return None if left_ms is None else left_ms / _MS_PER_S


def format_deadline(left_s: float) -> str:
    """Returns the deadline header's value for the seconds that are left."""
    return str(max(int(left_s * _MS_PER_S), 1))


def is_not_executed(status: int, headers: Mapping[str, str]) -> bool:
    """Returns whether a response states that the request did not run."""
    return status == MISDIRECTED or NOT_EXECUTED in headers


def read_keep_alive_s(headers: Mapping[str, str]) -> float | None:
    """Returns the idle timeout in a response's headers, in seconds, or None."""
    for part in headers.get(KEEP_ALIVE, "").split(","):
        text = part.strip().lower()
        if text.startswith(_TIMEOUT_PARAMETER):
            seconds = wire_values.parse_count(
                text.removeprefix(_TIMEOUT_PARAMETER)
            )
            return None if seconds is None else float(seconds)
    return None
