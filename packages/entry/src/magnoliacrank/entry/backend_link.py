"""BackendLink: a connection pool for one HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

from aiohttp import hdrs
import attrs
from multidict import CIMultiDictProxy

from magnoliacrank.gateway import answer as answers
from magnoliacrank.gateway import body_sender
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import server_connection
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import transfer_budget

FailureKind = exchange_failure.FailureKind
ExchangeFailure = exchange_failure.ExchangeFailure

_CONNECT_TIMEOUT_S = 0.35
"""Connect timeout. The system resends a lost packet only later, so an attempt
that lost one is given up and the request may be retried."""

_MAX_IDLE_CONNECTIONS = 6
"""Maximum number of idle connections that the pool keeps open."""

_DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is closed instead of reused, until the
server states a timeout of its own."""

_IDLE_MARGIN_S = 1.0
"""Margin subtracted from the idle timeout in a server's Keep-Alive header."""

_BODY_PART_BYTES = 65536
"""Body bytes that are written at a time. A longer body is written at the pace
of the server, so that it isn't in memory a second time."""

_MAX_ANSWER_BYTES = 64 << 20
"""Limit on the bytes of answers being read by a link that shares no limit with
other links."""


@attrs.frozen
class WholeAnswer:
    """An HTTP answer whose body was received completely."""

    status: int
    """HTTP status."""

    headers: CIMultiDictProxy[str]
    """Headers as received."""

    content: bytes
    """The body."""


@attrs.frozen
class OutboundRequest:
    """A request that is ready to be written to a connection."""

    head: outbound_head.OutboundHead
    """Method, target and headers."""

    body: bytes
    """The complete body."""

    request_id: str | None
    """Request id that the answer must carry if it carries any; None accepts
    only answers without one."""

    is_idempotent: bool = True
    """Whether it may be executed more than once. If not, it is never sent on a
    connection that carried a refusal, which a faulty server could repeat."""

    on_sending: Callable[[], None] = lambda: None
    """Called once there is a connection, right before the first byte is
    written. The server may have run the request from then on."""


class _WholeBody:
    """Source that yields a body, which is in memory, in parts.

    Args:
        content: The body.
    """

    def __init__(self, content: bytes) -> None:
        self._content = content
        self._read_bytes = 0

    @property
    def body_length(self) -> int:
        """Length of the body in bytes."""
        return len(self._content)

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, empty at the end."""
        start = self._read_bytes
        self._read_bytes = start + _BODY_PART_BYTES
        return self._content[start : self._read_bytes]


class BackendLink:
    """Connection pool for one server, without pipelining.

    Each connection carries one request at a time.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        on_opened: Called whenever a new connection is about to be opened.
        memory: Memory limit for answers that are being read, shared with
            other links. Defaults to a limit for this link alone.
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_opened: Callable[[], None] = lambda: None,
        memory: transfer_budget.TransferBudget | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._on_opened = on_opened
        self._memory = memory or transfer_budget.TransferBudget(
            _MAX_ANSWER_BYTES
        )
        self._idle: list[server_connection.ServerConnection] = []
        self._busy: set[server_connection.ServerConnection] = set()
        self._idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self._is_closed = False

    @property
    def authority(self) -> str:
        """Host and port, as written in a Host header."""
        return f"{self._host}:{self._port}"

    def close_idle(self) -> None:
        """Closes idle connections now and busy ones when they become idle."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.retire(FailureKind.CONNECTION_LOST)

    def close(self) -> None:
        """Closes all connections; requests in flight fail."""
        self.close_idle()
        for connection in list(self._busy):
            connection.retire(FailureKind.CONNECTION_LOST)

    async def exchange(
        self,
        request: OutboundRequest,
        timeout_s: float,
    ) -> WholeAnswer | ExchangeFailure:
        """Sends a request and reads its complete answer.

        A cancelled exchange closes its connection, so that the server can
        abort the work.

        Args:
            request: The request.
            timeout_s: Longest time in seconds until the answer is complete.

        Returns:
            The answer, or the reason why there is none.
        """
        deadline_s = time.monotonic() + timeout_s
        connection = self._take_idle(allows_refused=request.is_idempotent)
        if connection is None:
            opened = await self._open(min(timeout_s, _CONNECT_TIMEOUT_S))
            if isinstance(opened, ExchangeFailure):
                return opened
            connection = opened
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await self._exchange_on(connection, request, deadline_s)
        except TimeoutError:
            connection.retire(FailureKind.TIMEOUT)
            return ExchangeFailure(FailureKind.TIMEOUT)
        except asyncio.CancelledError:
            connection.retire(FailureKind.CONNECTION_LOST)
            raise

    def on_retired(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Removes a closed connection from the pool.

        Called by the connection.
        """
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def on_idle(self, connection: server_connection.ServerConnection) -> None:
        """Returns a connection to the pool after its exchange has ended.

        Closes the oldest idle connection if the pool is full or closed.
        Called by the connection.
        """
        self._busy.discard(connection)
        self._idle.append(connection)
        if self._is_closed or len(self._idle) > _MAX_IDLE_CONNECTIONS:
            self._idle[0].retire(FailureKind.CONNECTION_LOST)

    def on_sent(self, connection: server_connection.ServerConnection) -> None:
        """Does nothing; the interface of connection owners requires it."""

    async def _exchange_on(
        self,
        connection: server_connection.ServerConnection,
        request: OutboundRequest,
        deadline_s: float,
    ) -> WholeAnswer | ExchangeFailure:
        expected_id = request.request_id

        def accepts_answer(headers: CIMultiDictProxy[str]) -> bool:
            return (
                headers.get(request_wire.REQUEST_ID, expected_id) == expected_id
            )

        body = request.body
        is_short = len(body) <= _BODY_PART_BYTES
        request.on_sending()
        first = request.head.encode(len(body))
        pending = connection.send(
            first + body if is_short else first,
            is_head_request=request.head.method == hdrs.METH_HEAD,
            deadline_s=deadline_s,
            accepts_answer=accepts_answer,
        )
        if is_short:
            head = await pending
        else:
            head = await body_sender.send_while_waiting(
                connection, _WholeBody(body), pending
            )
        if isinstance(head, ExchangeFailure):
            return head
        answer = answers.Answer(connection, head)
        content = await self._read_body(answer)
        if isinstance(content, ExchangeFailure):
            connection.retire(content.kind)
            return content
        keep_alive_s = request_wire.read_keep_alive_s(answer.headers)
        if keep_alive_s is not None:
            self._idle_timeout_s = max(keep_alive_s - _IDLE_MARGIN_S, 0.0)
        if request_wire.is_not_executed(answer.status, answer.headers):
            answer.note_refusal()
        answer.release()
        return WholeAnswer(answer.status, answer.headers, content)

    async def _read_body(
        self, answer: answers.Answer
    ) -> bytes | ExchangeFailure:
        """Reads a body; fails as truncated when the memory limit is reached."""
        chunks: list[bytes] = []
        size = 0
        try:
            while True:
                chunk = await answer.read_chunk()
                if isinstance(chunk, ExchangeFailure):
                    return chunk
                if not chunk:
                    return b"".join(chunks)
                if not self._memory.try_take(len(chunk)):
                    return ExchangeFailure(FailureKind.TRUNCATED)
                size += len(chunk)
                chunks.append(chunk)
        finally:
            self._memory.release(size)

    def _take_idle(
        self, *, allows_refused: bool
    ) -> server_connection.ServerConnection | None:
        now_s = time.monotonic()
        for connection in reversed(self._idle.copy()):
            if not connection.is_usable or (
                now_s - connection.last_received_s > self._idle_timeout_s
            ):
                connection.retire(FailureKind.CONNECTION_LOST)
            elif allows_refused or not connection.has_refused:
                self._idle.remove(connection)
                self._busy.add(connection)
                return connection
        return None

    async def _open(
        self, timeout_s: float
    ) -> server_connection.ServerConnection | ExchangeFailure:
        self._on_opened()
        connection = await server_connection.open_connection(
            self, self._host, self._port, timeout_s, allows_close_delimited=True
        )
        if not isinstance(connection, ExchangeFailure):
            self._busy.add(connection)
        return connection
