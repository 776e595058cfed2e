"""Heads of HTTP/1.1 messages: which headers go on, and their bytes."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from aiohttp import hdrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from multidict import CIMultiDictProxy

    HeaderPairs = Iterable[tuple[str, str]]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Lower-case names that end at this hop, with those of the framing."""


_CACHED_NAMES = 1024
"""Spellings of header names that are remembered."""


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}"
    for status in http.HTTPStatus
}


class HeaderInjectionError(ValueError):
    """A header name or value holds a line end or a null character."""


class _KeptNames(dict[str, bool]):
    """Whether a header of some name goes on; worked out once a spelling."""

    def __init__(self, dropped: frozenset[str]) -> None:
        super().__init__()
        self._dropped = dropped

    def __missing__(self, name: str) -> bool:
        is_kept = name.lower() not in self._dropped
        if len(self) < _CACHED_NAMES:
            self[name] = is_kept
        return is_kept


class HeaderFilter:
    """Picks the headers that travel on to the next hop.

    Framing headers are left out, since each hop frames the body anew.

    Args:
        names: Names of further headers that are left out.
    """

    def __init__(self, *names: str) -> None:
        self._dropped = _HOP_BY_HOP.union(name.lower() for name in names)
        self._kept = _KeptNames(self._dropped)

    def apply(self, headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
        """Returns the names and values that travel on.

        Args:
            headers: Headers as received.
        """
        if hdrs.CONNECTION in headers:
            return self._apply_named(headers)
        kept = self._kept
        return [pair for pair in headers.items() if kept[pair[0]]]

    def _apply_named(
        self, headers: CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        tokens = ",".join(headers.getall(hdrs.CONNECTION)).lower().split(",")
        dropped = self._dropped.union(token.strip() for token in tokens)
        return [
            pair for pair in headers.items() if pair[0].lower() not in dropped
        ]


_END_TO_END = HeaderFilter()


def end_to_end(headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
    """Returns the headers that travel on to the next hop.

    Args:
        headers: Headers as received.
    """
    return _END_TO_END.apply(headers)


def head_bytes(first_line: str, headers: HeaderPairs) -> bytes:
    """Returns the bytes of a head, without the empty line that ends it.

    Args:
        first_line: Request line or status line without its line end.
        headers: Names and values.

    Raises:
        HeaderInjectionError: A line end or null character inside a line.
    """
    lines = [first_line]
    lines += [name + ": " + value for name, value in headers]
    lines.append("")
    text = "\r\n".join(lines)
    line_ends = len(lines) - 1
    if (
        text.count("\n") != line_ends
        or text.count("\r") != line_ends
        or "\0" in text
    ):
        raise HeaderInjectionError(first_line)
    return text.encode("utf-8", "surrogateescape")


def status_line(status: int) -> str:
    """Returns the status line of an answer without its line end."""
    return _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Status"
