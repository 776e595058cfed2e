"""Whether an answer's frame is sound and all of its bytes accounted for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http

if TYPE_CHECKING:
    from aiohttp import http_parser

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_VERSIONS = (http.HttpVersion11, http.HttpVersion10)


def is_interim(message: http_parser.RawResponseMessage) -> bool:
    """Whether a final answer follows this one."""
    return 100 <= message.code < 200 and message.code != 101


def has_body(
    message: http_parser.RawResponseMessage, *, is_head_request: bool
) -> bool:
    """Whether a body follows the head."""
    return not is_head_request and message.code not in _STATUSES_WITHOUT_BODY


def is_sound(
    message: http_parser.RawResponseMessage, *, is_head_request: bool
) -> bool:
    """Whether the end of the answer can be told from its frame.

    An answer that ends where its connection ends is not sound, since nobody
    could tell a whole one from a cut one.
    """
    if message.code == 101 or message.upgrade:
        return False
    if message.version not in _VERSIONS:
        return False
    headers = message.headers
    has_length = hdrs.CONTENT_LENGTH in headers
    if hdrs.TRANSFER_ENCODING in headers:
        coding = headers[hdrs.TRANSFER_ENCODING].lower()
        return coding == "chunked" and not has_length
    if has_length:
        return True
    return not has_body(message, is_head_request=is_head_request)


class ByteAccount:
    """Tells whether bytes came after the end of an answer.

    The parser keeps such bytes to itself. Whatever can't be accounted for
    exactly counts as too much, and costs the connection and no more.
    """

    __slots__ = ("_after_head", "_tail")

    def __init__(self) -> None:
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
