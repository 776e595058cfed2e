"""Message framing of answers: where a body ends, and bytes beyond its end."""

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
_FINAL_STATUSES = range(200, 600)
"""Statuses that HTTP defines for final answers."""

_VERSIONS = (http.HttpVersion11, http.HttpVersion10)


@attrs.frozen
class Frame:
    """How the end of an answer's body is recognised."""

    length: int | None
    """Length of the body in bytes, None if chunked or close-delimited."""

    is_close_delimited: bool = False
    """Whether the body ends when the server closes the connection."""


_EMPTY = Frame(0)
_CHUNKED = Frame(None)
_CLOSE_DELIMITED = Frame(None, is_close_delimited=True)


def is_interim(message: http_parser.RawResponseMessage) -> bool:
    """Whether an answer is interim (1xx), so that a final answer follows.

    Status 101 doesn't count: after it the connection changes its protocol.
    """
    return 100 <= message.code < 200 and message.code != 101


def read_frame(
    message: http_parser.RawResponseMessage,
    *,
    is_head_request: bool,
    allows_close_delimited: bool = False,
) -> Frame | None:
    """Returns the framing of an answer, or None if it can't be trusted.

    None stands for a protocol upgrade, an undefined status, an unsupported
    HTTP version or transfer coding, a length together with a transfer coding,
    and for an answer with neither of them if `allows_close_delimited` is
    false.

    Args:
        message: Parsed head of the answer.
        is_head_request: Whether the request's method is HEAD, so that no
            body follows.
        allows_close_delimited: Whether an answer without a length may be
            close-delimited. If a server can fail between two writes, a whole
            answer of this kind can't be told from a truncated one.
    """
    if (
        message.code not in _FINAL_STATUSES
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
        return _CLOSE_DELIMITED if allows_close_delimited else None
    return Frame(int(length))


class TrailingBytesDetector:
    """Detects bytes after the end of an answer.

    The parser doesn't report such bytes. In doubt they are assumed to be
    there, which costs no more than the reuse of the connection.
    """

    __slots__ = ("_bytes_after_head", "_tail")

    def __init__(self) -> None:
        self._bytes_after_head = -1
        self._tail = b""

    def reset(self) -> None:
        """Forgets the bytes so far; the next ones begin a new answer."""
        self._bytes_after_head = -1
        self._tail = b""

    def add(self, data: bytes) -> None:
        """Counts received bytes.

        Args:
            data: Bytes as they came from the transport.
        """
        if self._bytes_after_head < 0:
            end = data.find(_HEAD_END)
            if end >= 0:
                self._bytes_after_head = len(data) - end - len(_HEAD_END)
        else:
            self._bytes_after_head += len(data)
        if len(data) >= len(_LAST_CHUNK):
            self._tail = data[-len(_LAST_CHUNK) :]
        else:
            self._tail = (self._tail + data)[-len(_LAST_CHUNK) :]

    def has_no_trailing_bytes(self, body_length: int | None) -> bool:
        """Whether no bytes followed the end of the answer.

        Args:
            body_length: Length of the body in bytes, None if chunked.
        """
        if body_length is None:
            return self._tail == _LAST_CHUNK
        return self._bytes_after_head == body_length
