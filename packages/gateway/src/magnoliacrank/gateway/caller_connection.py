"""CallerConnection: one HTTP/1.1 server connection, opened by a caller."""

from __future__ import annotations

import asyncio
import enum
import time
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import Protocol
from typing import cast

from absl import logging
from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser

from magnoliacrank.gateway import body
from magnoliacrank.gateway import head_rules
from magnoliacrank.gateway import inbound_exchange
from magnoliacrank.gateway import refusal
from magnoliacrank.model import verdict as verdicts

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import streams

    from magnoliacrank.gateway import front_limits

_PARSER_MAX_HEADERS = 4096
"""Header limit of the parser, above `FrontLimits.max_headers`: exceeding that
limit has to be answered with status 431, which the parser wouldn't give."""

_MAX_PIPELINED_BYTES = 65536
"""Bytes of pipelined requests that are buffered before reading pauses."""

_MAX_LINGER_BYTES = 1 << 20
"""Bytes that are read and discarded after the last answer."""

_CHECKS_PER_TIMEOUT = 4
"""Timeout checks during the shortest timeout; the interval between two checks
is the longest delay with which any timeout takes effect."""

_BAD_REQUEST = verdicts.not_run(verdicts.Reason.BAD_REQUEST)
_OVERLOADED = verdicts.not_run(verdicts.Reason.OVERLOADED)


class Phase(enum.IntEnum):
    """Phase of a caller's connection."""

    IDLE = 0
    """Waiting for the next request."""

    HEAD = 1
    """The first request is awaited, or part of a head has arrived."""

    BODY = 2
    """The handler runs while the request body is still arriving."""

    ANSWER = 3
    """The handler runs, and nothing more of the request is expected."""

    LINGER = 4
    """The last answer was sent; received bytes are discarded.

    Closing at once would reset the connection while the caller still sends,
    and the caller could lose the answer.
    """

    CLOSED = 5
    """Closed, or about to close once all bytes have been sent."""


class FrontHandler(Protocol):
    """Handler of callers' requests."""

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers one request: finishes or aborts the answer.

        Args:
            exchange: The request and its answer.
        """


class ConnectionOwner(Protocol):
    """What a connection needs from the server that accepted it."""

    @property
    def handler(self) -> FrontHandler:
        """Handler that answers the requests of the connection."""

    @property
    def limits(self) -> front_limits.FrontLimits:
        """Limits and timeouts for a connection that opens now."""

    @property
    def is_draining(self) -> bool:
        """Whether every connection closes after its current answer."""

    def on_opened(self, connection: CallerConnection) -> bool:
        """Registers a new connection; returns False if it is to be refused."""

    def on_closed(self, connection: CallerConnection) -> None:
        """Removes a closed connection."""


class CallerConnection(base_protocol.BaseProtocol):
    """One connection of a caller; answers requests in order of arrival.

    Requests may be pipelined: the parser stops after each request, and bytes
    of later ones are buffered until the current one is answered.

    Args:
        owner: Server that accepted the connection.
        loop: Event loop that runs the connection.
    """

    def __init__(
        self, owner: ConnectionOwner, loop: asyncio.AbstractEventLoop
    ) -> None:
        limits = owner.limits
        parser = http_parser.HttpRequestParser(
            self,
            loop,
            limits.body_buffer_bytes,
            max_line_size=limits.max_line_bytes,
            max_headers=_PARSER_MAX_HEADERS,
            max_field_size=limits.max_field_bytes,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        super().__init__(loop, parser)
        self._request_parser = parser
        self._owner = owner
        self._limits = limits
        self._phase = Phase.IDLE
        self._timed_from_s = 0.0
        self._write_paused_s = 0.0
        self._window_bytes = 0
        self._head_bytes = 0
        self._discarded_bytes = 0
        self._pipelined = b""
        self._is_closing = False
        self._exchange: inbound_exchange.InboundExchange | None = None
        self._payload: streams.StreamReader | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def phase(self) -> Phase:
        """Current phase of the connection."""
        return self._phase

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._is_closing or self._owner.is_draining

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self._exchange is not None

    def close_after_answer(self) -> None:
        """Makes the connection close after the current answer."""
        self._is_closing = True

    def send(self, data: bytes) -> None:
        """Writes bytes to the caller.

        Args:
            data: Encoded bytes of an answer.
        """
        if self.transport is not None:
            self.transport.write(data)

    def abort_connection(self) -> None:
        """Closes the connection at once; bytes not yet sent are dropped."""
        self._enter_phase(Phase.CLOSED)
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection once all written bytes have been sent.

        Aborts it if the caller doesn't read them within the linger timeout.
        """
        self._enter_phase(Phase.CLOSED)
        transport = self.transport
        if transport is None:
            return
        transport.close()
        if transport.get_write_buffer_size():
            self._loop.call_later(
                self._limits.linger_timeout_s, transport.abort
            )

    async def wait_writable(self) -> None:
        """Waits while the transport's write buffer is over its limit."""
        if not self._paused:
            return
        try:
            await self._drain_helper()
        except ConnectionError:
            return

    def new_future(self) -> asyncio.Future[None]:
        """Returns a new future that belongs to the connection's event loop."""
        return self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; refuses it when there are too many."""
        super().connection_made(transport)
        # An answer counts as written when no part of it is in memory. The
        # transports of uvloop aren't subclasses of those of asyncio.
        cast("asyncio.Transport", transport).set_write_buffer_limits(0)
        self._enter_phase(Phase.HEAD)
        if not self._owner.on_opened(self):
            self._refuse(503, _OVERLOADED)
        self._timer = self._loop.call_later(
            self._check_interval_s(), self._check_timeouts
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tells the exchange in progress, if any, that the caller is gone."""
        self._phase = Phase.CLOSED
        if self._timer is not None:
            self._timer.cancel()
        super().connection_lost(exc)
        if self._exchange is not None:
            self._exchange.on_caller_gone()
        self._owner.on_closed(self)

    def pause_writing(self) -> None:
        """Starts the write timeout as the caller doesn't read fast enough."""
        super().pause_writing()
        self._write_paused_s = self._loop.time()

    def resume_reading(
        self,
        resume_parser: bool = True,  # noqa: FBT001, FBT002
    ) -> None:
        """Resumes reading from the caller when the body reader has room."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def data_received(self, data: bytes) -> None:
        """Parses, buffers or discards bytes as the phase requires."""
        phase = self._phase
        if phase is Phase.ANSWER:
            self._buffer_pipelined(data)
        elif phase is Phase.LINGER:
            self._discard(data)
        elif phase is not Phase.CLOSED:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            messages, _, _ = self._request_parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._on_malformed(error)
            return
        if messages:
            self._head_bytes += len(data)
            self._on_head(*messages[0])
        elif self._exchange is None:
            self._on_partial_head(data)
        else:
            self._window_bytes += len(data)
        payload = self._payload
        if payload is not None and payload.is_eof():
            self._phase = Phase.ANSWER

    def _on_partial_head(self, data: bytes) -> None:
        if not data:
            return
        if self._phase is Phase.IDLE:
            self._enter_phase(Phase.HEAD)
        self._head_bytes += len(data)
        if self._head_bytes > self._limits.max_head_bytes:
            self._refuse(431, _BAD_REQUEST)

    def _on_head(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        status = self._refusal_status(message)
        self._head_bytes = 0
        if status is not None:
            self._refuse(status, _BAD_REQUEST)
            return
        self._is_closing = message.should_close or message.upgrade
        exchange = inbound_exchange.InboundExchange(
            self, message, payload, time.monotonic()
        )
        self._exchange = exchange
        self._payload = payload
        if payload.is_eof():
            self._phase = Phase.ANSWER
        else:
            self._window_bytes = 0
            self._enter_phase(Phase.BODY)
        self._task = self._loop.create_task(self._handle_request(exchange))

    def _refusal_status(
        self, message: http_parser.RawRequestMessage
    ) -> int | None:
        limits = self._limits
        if (
            self._head_bytes > limits.max_head_bytes
            and head_rules.head_size(message) > limits.max_head_bytes
        ):
            return 431
        if head_rules.is_plain(message, limits):
            return None
        return head_rules.refusal_status(message, limits)

    def _on_malformed(self, error: http_exceptions.HttpProcessingError) -> None:
        self._is_closing = True
        if self._exchange is not None:
            self._enter_phase(Phase.ANSWER)
            self._exchange.fail_body(body.MALFORMED)
            return
        is_too_long = isinstance(error, http_exceptions.LineTooLong)
        self._refuse(431 if is_too_long else 400, _BAD_REQUEST)

    async def _handle_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        try:
            await self._owner.handler.on_request(exchange)
        except asyncio.CancelledError:
            exchange.abort()
            raise
        except Exception:  # The caller still gets an answer or an abort.
            logging.exception("gateway: Request handler raised an exception.")
        finally:
            self._end_exchange(exchange)

    def _end_exchange(self, exchange: inbound_exchange.InboundExchange) -> None:
        state = exchange.answer_state
        self._exchange = None
        self._payload = None
        self._task = None
        if self._phase is Phase.CLOSED:
            return
        if state is inbound_exchange.AnswerState.PENDING:
            self._refuse(
                500, verdicts.may_have_run(verdicts.Reason.CONNECTION_LOST)
            )
        elif state is inbound_exchange.AnswerState.STARTED:
            exchange.abort()
        elif self.is_closing or not exchange.is_body_whole:
            self._linger()
        else:
            self._next_request()

    def _next_request(self) -> None:
        self._enter_phase(Phase.IDLE)
        self._request_parser.message_consumed()
        pipelined, self._pipelined = self._pipelined, b""
        if len(pipelined) >= _MAX_PIPELINED_BYTES:
            self._resume_transport_reading()
        self._parse(pipelined)

    def _buffer_pipelined(self, data: bytes) -> None:
        self._pipelined += data
        if len(self._pipelined) >= _MAX_PIPELINED_BYTES:
            self._pause_transport_reading()

    def _refuse(self, status: int, verdict: verdicts.Verdict) -> None:
        self.send(refusal.closing_answer(status, verdict))
        self._linger()

    def _linger(self) -> None:
        transport = self.transport
        if transport is None:
            return
        self._enter_phase(Phase.LINGER)
        self._pipelined = b""
        if transport.can_write_eof():
            transport.write_eof()
        self._resume_transport_reading()

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > _MAX_LINGER_BYTES:
            self.close()

    def _enter_phase(self, phase: Phase) -> None:
        self._phase = phase
        self._timed_from_s = self._loop.time()

    def _check_interval_s(self) -> float:
        limits = self._limits
        shortest = min(
            limits.head_timeout_s,
            limits.idle_timeout_s,
            limits.body_window_s,
            limits.write_timeout_s,
            limits.linger_timeout_s,
        )
        return shortest / _CHECKS_PER_TIMEOUT

    def _check_timeouts(self) -> None:
        check = self._timeout_checks.get(self._phase)
        if check is None:
            return
        check(self, self._loop.time() - self._timed_from_s)
        self._timer = self._loop.call_later(
            self._check_interval_s(), self._check_timeouts
        )

    def _check_idle(self, age_s: float) -> None:
        if age_s > self._limits.idle_timeout_s:
            self.close()

    def _check_head(self, age_s: float) -> None:
        if age_s > self._limits.head_timeout_s:
            self._refuse(408, _BAD_REQUEST)

    def _check_body(self, age_s: float) -> None:
        exchange = self._exchange
        self._check_write_stall(age_s)
        if exchange is None or self._phase is not Phase.BODY:
            return
        if self._reading_paused or exchange.awaits_continue:
            self._restart_window()
        elif age_s > self._limits.body_window_s:
            if self._window_bytes < self._limits.body_window_bytes:
                self._is_closing = True
                exchange.fail_body(body.TOO_SLOW)
            self._restart_window()

    def _restart_window(self) -> None:
        self._timed_from_s = self._loop.time()
        self._window_bytes = 0

    def _check_write_stall(self, _: float) -> None:
        if not self._paused:
            return
        stalled_s = self._loop.time() - self._write_paused_s
        if stalled_s > self._limits.write_timeout_s:
            logging.warning(
                "gateway: Aborted a connection: the caller stopped reading."
            )
            self.abort_connection()

    def _check_linger(self, age_s: float) -> None:
        if age_s > self._limits.linger_timeout_s:
            self.close()

    _timeout_checks: ClassVar[
        dict[Phase, Callable[[CallerConnection, float], None]]
    ] = {
        Phase.IDLE: _check_idle,
        Phase.HEAD: _check_head,
        Phase.BODY: _check_body,
        Phase.ANSWER: _check_write_stall,
        Phase.LINGER: _check_linger,
    }
    """Timeout check of each phase.

    The argument is the time in seconds since the phase, or in `BODY` the
    current body window, began.
    """
