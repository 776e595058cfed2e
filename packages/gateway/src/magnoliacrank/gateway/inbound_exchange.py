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
    from collections.abc import Callable

    from aiohttp import http_parser
    from multidict import CIMultiDictProxy

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_COALESCED_BYTES = 65536
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_LENGTH_LINE = b"Content-Length: %d\r\n"
_CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
_CLOSE_LINE = b"Connection: close\r\n"
_KEEP_ALIVE_LINE = b"Connection: keep-alive\r\n"
_HEAD_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class CallerLink(Protocol):
    """What an exchange needs from the connection that received it."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current answer."""

    def close_after_answer(self) -> None:
        """Makes the connection close after the current answer."""

    def send(self, data: bytes) -> None:
        """Writes bytes to the caller."""

    def abort_connection(self) -> None:
        """Closes the connection at once; bytes not yet sent are dropped."""

    async def wait_writable(self) -> None:
        """Waits while the transport's write buffer is over its limit."""

    def new_future(self) -> asyncio.Future[None]:
        """Returns a new future that belongs to the connection's event loop."""


class AnswerState(enum.IntEnum):
    """Progress of the answer to a request."""

    PENDING = 0
    """The answer hasn't been started."""

    STARTED = 1
    """Status and headers are set; the body may be incomplete."""

    FINISHED = 2
    """The whole answer was written."""

    ABORTED = 3
    """The connection was closed before the end of the answer."""


class MessageFraming(enum.IntEnum):
    """How the caller recognises the end of the answer's body."""

    NONE = 0
    """The answer has no body."""

    LENGTH = 1
    """By a Content-Length header."""

    CHUNKED = 2
    """By the last chunk of the chunked transfer coding."""

    CLOSE = 3
    """By the closing of the connection."""


class InboundExchange:
    """One request of a caller: its head, its body and the answer.

    An answer is either finished completely, or ended by aborting the caller's
    connection, so that the caller can't mistake a partial answer for a complete
    one.

    Args:
        connection: Connection that received the request.
        message: Parsed head of the request.
        payload: Stream from which the request body is read.
        received_s: Time at which the head arrived, from `time.monotonic()`.

    Attributes:
        method: HTTP method.
        target: Path and query of the request, without scheme and host.
        path: Path of the target, without the query.
        headers: Headers as received.
        received_s: Time at which the head arrived, from `time.monotonic()`.
    """

    __slots__ = (
        "_answer_state",
        "_caller_gone",
        "_connection",
        "_expects_continue",
        "_head",
        "_is_caller_gone",
        "_message",
        "_message_framing",
        "_payload",
        "_remaining_bytes",
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
        self._is_caller_gone = False
        self._expects_continue = hdrs.EXPECT in message.headers
        self._head = b""
        self._message_framing = MessageFraming.NONE
        self._remaining_bytes = 0
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
        """Progress of the answer."""
        return self._answer_state

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller's connection has closed."""
        return self._is_caller_gone

    @property
    def caller_gone(self) -> asyncio.Future[None]:
        """Future that completes when the caller's connection closes."""
        if self._caller_gone is None:
            self._caller_gone = self._connection.new_future()
            if self._is_caller_gone:
                self._caller_gone.set_result(None)
        return self._caller_gone

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits for "100 Continue" before it sends the body.

        True for a request with an Expect header whose body hasn't been read.
        """
        return self._expects_continue

    async def read_chunk(self) -> bytes | body.BodyFailure:
        """Returns the next bytes of the request body, or why it failed.

        The result is empty at the end of the body. The first call sends
        "100 Continue" if the caller waits for it.
        """
        payload = self._payload
        try:
            if payload.is_eof():
                return payload.read_nowait()
            self._send_continue()
            return await payload.readany()
        except body.BodyFailureError as error:
            return error.failure

    async def read_body(
        self,
        limit: int,
        try_take: Callable[[int], bool] = lambda _: True,
    ) -> bytes | body.BodyTooLarge | body.BodyFailure:
        """Returns the whole request body.

        Args:
            limit: Maximum size of the body in bytes.
            try_take: Reserves memory for a number of further bytes; returns
                whether there was enough. Called for each part of a body whose
                length isn't stated.

        Returns:
            The body, or why it could not be read.
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
            if length is None and not try_take(len(chunk)):
                return body.NO_MEMORY
            chunks.append(chunk)

    def start_answer(
        self,
        status: int,
        headers: framing.HeaderPairs,
        length: int | None = None,
    ) -> None:
        """Begins the answer; its head is sent with the first body bytes.

        Does nothing if an answer was begun before.

        Args:
            status: HTTP status.
            headers: Names and values, without the framing headers, which are
                added here.
            length: Length of the body in bytes, or None if unknown.

        Raises:
            framing.HeaderInjectionError: A header contains a line end or a
                null character.
        """
        if self._answer_state is not AnswerState.PENDING:
            return
        head = framing.encode_head(framing.status_line(status), headers)
        self._message_framing = self._choose_message_framing(status, length)
        if self._message_framing is MessageFraming.CHUNKED:
            head += _CHUNKED_LINE
        elif length is not None and status != 204:
            head += _LENGTH_LINE % length
            self._remaining_bytes = length
        self._answer_state = AnswerState.STARTED
        self._head = head + self._connection_header() + _HEAD_END

    async def write(self, chunk: bytes) -> None:
        """Sends bytes of the answer's body, at the pace of the caller.

        A body that exceeds the stated length aborts the answer.

        Args:
            chunk: Bytes without framing.
        """
        if self._answer_state is not AnswerState.STARTED or not chunk:
            return
        if self._message_framing is MessageFraming.NONE:
            return
        if self._message_framing is MessageFraming.LENGTH:
            self._remaining_bytes -= len(chunk)
            if self._remaining_bytes < 0:
                self.abort()
                return
        elif self._message_framing is MessageFraming.CHUNKED:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self._send(chunk)
        await self._connection.wait_writable()

    async def finish(self) -> None:
        """Ends the answer; one that is shorter than stated is aborted.

        Returns after the event loop had a turn to pass the bytes to the
        kernel, so that later work of the handler doesn't delay the caller.
        """
        if self._answer_state is not AnswerState.STARTED:
            return
        if (
            self._message_framing is MessageFraming.LENGTH
            and self._remaining_bytes
        ):
            self.abort()
            return
        if self._message_framing is MessageFraming.CHUNKED:
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
            headers: Names and values, without the framing headers.
            content: Body of the answer.

        Raises:
            framing.HeaderInjectionError: A header contains a line end or a
                null character.
        """
        self.start_answer(status, headers, len(content))
        await self.write(content)
        await self.finish()

    def abort(self) -> None:
        """Closes the caller's connection, so that the answer looks broken.

        Does nothing after the answer was finished.
        """
        if self._answer_state is AnswerState.FINISHED:
            return
        self._answer_state = AnswerState.ABORTED
        self._connection.abort_connection()

    def on_caller_gone(self) -> None:
        """Completes `caller_gone` and fails a body that isn't whole."""
        self._is_caller_gone = True
        if self._caller_gone is not None and not self._caller_gone.done():
            self._caller_gone.set_result(None)
        self.fail_body(body.CALLER_GONE)

    def fail_body(self, failure: body.BodyFailure) -> None:
        """Makes the reader of the request body fail.

        Does nothing if the whole body has arrived.

        Args:
            failure: Result that the reader gets.
        """
        if not self._payload.is_eof():
            self._payload.set_exception(body.BodyFailureError(failure))

    def _send_continue(self) -> None:
        if self._expects_continue:
            self._expects_continue = False
            if self._answer_state is AnswerState.PENDING:
                self._connection.send(_CONTINUE)

    def _choose_message_framing(
        self, status: int, length: int | None
    ) -> MessageFraming:
        if self.method == hdrs.METH_HEAD or status in _STATUSES_WITHOUT_BODY:
            return MessageFraming.NONE
        if length is not None:
            return MessageFraming.LENGTH
        if self._message.version is http.HttpVersion11:
            return MessageFraming.CHUNKED
        self._connection.close_after_answer()
        return MessageFraming.CLOSE

    def _connection_header(self) -> bytes:
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
            if len(chunk) <= _MAX_COALESCED_BYTES:
                self._connection.send(head + chunk)
                return
            self._connection.send(head)
        self._connection.send(chunk)
