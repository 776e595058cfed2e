"""Heads of HTTP/1.1 messages: which headers go on, and their bytes."""

from __future__ import annotations

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


class HeaderInjectionError(ValueError):
    """A header name or value holds a line end or a null character."""


def end_to_end(headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
    """Returns the headers that travel on to the next hop.

    Framing headers are left out, since each hop frames the body anew.

    Args:
        headers: Headers as received.
    """
    dropped = _HOP_BY_HOP
    named = headers.get(hdrs.CONNECTION)
    if named is not None:
        tokens = ",".join(headers.getall(hdrs.CONNECTION)).lower().split(",")
        dropped = dropped.union(token.strip() for token in tokens)
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    ]


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
