"""HTTP headers and status codes used with callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from multidict import CIMultiDictProxy

REQUEST_ID = "Request-Id"
"""Request and response: identifies one attempt of the caller."""

DEADLINE = "Request-Deadline"
"""Request: milliseconds for which the sender waits for the response."""

TARGET = "Target-Instance"
"""Request: name of the only backend server that may run it."""

CUSTOMER = "Tenant"
"""Request to a backend server: name of the customer that the caller belongs
to."""

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

CHALLENGE = (hdrs.WWW_AUTHENTICATE, "Bearer")
"""Response with status 401: how callers send their API key."""

KEEP_ALIVE = "Keep-Alive"
"""Response: parameters of a persistent connection, such as its idle timeout."""

MISDIRECTED = 421
"""Status of a backend server that is not the one in `Target-Instance`."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

_MS_PER_S = 1000.0
_KEY_SCHEME = "bearer"
_CREDENTIALS = frozenset({hdrs.AUTHORIZATION.lower(), CUSTOMER.lower()})
"""Names, in lower case, of the headers that say who the caller is."""
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


def read_api_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Returns the caller's API key, or None if it sent none.

    Several keys in one request count as none.
    """
    values = headers.getall(hdrs.AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    return key.strip() or None if scheme.lower() == _KEY_SCHEME else None


def split_credentials(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[tuple[str, str], ...], tuple[tuple[str, str], ...]]:
    """Separates the headers that say who the caller is from all others.

    Args:
        headers: Names and values of a request's headers.

    Returns:
        The other headers, and those with the caller's API key or customer.
    """
    others: list[tuple[str, str]] = []
    credentials: list[tuple[str, str]] = []
    for pair in headers:
        is_other = pair[0].lower() not in _CREDENTIALS
        (others if is_other else credentials).append(pair)
    return tuple(others), tuple(credentials)


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
