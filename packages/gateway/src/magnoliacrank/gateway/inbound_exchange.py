"""InboundExchange: one request of a caller and the answer to it."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING
from typing import Protocol

from aiohttp import hdrs
from aiohttp import http
from aiohttp import streams

from magnoliacrank.gateway import body
from magnoliacrank.gateway import framing

if TYPE_CHECKING:
    from aiohttp import http_parser
    from multidict import CIMultiDictProxy

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_JOIN_LIMIT_BYTES = 65536
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_LENGTH_LINE = b"Content-Length: %d\r\n"
_CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
_CLOSE_LINE = b"Connection: close\r\n"
_KEEP_ALIVE_LINE = b"Connection: keep-alive\r\n"
_HEAD_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class CallerLink(Protocol):
    """What an exchange needs of the connection on which it came."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current answer."""

    def close_after_answer(self) -> None:
        """Makes the connection close after the current answer."""

    def send(self, data: bytes) -> None:
        """Writes bytes towards the caller."""

    def cut(self) -> None:
        """Resets the connection at once."""

    async def drained(self) -> None:
        """Returns when more bytes may be written."""

    def new_future(self) -> asyncio.Future[None]:
        """Returns a future of the connection's event loop."""


class AnswerState(enum.IntEnum):
    """How far the answer has gone."""

    PENDING = 0
    STARTED = 1
    FINISHED = 2
    CUT = 3


class BodyMode(enum.IntEnum):
    """How the end of the answer's body is marked."""

    NONE = 0
    LENGTH = 1
    CHUNKED = 2
    CLOSE = 3


class InboundExchange:
    """One request of a caller: its head, its body and the answer.

    The answer is either finished whole or the caller's connection is cut, so
    that the caller can tell the two apart.
    """

    __slots__ = (
        "_answer_state",
        "_caller_gone",
        "_connection",
        "_expects_continue",
        "_head",
        "_is_gone",
        "_message",
        "_mode",
        "_payload",
        "_remaining",
        "headers",
        "method",
        "path",
        "received_s",
        "target",
    )

    def __init__(
        self,
        connection: CallerLink,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
        received_s: float,
    ) -> None:
        self._connection = connection
        self._message = message
        self._payload = payload
        self._answer_state = AnswerState.PENDING
        self._caller_gone: asyncio.Future[None] | None = None
        self._is_gone = False
        self._expects_continue = hdrs.EXPECT in message.headers
        self._head = b""
        self._mode = BodyMode.NONE
        self._remaining = 0
        target = message.path
        if target[0] != "/" and target != "*":
            target = message.url.raw_path_qs
        self.method = message.method
        self.target = target
        self.path = target.partition("?")[0]
        self.headers: CIMultiDictProxy[str] = message.headers
        self.received_s = received_s

    @property
    def body_length(self) -> int | None:
        """Length of the request body in bytes, None for a chunked body."""
        if self._message.chunked:
            return None
        return int(self.headers.get(hdrs.CONTENT_LENGTH, "0"))

    @property
    def is_body_whole(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._payload.is_eof()

    @property
    def answer_state(self) -> AnswerState:
        """How far the answer has gone."""
        return self._answer_state

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller's connection has closed."""
        return self._is_gone

    @property
    def caller_gone(self) -> asyncio.Future[None]:
        """Future that ends when the caller's connection closes."""
        if self._caller_gone is None:
            self._caller_gone = self._connection.new_future()
            if self._is_gone:
                self._caller_gone.set_result(None)
        return self._caller_gone

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller holds its body back until it is asked for."""
        return self._expects_continue

    async def read_chunk(self) -> bytes | body.BodyFailure:
        """Returns the next bytes of the body; empty at its end."""
        payload = self._payload
        try:
            if payload.is_eof():
                return payload.read_nowait()
            self._ask_for_body()
            return await payload.readany()
        except body.BodyFailureError as error:
            return error.failure

    async def read_body(
        self, limit: int
    ) -> bytes | body.BodyTooLarge | body.BodyFailure:
        """Returns the whole body.

        Args:
            limit: Largest body in bytes that is held in memory.

        Returns:
            The body, or why there is none.
        """
        if self._payload is streams.EMPTY_PAYLOAD:
            return b""
        length = self.body_length
        if length is not None and length > limit:
            return body.BodyTooLarge(limit)
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = await self.read_chunk()
            if isinstance(chunk, body.BodyFailure):
                return chunk
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > limit:
                return body.BodyTooLarge(limit)
            chunks.append(chunk)

    def start_answer(
        self,
        status: int,
        headers: framing.HeaderPairs,
        length: int | None = None,
    ) -> None:
        """Begins the answer; its head leaves with the first bytes.

        Args:
            status: HTTP status.
            headers: Names and values, without those of the framing.
            length: Length of the body in bytes, or None when unknown.
        """
        if self._answer_state is not AnswerState.PENDING:
            return
        head = framing.head_bytes(framing.status_line(status), headers)
        self._mode = self._choose_mode(status, length)
        if self._mode is BodyMode.CHUNKED:
            head += _CHUNKED_LINE
        elif length is not None and status != 204:
            head += _LENGTH_LINE % length
            self._remaining = length
        self._answer_state = AnswerState.STARTED
        self._head = head + self._connection_line() + _HEAD_END

    async def write(self, chunk: bytes) -> None:
        """Sends bytes of the answer's body; waits while the caller is slow."""
        if self._answer_state is not AnswerState.STARTED or not chunk:
            return
        if self._mode is BodyMode.NONE:
            return
        if self._mode is BodyMode.LENGTH:
            self._remaining -= len(chunk)
            if self._remaining < 0:
                self.abort()
                return
        elif self._mode is BodyMode.CHUNKED:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self._send(chunk)
        await self._connection.drained()

    async def finish(self) -> None:
        """Ends the answer; one that is shorter than announced is cut.

        Returns after the bytes were handed to the system, so that what the
        handler does afterwards delays no caller.
        """
        if self._answer_state is not AnswerState.STARTED:
            return
        if self._mode is BodyMode.LENGTH and self._remaining:
            self.abort()
            return
        if self._mode is BodyMode.CHUNKED:
            self._send(_LAST_CHUNK)
        elif self._head:
            self._send(b"")
        self._answer_state = AnswerState.FINISHED
        await asyncio.sleep(0)

    async def answer(
        self, status: int, headers: framing.HeaderPairs, content: bytes
    ) -> None:
        """Sends a whole answer.

        Args:
            status: HTTP status.
            headers: Names and values, without those of the framing.
            content: The body.
        """
        self.start_answer(status, headers, len(content))
        await self.write(content)
        await self.finish()

    def abort(self) -> None:
        """Cuts the answer, so that the caller sees that it is broken."""
        if self._answer_state is AnswerState.FINISHED:
            return
        self._answer_state = AnswerState.CUT
        self._connection.cut()

    def on_caller_gone(self) -> None:
        """The caller's connection closed."""
        self._is_gone = True
        if self._caller_gone is not None and not self._caller_gone.done():
            self._caller_gone.set_result(None)
        self.fail_body(body.CALLER_GONE)

    def fail_body(self, failure: body.BodyFailure) -> None:
        """Ends the request body early for its reader."""
        if not self._payload.is_eof():
            self._payload.set_exception(body.BodyFailureError(failure))

    def _ask_for_body(self) -> None:
        if self._expects_continue:
            self._expects_continue = False
            if self._answer_state is AnswerState.PENDING:
                self._connection.send(_CONTINUE)

    def _choose_mode(self, status: int, length: int | None) -> BodyMode:
        if self.method == hdrs.METH_HEAD or status in _STATUSES_WITHOUT_BODY:
            return BodyMode.NONE
        if length is not None:
            return BodyMode.LENGTH
        if self._message.version is http.HttpVersion11:
            return BodyMode.CHUNKED
        self._connection.close_after_answer()
        return BodyMode.CLOSE

    def _connection_line(self) -> bytes:
        connection = self._connection
        if not self._payload.is_eof():
            connection.close_after_answer()
        if connection.is_closing:
            return _CLOSE_LINE
        if self._message.version is http.HttpVersion10:
            return _KEEP_ALIVE_LINE
        return b""

    def _send(self, chunk: bytes) -> None:
        head = self._head
        if head:
            self._head = b""
            if len(chunk) <= _JOIN_LIMIT_BYTES:
                self._connection.send(head + chunk)
                return
            self._connection.send(head)
        self._connection.send(chunk)
