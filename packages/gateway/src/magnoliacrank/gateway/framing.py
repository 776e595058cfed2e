"""Heads of HTTP/1.1 messages: filtering of headers, and encoding to bytes."""

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
"""Hop-by-hop and framing headers, in lower case; these are not forwarded."""


_MAX_CACHED_NAMES = 1024
"""Header names per filter, in the received spelling, that are cached; the
bound keeps callers from filling the memory with invented names."""


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}"
    for status in http.HTTPStatus
}


class HeaderInjectionError(ValueError):
    """A header name or value contains a line end or a null character."""


class _ForwardedNames(dict[str, bool]):
    """Cache from header names, in any spelling, to whether they are forwarded.

    Args:
        dropped: Names in lower case that are not forwarded.
    """

    def __init__(self, dropped: frozenset[str]) -> None:
        super().__init__()
        self._dropped = dropped

    def __missing__(self, name: str) -> bool:
        is_forwarded = name.lower() not in self._dropped
        if len(self) < _MAX_CACHED_NAMES:
            self[name] = is_forwarded
        return is_forwarded


class HeaderFilter:
    """Selects the headers that are forwarded to the next hop.

    Hop-by-hop headers are dropped, and so are framing headers, since each hop
    frames the body anew.

    Args:
        names: Names of further headers to drop, in upper or lower case.
    """

    def __init__(self, *names: str) -> None:
        self._dropped = _HOP_BY_HOP.union(name.lower() for name in names)
        self._forwarded_names = _ForwardedNames(self._dropped)

    def apply(self, headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
        """Returns the names and values of the headers to forward.

        Headers that are named in a Connection header are dropped too.

        Args:
            headers: Headers as received.
        """
        if hdrs.CONNECTION in headers:
            return self._apply_with_connection_header(headers)
        is_forwarded = self._forwarded_names
        return [pair for pair in headers.items() if is_forwarded[pair[0]]]

    def _apply_with_connection_header(
        self, headers: CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        tokens = ",".join(headers.getall(hdrs.CONNECTION)).lower().split(",")
        dropped = self._dropped.union(token.strip() for token in tokens)
        return [
            pair for pair in headers.items() if pair[0].lower() not in dropped
        ]


_END_TO_END = HeaderFilter()


def end_to_end(headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
    """Returns the end-to-end headers, which are forwarded to the next hop.

    Args:
        headers: Headers as received.

    Returns:
        Names and values without hop-by-hop and framing headers.
    """
    return _END_TO_END.apply(headers)


def encode_head(first_line: str, headers: HeaderPairs) -> bytes:
    """Encodes the head of a message, without the empty line that ends it.

    Args:
        first_line: Request line or status line without its line end.
        headers: Names and values.

    Returns:
        The encoded lines, each with its line end.

    Raises:
        HeaderInjectionError: The first line or a header contains a line end
            or a null character.
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
    """Returns the status line of an answer without its line end.

    Args:
        status: HTTP status; an unregistered one gets the phrase "Status".
    """
    return _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Status"
