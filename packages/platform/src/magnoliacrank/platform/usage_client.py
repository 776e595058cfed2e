"""UsageClient: reports customers' usage to the platform."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import aiohttp
import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

DUTY = "usage_report"
"""Name of the duty in the settings."""

PATH = "/usage"
"""Path of the platform's interface for usage reports."""

HOLDER = "Duty-Holder"
"""Request header: name of the instance that holds the duty."""

TOKEN = "Fencing-Token"
"""Request header: number that rises when the holder changes."""

WINDOW = "window"
"""Field of a report: number of the window."""

COUNTS = "counts"
"""Field of a report: number of requests by customer."""

_HEADERS = {"Content-Type": "application/json"}


class UsageResult(enum.Enum):
    """Result of reporting the usage of a window."""

    ACCEPTED = "accepted"
    """The platform accepted the report."""

    FENCED = "fenced"
    """The platform has seen a higher fencing token."""

    THROTTLED = "throttled"
    """Too many calls; nothing was done."""

    UNAVAILABLE = "unavailable"
    """The call was not executed; it may be repeated."""

    UNKNOWN = "unknown"
    """No answer arrived; the call may be executed, also later."""

    REFUSED = "refused"
    """The platform refuses this report for good."""


_RESULTS = {
    200: UsageResult.ACCEPTED,
    409: UsageResult.FENCED,
    429: UsageResult.THROTTLED,
}


def encode_report(window: int, counts: Mapping[str, int]) -> bytes:
    """Encodes a report; equal reports have equal bytes.

    Args:
        window: Number of the window.
        counts: Number of requests by customer.
    """
    return msgspec.json.encode({WINDOW: window, COUNTS: dict(counts)})


def decode_counts(content: str) -> dict[str, int]:
    """Returns the number of requests by customer in an encoded report."""
    counts: dict[str, int] = msgspec.json.decode(content)[COUNTS]
    return counts


class UsageClient:
    """Client of the platform's interface for usage reports.

    Args:
        address: Host and TCP port of the interface.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        host, port = address
        self._url = f"http://{host}:{port}{PATH}"
        self._session: aiohttp.ClientSession | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._calls

    async def start(self) -> None:
        """Opens the client; connections are made by the calls."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes the client and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def report(
        self, holder: str, token: int, content: bytes, timeout_s: float
    ) -> UsageResult:
        """Sends one report; never raises an exception for a failed call.

        Args:
            holder: Name of this instance.
            token: Fencing token of this instance.
            content: The encoded report.
            timeout_s: Longest time for the answer, in seconds.
        """
        if self._session is None:
            return UsageResult.UNAVAILABLE
        self._calls += 1
        try:
            async with self._session.post(
                self._url,
                data=content,
                headers={**_HEADERS, HOLDER: holder, TOKEN: str(token)},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                status = answer.status
        except aiohttp.ClientConnectorError:
            return UsageResult.UNAVAILABLE
        except (aiohttp.ClientError, TimeoutError, OSError):
            return UsageResult.UNKNOWN
        if status >= 500:
            # Unlike the store, this interface doesn't state that a call with
            # such an answer was not executed.
            return UsageResult.UNKNOWN
        return _RESULTS.get(status, UsageResult.REFUSED)
