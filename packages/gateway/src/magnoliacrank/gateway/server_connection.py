"""ServerConnection: one connection to a backend server."""

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

_MAX_STRAY_BYTES = 4 << 20
"""Bytes of one exchange that may belong to no body that is awaited: heads,
interim answers, answers to earlier requests, and the framing of chunks."""

_MAX_STRAY_ANSWERS = 32
"""Interim answers and answers to earlier requests in one exchange."""

_MAX_STRAY_SHARE = 8
"""Framing of chunks in bytes for each byte of the body, beyond
`_MAX_STRAY_BYTES`; a chunk of one byte takes five more."""


class State(enum.IntEnum):
    """State of a connection to a backend server."""

    IDLE = 0
    """Open, and no request under way."""

    WAITING = 1
    """A request was sent; no head of an answer yet."""

    ANSWERING = 2
    """The head of the answer has come, its body is on the way."""

    WHOLE = 3
    """The answer is here as a whole and not yet released."""

    CLOSED = 4
    """Retired for good."""


class Event(enum.IntEnum):
    """What happens to a connection."""

    SENT = 0
    HEAD = 1
    END = 2
    RELEASED = 3
    RETIRED = 4


_NEXT: dict[tuple[State, Event], State] = {
    (State.IDLE, Event.SENT): State.WAITING,
    (State.WAITING, Event.HEAD): State.ANSWERING,
    (State.ANSWERING, Event.END): State.WHOLE,
    (State.WHOLE, Event.RELEASED): State.IDLE,
    (State.IDLE, Event.RETIRED): State.CLOSED,
    (State.WAITING, Event.RETIRED): State.CLOSED,
    (State.ANSWERING, Event.RETIRED): State.CLOSED,
    (State.WHOLE, Event.RETIRED): State.CLOSED,
}
"""The life cycle; a pair that is not listed can't happen."""


_UNDER_WAY = frozenset({State.WAITING, State.ANSWERING})
"""States in which an answer is awaited."""


class AnswerHead:
    """A message of the parser with its body."""

    __slots__ = ("message", "payload")

    def __init__(
        self,
        message: http_parser.RawResponseMessage,
        payload: streams.StreamReader,
    ) -> None:
        self.message = message
        self.payload = payload


class AnswerFilter(Protocol):
    """Tells an answer to the present request from one to an earlier."""

    def __call__(self, headers: CIMultiDictProxy[str], /) -> bool:
        """Whether an answer with these headers is awaited."""


class ConnectionOwner(Protocol):
    """What a connection tells the pool that owns it."""

    def on_retired(self, connection: ServerConnection) -> None:
        """The connection is never used again."""

    def on_idle(self, connection: ServerConnection) -> None:
        """The connection can carry another request."""

    def on_sent(self, connection: ServerConnection) -> None:
        """The connection carries a request, until its deadline."""


class ServerConnection(base_protocol.BaseProtocol):
    """One connection to a backend server; carries one request at a time.

    It is reused only after a whole answer whose bytes are all accounted for.
    After a timeout, a cancel, a short or malformed answer or bytes that
    nobody asked for it is closed, so a late answer meets no other request.

    Args:
        owner: The pool.
        loop: The event loop.
        allows_close: Whether an orderly close may end an answer.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        *,
        allows_close: bool = False,
    ) -> None:
        super().__init__(loop, None)
        self._owner = owner
        self._allows_close = allows_close
        self._is_own: AnswerFilter | None = None
        self._ends_with_connection = False
        self._state = State.IDLE
        self._waiter: asyncio.Future[
            AnswerHead | exchange_failure.ExchangeFailure
        ] = loop.create_future()
        self._payload: streams.StreamReader | None = None
        self._body_length: int | None = 0
        self._account = answer_framing.ByteAccount()
        self._is_head_request = False
        self._is_last = False
        self._received_bytes = 0
        self._stray_answers = 0
        self._stray_payload: streams.StreamReader | None = None
        self._exchanges = 0
        self._is_suspected = False
        self.opened_s = time.monotonic()
        self.alive_s = self.opened_s
        self.sent_s = 0.0
        self.deadline_s = 0.0
        self._parser = self._new_parser(has_body=True)

    @property
    def state(self) -> State:
        """State in the life cycle."""
        return self._state

    @property
    def is_usable(self) -> bool:
        """Whether a request can be sent now."""
        transport = self.transport
        return (
            self._state is State.IDLE
            and transport is not None
            and not transport.is_closing()
        )

    @property
    def is_fresh(self) -> bool:
        """Whether it carries or awaits its first request."""
        return self._exchanges <= 1

    @property
    def is_suspected(self) -> bool:
        """Whether the pool holds it to be silent."""
        return self._is_suspected

    def suspect(self) -> None:
        """Marks the connection as held to be silent."""
        self._is_suspected = True

    def send(
        self,
        data: bytes,
        *,
        is_head_request: bool,
        deadline_s: float,
        is_own: AnswerFilter | None = None,
    ) -> asyncio.Future[AnswerHead | exchange_failure.ExchangeFailure]:
        """Sends the head of a request, with or without its body.

        Args:
            data: Bytes to write.
            is_head_request: Whether the answer has no body in any case.
            deadline_s: Monotonic time at which the exchange fails.
            is_own: Whether an answer with these headers belongs to this
                request; others are dropped, and the connection is not
                used again.

        Returns:
            A future of the answer's head or of the failure.
        """
        self._move(Event.SENT)
        if is_head_request != self._is_head_request:
            self._is_head_request = is_head_request
            self._parser = self._new_parser(has_body=not is_head_request)
        self._account.reset()
        self._is_last = False
        self._received_bytes = 0
        self._stray_answers = 0
        self._is_own = is_own
        self._exchanges += 1
        self._waiter = self._loop.create_future()
        self.sent_s = time.monotonic()
        self.deadline_s = deadline_s
        self.write(data)
        self._owner.on_sent(self)
        return self._waiter

    def write(self, data: bytes) -> None:
        """Writes further bytes of the request."""
        if self.transport is not None:
            self.transport.write(data)

    async def drained(self) -> None:
        """Returns when more bytes may be written."""
        if not self._paused:
            return
        try:
            await self._drain_helper()
        except ConnectionError:
            return

    def mark_last(self) -> None:
        """Makes the connection close after the present answer."""
        self._is_last = True

    def release(self) -> None:
        """Gives the connection back after a whole answer, else closes it."""
        if self._state is not State.WHOLE or not self._is_reusable():
            self.retire(FailureKind.TRUNCATED)
            return
        self._payload = None
        self._is_suspected = False
        self._move(Event.RELEASED)
        self._owner.on_idle(self)

    def expire(self, now_s: float) -> None:
        """Ends an exchange whose deadline has passed.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._state in _UNDER_WAY and self.deadline_s <= now_s:
            self.retire(FailureKind.TIMEOUT)

    def retire(self, kind: FailureKind) -> None:
        """Closes the connection at once and for good.

        Args:
            kind: What a request under way is told.
        """
        if self._state is State.CLOSED:
            return
        state = self._state
        self._move(Event.RETIRED)
        self._fail(state, kind)
        if self.transport is not None:
            self.transport.abort()
        self._owner.on_retired(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection closed."""
        if self._state is State.ANSWERING and self._ends_with_connection:
            self._end_with_connection(exc)
        cut_short = self._state is State.ANSWERING
        super().connection_lost(exc)
        if self._state is State.WHOLE:
            self._is_last = True
            return
        self.retire(
            FailureKind.TRUNCATED if cut_short else FailureKind.CONNECTION_LOST
        )

    def resume_reading(
        self,
        resume_parser: bool = True,  # noqa: FBT001, FBT002
    ) -> None:
        """The reader of the answer has room again."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Bytes arrived from the backend server."""
        state = self._state
        if state is State.CLOSED:
            return
        if state is State.IDLE:
            self.retire(FailureKind.MALFORMED)
            return
        if state is State.WHOLE:
            self._is_last = self._is_last or bool(data)
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        parser = cast("http_parser.HttpResponseParser", self._parser)
        if data:
            self.alive_s = time.monotonic()
            self._account.add(data)
        try:
            messages, _, _ = parser.feed_data(data)
        except http_exceptions.HttpProcessingError:
            self.retire(FailureKind.MALFORMED)
            return
        for message, payload in messages:
            self._on_message(message, payload)
        self._discard_stray()
        self._check_end()
        if self._state in _UNDER_WAY and self._is_flooded(len(data)):
            self.retire(FailureKind.MALFORMED)

    def _on_message(
        self,
        message: http_parser.RawResponseMessage,
        payload: streams.StreamReader,
    ) -> None:
        if self._state is not State.WAITING:
            self._is_last = True
            return
        is_interim = answer_framing.is_interim(message)
        if is_interim or not self._is_awaited(message):
            self._account.reset()
            self._is_last = True
            self._stray_answers += 1
            self._stray_payload = None if is_interim else payload
            return
        self._stray_payload = None
        frame = answer_framing.read_frame(
            message,
            is_head_request=self._is_head_request,
            allows_close=self._allows_close,
        )
        if frame is None:
            self.retire(FailureKind.MALFORMED)
            return
        self._ends_with_connection = frame.ends_with_connection
        if self._is_sending():
            # The server reads on where the rest of the body is due.
            self._is_last = True
        self._is_last = self._is_last or message.should_close
        self._payload = payload
        self._body_length = frame.length
        self._move(Event.HEAD)
        if not self._waiter.done():
            self._waiter.set_result(AnswerHead(message, payload))

    def _is_awaited(self, message: http_parser.RawResponseMessage) -> bool:
        return self._is_own is None or self._is_own(message.headers)

    def _is_flooded(self, size: int) -> bool:
        """Whether the server sends too much that is no awaited body."""
        self._received_bytes += size
        body_bytes = 0
        if self._payload is not None:
            body_bytes = self._payload.total_bytes
        stray_bytes = self._received_bytes - body_bytes
        return (
            stray_bytes > _MAX_STRAY_BYTES + _MAX_STRAY_SHARE * body_bytes
            or self._stray_answers > _MAX_STRAY_ANSWERS
        )

    def _discard_stray(self) -> None:
        """Reads past an answer to another request.

        Unread, it would keep the awaited answer from being read. Reading may
        hand on further bytes at once, which come back here.
        """
        payload, self._stray_payload = self._stray_payload, None
        if payload is None:
            return
        while payload.read_nowait():
            continue
        if self._stray_payload is None and not payload.is_eof():
            self._stray_payload = payload

    def _is_sending(self) -> bool:
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _end_with_connection(self, exc: BaseException | None) -> None:
        if exc is not None:
            return
        self._is_last = True
        cast("http_parser.HttpResponseParser", self._parser).feed_eof()
        self._check_end()

    def _check_end(self) -> None:
        if self._state is not State.ANSWERING:
            return
        if self._payload is not None and self._payload.is_eof():
            self._move(Event.END)

    def _is_reusable(self) -> bool:
        return (
            not self._is_last
            and self.transport is not None
            and not self.transport.is_closing()
            and self._account.is_exact(self._body_length)
        )

    def _fail(self, state: State, kind: FailureKind) -> None:
        failure = exchange_failure.ExchangeFailure(kind)
        if state is State.WAITING and not self._waiter.done():
            self._waiter.set_result(failure)
        if state is State.ANSWERING and self._payload is not None:
            self._payload.set_exception(
                exchange_failure.ExchangeFailureError(failure)
            )

    def _move(self, event: Event) -> None:
        self._state = _NEXT[self._state, event]

    def _new_parser(self, *, has_body: bool) -> http_parser.HttpResponseParser:
        return http_parser.HttpResponseParser(
            self,
            self._loop,
            _BUFFER_BYTES,
            max_line_size=_MAX_LINE_BYTES,
            max_headers=_MAX_HEADERS,
            max_field_size=_MAX_FIELD_BYTES,
            response_with_body=has_body,
            read_until_eof=self._allows_close,
            auto_decompress=False,
        )


async def open_connection(
    owner: ConnectionOwner,
    host: str,
    port: int,
    timeout_s: float,
    *,
    allows_close: bool = False,
) -> ServerConnection | exchange_failure.ExchangeFailure:
    """Opens a connection that notices the loss of its peer.

    Args:
        owner: The pool.
        host: IP address.
        port: TCP port.
        timeout_s: Longest time until it is open.
        allows_close: Whether an orderly close may end an answer.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: ServerConnection(
                    owner, loop, allows_close=allows_close
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
    socket_options.notice_lost_peer(transport)
    return connection
