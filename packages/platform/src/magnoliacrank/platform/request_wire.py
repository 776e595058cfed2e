"""Header names and status codes of requests to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST_ID = "Request-Id"
"""Identity of one attempt of a caller."""

DEADLINE = "Request-Deadline"
"""Milliseconds for which the sender of a request waits."""

TARGET = "Target-Instance"
"""Identity of the only backend server that may run a request."""

NOT_EXECUTED = "Not-Executed"
"""Present when a backend server states that it did not run a request."""

SIGNATURE = "Response-Signature"
"""Present on answers that a backend server computed."""

INSTANCE_ID = "Instance-Id"
"""Identity of the answering backend server."""

SERVER_LOAD = "Server-Load"
"""Running, waiting, slots, and pace of a backend server."""

WARMUP_REMAINING = "Warmup-Remaining"
"""How long a backend server stays cold."""

RETRY_AFTER = "Retry-After"
"""Seconds after which a caller may come back; may include fractions."""

KEEP_ALIVE = "Keep-Alive"
"""Parameters of a kept connection."""

MISDIRECTED = 421
"""Status of a backend server that is not the one named."""

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

_MS_PER_S = 1000.0
_TIMEOUT_PARAMETER = "timeout="


def read_deadline_s(headers: Mapping[str, str]) -> float | None:
    """Returns the seconds that a caller waits, or None when it tells none."""
    text = headers.get(DEADLINE, "").strip()
    if not (text.isascii() and text.isdigit()):
        return None
    return int(text) / _MS_PER_S


def format_deadline(left_s: float) -> str:
    """Returns the value of the deadline header."""
    return str(max(int(left_s * _MS_PER_S), 1))


def is_not_executed(status: int, headers: Mapping[str, str]) -> bool:
    """Whether a backend server states that it did not run a request."""
    return status == MISDIRECTED or NOT_EXECUTED in headers


def read_keep_alive_s(headers: Mapping[str, str]) -> float | None:
    """Returns the idle timeout that a backend server states, if it does."""
    for part in headers.get(KEEP_ALIVE, "").split(","):
        text = part.strip().lower()
        if text.startswith(_TIMEOUT_PARAMETER):
            value = text.removeprefix(_TIMEOUT_PARAMETER)
            return float(value) if value.isdigit() else None
    return None
