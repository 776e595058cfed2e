"""Whether an answer's frame is sound and all of its bytes accounted for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http
import attrs

if TYPE_CHECKING:
    from aiohttp import http_parser

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_VERSIONS = (http.HttpVersion11, http.HttpVersion10)


@attrs.frozen
class Frame:
    """How the end of an answer's body is told."""

    length: int | None
    """Length of the body in bytes, None for chunks."""

    ends_with_connection: bool = False
    """Whether the server's close is the end of the body."""


_EMPTY = Frame(0)
_CHUNKED = Frame(None)
_UNTIL_CLOSE = Frame(None, ends_with_connection=True)


def is_interim(message: http_parser.RawResponseMessage) -> bool:
    """Whether a final answer follows this one."""
    return 100 <= message.code < 200 and message.code != 101


def read_frame(
    message: http_parser.RawResponseMessage,
    *,
    is_head_request: bool,
    allows_close: bool = False,
) -> Frame | None:
    """Returns the frame of an answer, or None for one that is not sound.

    Args:
        message: The parsed head.
        is_head_request: Whether no body follows in any case.
        allows_close: Whether an orderly close may end an answer that has no
            length. Where a server may fail between two writes, nobody could
            tell a whole answer of this kind from a cut one.
    """
    if (
        message.code == 101
        or message.upgrade
        or message.version not in _VERSIONS
    ):
        return None
    headers = message.headers
    length = headers.get(hdrs.CONTENT_LENGTH)
    coding = headers.get(hdrs.TRANSFER_ENCODING)
    if coding is not None and (
        length is not None or coding.lower() != "chunked"
    ):
        return None
    if is_head_request or message.code in _STATUSES_WITHOUT_BODY:
        return _EMPTY
    if coding is not None:
        return _CHUNKED
    if length is None:
        return _UNTIL_CLOSE if allows_close else None
    return Frame(int(length))


class ByteAccount:
    """Tells whether bytes came after the end of an answer.

    The parser keeps such bytes to itself. Whatever can't be accounted for
    exactly counts as too much, and costs the connection and no more.
    """

    __slots__ = ("_after_head", "_tail")

    def __init__(self) -> None:
        self._after_head = -1
        self._tail = b""

    def reset(self) -> None:
        """Begins with the next answer."""
        self._after_head = -1
        self._tail = b""

    def add(self, data: bytes) -> None:
        """Counts bytes as they arrive."""
        if self._after_head < 0:
            end = data.find(_HEAD_END)
            if end >= 0:
                self._after_head = len(data) - end - len(_HEAD_END)
        else:
            self._after_head += len(data)
        if len(data) >= len(_LAST_CHUNK):
            self._tail = data[-len(_LAST_CHUNK) :]
        else:
            self._tail = (self._tail + data)[-len(_LAST_CHUNK) :]

    def is_exact(self, body_length: int | None) -> bool:
        """Whether the last byte was the last one of the answer.

        Args:
            body_length: Length of the body in bytes, None for chunks.
        """
        if body_length is None:
            return self._tail == _LAST_CHUNK
        return self._after_head == body_length
