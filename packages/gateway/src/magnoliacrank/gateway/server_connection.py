"""ServerConnection: one HTTP/1.1 client connection to a backend server."""

from __future__ import annotations

import asyncio
import enum
import time
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser

from magnoliacrank.gateway import answer_framing
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import socket_options

if TYPE_CHECKING:
    from aiohttp import streams
    from multidict import CIMultiDictProxy

FailureKind = exchange_failure.FailureKind

_BUFFER_BYTES = 65536
_MAX_LINE_BYTES = 8190
_MAX_FIELD_BYTES = 32768
_MAX_HEADERS = 256

_MAX_NON_BODY_BYTES = 4 << 20
"""Maximum number of bytes received per exchange that don't belong to the
answer's body: heads, interim (1xx) answers, answers to earlier requests, and
chunk framing."""

_MAX_FIELD_SECTION_BYTES = 65536
"""Maximum size of a head, or of the trailers after a chunked body. The parser
keeps all of it in memory until its end."""

_MAX_SKIPPED_ANSWERS = 32
"""Maximum number of interim (1xx) answers and answers to earlier requests per
exchange."""

_MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
"""Further non-body bytes allowed for each byte of the body, in addition to
`_MAX_NON_BODY_BYTES`; a chunk of one byte has five bytes of framing."""


class State(enum.IntEnum):
    """State of a connection to a backend server."""

    IDLE = 0
    """Open, with no request in progress."""

    WAITING = 1
    """A request was sent; the answer's head hasn't arrived yet."""

    ANSWERING = 2
    """The answer's head has arrived, its body not yet completely."""

    WHOLE = 3
    """The whole answer has arrived; its reader hasn't released it yet."""

    CLOSED = 4
    """Closed; never used again."""


class Event(enum.IntEnum):
    """Event that changes the state of a connection."""

    SENT = 0
    """A request was sent."""

    HEAD = 1
    """The head of the final answer arrived."""

    END = 2
    """The last byte of the answer's body arrived."""

    RELEASED = 3
    """The reader of the answer is done with it."""

    RETIRED = 4
    """The connection was closed."""


_TRANSITIONS: dict[tuple[State, Event], State] = {
    (State.IDLE, Event.SENT): State.WAITING,
    (State.WAITING, Event.HEAD): State.ANSWERING,
    (State.ANSWERING, Event.END): State.WHOLE,
    (State.WHOLE, Event.RELEASED): State.IDLE,
    (State.IDLE, Event.RETIRED): State.CLOSED,
    (State.WAITING, Event.RETIRED): State.CLOSED,
    (State.ANSWERING, Event.RETIRED): State.CLOSED,
    (State.WHOLE, Event.RETIRED): State.CLOSED,
}
"""State after each event; pairs that are not listed can't occur."""


_EXCHANGE_STATES = frozenset({State.WAITING, State.ANSWERING})
"""States in which an answer, or the rest of it, is awaited."""


class AnswerHead:
    """Parsed head of an answer and the stream from which its body is read."""

    __slots__ = ("message", "payload")

    def __init__(
        self,
        message: http_parser.RawResponseMessage,
        payload: streams.StreamReader,
    ) -> None:
        self.message = message
        self.payload = payload


class AnswerFilter(Protocol):
    """Tells the answer to the current request from late, earlier answers."""

    def __call__(self, headers: CIMultiDictProxy[str], /) -> bool:
        """Whether an answer with these headers is for the current request."""


class ConnectionOwner(Protocol):
    """Callbacks of a connection to the pool that owns it."""

    def on_retired(self, connection: ServerConnection) -> None:
        """Called when the connection was closed and won't be used again."""

    def on_idle(self, connection: ServerConnection) -> None:
        """Called when the connection can carry another request."""

    def on_sent(self, connection: ServerConnection) -> None:
        """Called when a request was sent, with `deadline_s` already set."""


class ServerConnection(base_protocol.BaseProtocol):
    """One connection to a backend server; carries one request at a time.

    It is reused only after a whole answer that no further bytes followed.
    After a timeout, a cancellation, a truncated or malformed answer or
    unexpected bytes it is closed, so that a late answer is never taken for
    the answer to another request.

    Args:
        owner: Pool that owns the connection and gets its callbacks.
        loop: Event loop that runs the connection.
        allows_close_delimited: Whether an answer may be close-delimited, that
            is, end with an orderly close of the connection instead of a length.

    Attributes:
        opened_s: Time at which the connection opened, from
            `time.monotonic()`.
        last_received_s: Time at which the server last sent bytes of an answer,
            from `time.monotonic()`; the opening counts as the first time.
        sent_s: Time at which the latest request was sent, from
            `time.monotonic()`.
        deadline_s: Deadline of the latest request, compared with
            `time.monotonic()`.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        *,
        allows_close_delimited: bool = False,
    ) -> None:
        super().__init__(loop, None)
        self._owner = owner
        self._allows_close_delimited = allows_close_delimited
        self._answer_filter: AnswerFilter | None = None
        self._is_close_delimited = False
        self._was_reset = False
        self._state = State.IDLE
        self._head_future: asyncio.Future[
            AnswerHead | exchange_failure.ExchangeFailure
        ] = loop.create_future()
        self._payload: streams.StreamReader | None = None
        self._body_length: int | None = 0
        self._trailing_bytes = answer_framing.TrailingBytesDetector()
        self._is_head_request = False
        self._closes_after_answer = False
        self._received_bytes = 0
        self._field_section_bytes = 0
        self._body_bytes = 0
        self._skipped_answers = 0
        self._skipped_payload: streams.StreamReader | None = None
        self._exchange_count = 0
        self._is_suspected = False
        self._has_refused = False
        self.opened_s = time.monotonic()
        self.last_received_s = self.opened_s
        self.sent_s = 0.0
        self.deadline_s = 0.0
        self._parser = self._new_parser(has_body=True)

    @property
    def state(self) -> State:
        """Whether the connection is idle, in an exchange or closed."""
        return self._state

    @property
    def is_usable(self) -> bool:
        """Whether the connection is idle and open, so it can take a request."""
        transport = self.transport
        return (
            self._state is State.IDLE
            and transport is not None
            and not transport.is_closing()
        )

    @property
    def is_first_use(self) -> bool:
        """Whether at most one request was sent on the connection so far."""
        return self._exchange_count <= 1

    @property
    def has_refused(self) -> bool:
        """Whether an answer on the connection refused a request as not run.

        A faulty server may write such an answer once more, where the next
        request expects its own.
        """
        return self._has_refused

    def note_refusal(self) -> None:
        """Records that an answer refused a request as not run."""
        self._has_refused = True

    @property
    def is_suspected(self) -> bool:
        """Whether the pool takes the connection for silent.

        A silent connection brings no answer although the server answers on
        connections that were opened later.
        """
        return self._is_suspected

    def suspect(self) -> None:
        """Marks the connection as silent until an answer is released."""
        self._is_suspected = True

    def send(
        self,
        data: bytes,
        *,
        is_head_request: bool,
        deadline_s: float,
        accepts_answer: AnswerFilter | None = None,
    ) -> asyncio.Future[AnswerHead | exchange_failure.ExchangeFailure]:
        """Sends the head of a request, with or without its body.

        Args:
            data: Encoded head, followed by the body where that is at hand.
            is_head_request: Whether the method is HEAD, so that the answer
                has no body.
            deadline_s: Time at which the exchange fails if the answer isn't
                whole, compared with `time.monotonic()`.
            accepts_answer: Predicate on headers that accepts the answer to this
                request; None accepts all. Rejected answers are discarded,
                and the connection is not reused.

        Returns:
            A future that yields the answer's head or the failure.
        """
        self._transition(Event.SENT)
        if is_head_request != self._is_head_request:
            self._is_head_request = is_head_request
            self._parser = self._new_parser(has_body=not is_head_request)
        self._trailing_bytes.reset()
        self._closes_after_answer = False
        self._received_bytes = 0
        self._field_section_bytes = 0
        self._body_bytes = 0
        self._skipped_answers = 0
        self._answer_filter = accepts_answer
        self._exchange_count += 1
        self._head_future = self._loop.create_future()
        self.sent_s = time.monotonic()
        self.deadline_s = deadline_s
        self.write(data)
        self._owner.on_sent(self)
        return self._head_future

    def write(self, data: bytes) -> None:
        """Writes further bytes of the request's body.

        Args:
            data: Bytes with their chunk framing, if any.
        """
        if self.transport is not None:
            self.transport.write(data)

    async def wait_writable(self) -> None:
        """Waits while the transport's write buffer is over its limit."""
        if not self._paused:
            return
        try:
            await self._drain_helper()
        except ConnectionError:
            return

    def close_after_answer(self) -> None:
        """Makes the connection close after the answer, so it isn't reused."""
        self._closes_after_answer = True

    def release(self) -> None:
        """Returns the connection to the pool, or closes it.

        It is closed when the answer isn't whole or a rule forbids its reuse.
        """
        if self._state is not State.WHOLE or not self._is_reusable():
            self.retire(FailureKind.TRUNCATED)
            return
        self._payload = None
        self._is_suspected = False
        self._transition(Event.RELEASED)
        self._owner.on_idle(self)

    def expire(self, now_s: float) -> None:
        """Closes the connection if the deadline of its exchange has passed.

        Args:
            now_s: Current time from `time.monotonic()`.
        """
        if self._state in _EXCHANGE_STATES and self.deadline_s <= now_s:
            self.retire(FailureKind.TIMEOUT)

    def retire(self, kind: FailureKind) -> None:
        """Closes the connection at once; it is never used again.

        Args:
            kind: Failure that is reported to a request in progress.
        """
        if self._state is State.CLOSED:
            return
        state = self._state
        self._transition(Event.RETIRED)
        self._report_failure(state, kind)
        if self.transport is not None:
            self.transport.abort()
        self._owner.on_retired(self)

    def eof_received(self) -> None:
        """Tells an orderly close from a reset.

        libuv reports a reset that arrives together with data as end of file,
        with the error still pending on the socket. A failed write may have
        cleared that error; bytes are then left unsent.
        """
        transport = self.transport
        self._was_reset = transport is not None and (
            self._has_unsent_bytes()
            or socket_options.has_pending_error(transport)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange in progress, if any, when the connection closes."""
        if self._state is State.ANSWERING and self._is_close_delimited:
            self._finish_close_delimited(exc)
        cut_short = self._state is State.ANSWERING
        super().connection_lost(exc)
        if self._state is State.WHOLE:
            self._closes_after_answer = True
            return
        self.retire(
            FailureKind.TRUNCATED if cut_short else FailureKind.CONNECTION_LOST
        )

    def resume_reading(
        self,
        resume_parser: bool = True,  # noqa: FBT001, FBT002
    ) -> None:
        """Resumes reading from the server when the body reader has room."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the server as the connection's state requires.

        Bytes outside of an exchange close the connection; bytes after the
        end of an answer prevent its reuse.
        """
        state = self._state
        if state is State.CLOSED:
            return
        if state is State.IDLE:
            self.retire(FailureKind.MALFORMED)
            return
        if state is State.WHOLE:
            self._closes_after_answer = self._closes_after_answer or bool(data)
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        parser = cast("http_parser.HttpResponseParser", self._parser)
        if data:
            self.last_received_s = time.monotonic()
            self._trailing_bytes.add(data)
        try:
            messages, _, _ = parser.feed_data(data)
        except http_exceptions.HttpProcessingError:
            self.retire(FailureKind.MALFORMED)
            return
        for message, payload in messages:
            self._on_message(message, payload)
        self._discard_skipped_payload()
        self._check_answer_end()
        if self._state in _EXCHANGE_STATES and (
            self._exceeds_non_body_limits(len(data))
            or self._exceeds_field_section_limit(
                len(data), has_head=bool(messages)
            )
        ):
            self.retire(FailureKind.MALFORMED)

    def _on_message(
        self,
        message: http_parser.RawResponseMessage,
        payload: streams.StreamReader,
    ) -> None:
        if self._state is not State.WAITING:
            self._closes_after_answer = True
            return
        is_interim = answer_framing.is_interim(message)
        if is_interim or not self._belongs_to_request(message):
            self._trailing_bytes.reset()
            self._closes_after_answer = True
            self._skipped_answers += 1
            self._skipped_payload = None if is_interim else payload
            return
        self._skipped_payload = None
        frame = answer_framing.read_frame(
            message,
            is_head_request=self._is_head_request,
            allows_close_delimited=self._allows_close_delimited,
        )
        if frame is None:
            self.retire(FailureKind.MALFORMED)
            return
        self._is_close_delimited = frame.is_close_delimited
        if self._has_unsent_bytes():
            # Part of the request is still unsent, and the server would read
            # the next request as the rest of this one's body.
            self._closes_after_answer = True
        self._closes_after_answer = (
            self._closes_after_answer or message.should_close
        )
        self._payload = payload
        self._body_length = frame.length
        self._transition(Event.HEAD)
        if not self._head_future.done():
            self._head_future.set_result(AnswerHead(message, payload))

    def _belongs_to_request(
        self, message: http_parser.RawResponseMessage
    ) -> bool:
        return self._answer_filter is None or self._answer_filter(
            message.headers
        )

    def _exceeds_non_body_limits(self, size: int) -> bool:
        """Whether the server sent too much besides the answer's body.

        That is, in this exchange, too many bytes outside the body, or too many
        interim (1xx) answers and answers to earlier requests.

        Args:
            size: Number of bytes that were received last.
        """
        self._received_bytes += size
        body_bytes = 0
        if self._payload is not None:
            body_bytes = self._payload.total_bytes
        non_body_bytes = self._received_bytes - body_bytes
        return (
            non_body_bytes
            > _MAX_NON_BODY_BYTES
            + _MAX_FRAMING_BYTES_PER_BODY_BYTE * body_bytes
            or self._skipped_answers > _MAX_SKIPPED_ANSWERS
        )

    def _exceeds_field_section_limit(
        self, size: int, *, has_head: bool
    ) -> bool:
        """Whether the head or the trailers under way are too large.

        Bytes count towards them that neither end a head nor are part of a body.

        Args:
            size: Number of bytes that were received last.
            has_head: Whether a head ended in them.
        """
        before = self._body_bytes
        if self._payload is not None:
            self._body_bytes = self._payload.total_bytes
        is_body = self._body_bytes > before or self._skipped_payload is not None
        if has_head or is_body:
            self._field_section_bytes = 0
        else:
            self._field_section_bytes += size
        return self._field_section_bytes > _MAX_FIELD_SECTION_BYTES

    def _discard_skipped_payload(self) -> None:
        """Discards what has arrived of the body of an unrelated answer.

        Left unread, it would pause the transport and block the awaited
        answer. Reading may resume the transport, whose next bytes can call
        this method again before the first call returns.
        """
        payload, self._skipped_payload = self._skipped_payload, None
        if payload is None:
            return
        while payload.read_nowait():
            continue
        if self._skipped_payload is None and not payload.is_eof():
            self._skipped_payload = payload

    def _has_unsent_bytes(self) -> bool:
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _finish_close_delimited(self, exc: BaseException | None) -> None:
        if exc is not None or self._was_reset:
            return
        self._closes_after_answer = True
        cast("http_parser.HttpResponseParser", self._parser).feed_eof()
        self._check_answer_end()

    def _check_answer_end(self) -> None:
        if self._state is not State.ANSWERING:
            return
        if self._payload is not None and self._payload.is_eof():
            self._transition(Event.END)

    def _is_reusable(self) -> bool:
        return (
            not self._closes_after_answer
            and self.transport is not None
            and not self.transport.is_closing()
            and self._trailing_bytes.has_no_trailing_bytes(self._body_length)
        )

    def _report_failure(self, state: State, kind: FailureKind) -> None:
        failure = exchange_failure.ExchangeFailure(kind)
        if state is State.WAITING and not self._head_future.done():
            self._head_future.set_result(failure)
        if state is State.ANSWERING and self._payload is not None:
            self._payload.set_exception(
                exchange_failure.ExchangeFailureError(failure)
            )

    def _transition(self, event: Event) -> None:
        self._state = _TRANSITIONS[self._state, event]

    def _new_parser(self, *, has_body: bool) -> http_parser.HttpResponseParser:
        return http_parser.HttpResponseParser(
            self,
            self._loop,
            _BUFFER_BYTES,
            max_line_size=_MAX_LINE_BYTES,
            max_headers=_MAX_HEADERS,
            max_field_size=_MAX_FIELD_BYTES,
            response_with_body=has_body,
            read_until_eof=self._allows_close_delimited,
            auto_decompress=False,
        )


async def open_connection(
    owner: ConnectionOwner,
    host: str,
    port: int,
    timeout_s: float,
    *,
    allows_close_delimited: bool = False,
) -> ServerConnection | exchange_failure.ExchangeFailure:
    """Opens a connection that detects an unreachable peer.

    Args:
        owner: Pool that owns the connection and gets its callbacks.
        host: IP address of the server.
        port: TCP port of the server.
        timeout_s: Longest time in seconds until the connection is open.
        allows_close_delimited: Whether an answer may be close-delimited, that
            is, end with an orderly close of the connection instead of a length.

    Returns:
        The open connection, or why there is none.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: ServerConnection(
                    owner, loop, allows_close_delimited=allows_close_delimited
                ),
                host,
                port,
            )
    except TimeoutError:
        return exchange_failure.ExchangeFailure(
            exchange_failure.FailureKind.CONNECT_TIMEOUT
        )
    except OSError as error:
        return exchange_failure.ExchangeFailure(
            exchange_failure.FailureKind.CONNECT_FAILED, detail=str(error)
        )
    socket_options.enable_dead_peer_detection(transport)
    return connection
