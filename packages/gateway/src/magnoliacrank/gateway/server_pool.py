"""ServerPool: pool of HTTP connections from this instance to one server."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import logging
from aiohttp import hdrs

from magnoliacrank.gateway import answer as answers
from magnoliacrank.gateway import body_sender
from magnoliacrank.gateway import deadline_watch
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import pool_events
from magnoliacrank.gateway import server_connection
from magnoliacrank.gateway import silence_watch
from magnoliacrank.model import headers as header_names

if TYPE_CHECKING:
    from magnoliacrank.gateway import body as bodies
    from magnoliacrank.gateway import outbound_head
    from magnoliacrank.gateway import pool_limits

FailureKind = exchange_failure.FailureKind
ExchangeFailure = exchange_failure.ExchangeFailure

_DRAIN_POLL_S = 0.05
_NOT_RUN_VALUE = "1"
_MIN_REFUSAL_STATUS = 400


class ServerPool:
    """Pool of connections from this instance to one backend server.

    The server may also be another entry instance, to which requests are
    forwarded. The pool has no queue: if all connections are in use, a request
    fails at once as not run. Waiting for a free slot is up to the code that
    uses the pool.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        limits: Limits on the number of connections, and timeouts.
        listener: Receives reports of silent connections and decides whether
            a probe may be sent; None ignores reports and allows all probes.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limits: pool_limits.PoolLimits,
        listener: pool_events.PoolListener | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._limits = limits
        self._listener = listener or pool_events.NullListener()
        self._idle: list[server_connection.ServerConnection] = []
        self._busy: set[server_connection.ServerConnection] = set()
        self._opening_count = 0
        self._accepts_requests = False
        self._deadline_watch = deadline_watch.DeadlineWatch(self._busy)
        self._silence_watch = silence_watch.SilenceWatch(
            self, limits, self._listener
        )

    @property
    def host(self) -> str:
        """IP address of the server."""
        return self._host

    @property
    def port(self) -> int:
        """TCP port of the server."""
        return self._port

    @property
    def authority(self) -> str:
        """Host and port in the form of a Host header, such as 10.0.0.1:80."""
        return f"{self._host}:{self._port}"

    @property
    def idle_count(self) -> int:
        """Number of open connections without a request in progress."""
        return len(self._idle)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return len(self._busy)

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + self._opening_count

    @property
    def busy(self) -> set[server_connection.ServerConnection]:
        """Connections with a request in progress; not a copy."""
        return self._busy

    async def start(self) -> None:
        """Makes the pool accept requests; connections open on demand."""
        self.open()

    def open(self) -> None:
        """Makes the pool accept requests; connections open on demand."""
        self._accepts_requests = True

    async def drain(self) -> None:
        """Waits until the requests in progress have ended, then closes.

        Meanwhile no connections are opened, and idle ones are closed.
        """
        self._accepts_requests = False
        for connection in list(self._idle):
            connection.retire(FailureKind.CONNECTION_LOST)
        while self._busy:
            await asyncio.sleep(_DRAIN_POLL_S)
            for connection in list(self._idle):
                connection.retire(FailureKind.CONNECTION_LOST)
        await self.close()

    async def close(self) -> None:
        """Closes all connections at once; requests in progress fail."""
        self._accepts_requests = False
        self._deadline_watch.close()
        await self._silence_watch.close()
        for connection in [*self._idle, *self._busy]:
            connection.retire(FailureKind.CONNECTION_LOST)
        await asyncio.sleep(0)

    async def warm(self, count: int) -> int:
        """Opens idle connections ahead of demand.

        Args:
            count: Number of connections to have open, at most the limit
                `max_connections`; those already open count.

        Returns:
            The number of connections that are open or being opened.
        """
        missing_count = (
            min(count, self._limits.max_connections) - self.open_count
        )
        timeout_s = self._limits.connect_timeout_s
        opened = await asyncio.gather(
            *(self._open(timeout_s) for _ in range(missing_count))
        )
        for connection in opened:
            if not isinstance(connection, ExchangeFailure):
                self._busy.discard(connection)
                self._idle.append(connection)
        return self.open_count

    async def exchange(
        self,
        head: outbound_head.OutboundHead,
        body: bodies.BodySource | bytes,
        deadline_s: float,
        *,
        needs_live: bool = False,
    ) -> answers.Answer | ExchangeFailure:
        """Sends a request and waits for the head of its answer.

        Args:
            head: Method, target and headers of the request.
            body: Body of the request, or the source to read it from.
            deadline_s: Time until which the whole answer has to arrive,
                compared with `time.monotonic()`.
            needs_live: Whether to use an idle connection only if it
                received bytes, or was opened, within the last
                `alive_within_s` of the limits, and never carried a refusal,
                which a faulty server could repeat. If there is none, a new
                one is opened.

        Returns:
            The answer, which the code that called has to release, or why
            there is none.

        Raises:
            framing.HeaderInjectionError: A header contains a line end or a
                null character.
        """
        source = None
        if isinstance(body, bytes):
            data = head.encode(len(body)) + body
        else:
            data = head.encode(body.body_length)
            source = body if body.body_length != 0 else None
        connection = self._take_idle(needs_live=needs_live)
        if connection is None:
            remaining_s = deadline_s - time.monotonic()
            opened = await self._open_within_limit(remaining_s)
            if isinstance(opened, ExchangeFailure):
                return opened
            connection = opened
        if deadline_s <= time.monotonic():
            self.on_idle(connection)
            return ExchangeFailure(FailureKind.CONNECT_TIMEOUT)
        waiter = connection.send(
            data,
            is_head_request=head.method == hdrs.METH_HEAD,
            deadline_s=deadline_s,
        )
        try:
            if source is None:
                outcome = await waiter
            else:
                outcome = await body_sender.send_while_waiting(
                    connection, source, waiter
                )
        except asyncio.CancelledError:
            connection.retire(FailureKind.CONNECTION_LOST)
            raise
        if isinstance(outcome, ExchangeFailure):
            return outcome
        self._silence_watch.on_answered(connection)
        return self._check_refusal(answers.Answer(connection, outcome))

    async def open_for_probe(
        self, timeout_s: float
    ) -> server_connection.ServerConnection | ExchangeFailure:
        """Opens a new connection for a probe, even if others are idle.

        If the pool is at its limit, the longest-idle connection is closed.

        Args:
            timeout_s: Longest time in seconds until the connection is open.

        Returns:
            The connection, which counts as busy, or why there is none.
        """
        return await self._open_within_limit(timeout_s)

    def retire_idle_before(self, last_received_s: float) -> int:
        """Closes idle connections that received no bytes since a time.

        Those that were opened since then stay open.

        Args:
            last_received_s: The time, from `time.monotonic()`.

        Returns:
            The number of connections that were closed.
        """
        stale = [
            item
            for item in self._idle
            if item.last_received_s <= last_received_s
        ]
        for connection in stale:
            connection.retire(FailureKind.CONNECTION_LOST)
        return len(stale)

    def on_retired(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Removes a closed connection from the pool."""
        self._busy.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def on_idle(self, connection: server_connection.ServerConnection) -> None:
        """Makes a connection available for the next request."""
        self._busy.discard(connection)
        self._idle.append(connection)

    def on_sent(self, connection: server_connection.ServerConnection) -> None:
        """Starts to watch the deadline of a request and for silence."""
        self._deadline_watch.on_sent(connection.deadline_s)
        self._silence_watch.on_sent(connection)

    def _check_refusal(
        self, answer: answers.Answer
    ) -> answers.Answer | ExchangeFailure:
        """Turns an error answer into a failure if it states "not run".

        The server states with a header that it refused the request without
        running any of it, so the request can safely be sent elsewhere.
        """
        if answer.status < _MIN_REFUSAL_STATUS:
            return answer
        if answer.headers.get(header_names.NOT_RUN) != _NOT_RUN_VALUE:
            return answer
        answer.note_refusal()
        answer.release()
        return ExchangeFailure(FailureKind.REFUSED, answer.headers)

    def _take_idle(
        self, *, needs_live: bool
    ) -> server_connection.ServerConnection | None:
        now_s = time.monotonic()
        limits = self._limits
        max_idle_s = (
            limits.alive_within_s if needs_live else limits.idle_timeout_s
        )
        for connection in reversed(self._idle.copy()):
            if not connection.is_usable:
                connection.retire(FailureKind.CONNECTION_LOST)
            elif now_s - connection.last_received_s > max_idle_s:
                return None
            elif not (needs_live and connection.has_refused):
                self._idle.remove(connection)
                self._busy.add(connection)
                return connection
        return None

    async def _open_within_limit(
        self, timeout_s: float
    ) -> server_connection.ServerConnection | ExchangeFailure:
        if not self._accepts_requests:
            return ExchangeFailure(FailureKind.POOL_CLOSED)
        if self.open_count >= self._limits.max_connections:
            if not self._idle:
                return ExchangeFailure(FailureKind.POOL_EXHAUSTED)
            self._idle[0].retire(FailureKind.CONNECTION_LOST)
        return await self._open(timeout_s)

    async def _open(
        self, timeout_s: float
    ) -> server_connection.ServerConnection | ExchangeFailure:
        limit_s = min(timeout_s, self._limits.connect_timeout_s)
        if limit_s <= 0:
            return ExchangeFailure(FailureKind.CONNECT_TIMEOUT)
        self._opening_count += 1
        try:
            connection = await server_connection.open_connection(
                self, self._host, self._port, limit_s
            )
        finally:
            self._opening_count -= 1
        if isinstance(connection, ExchangeFailure):
            if connection.kind is FailureKind.CONNECT_FAILED:
                logging.warning(
                    "gateway: Could not connect to %s: %s.",
                    self.authority,
                    connection.detail,
                )
            return connection
        if not self._accepts_requests:
            connection.retire(FailureKind.CONNECTION_LOST)
            return ExchangeFailure(FailureKind.POOL_CLOSED)
        self._busy.add(connection)
        return connection
