"""FrontServer: HTTP server that accepts the connections of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import caller_connection
from magnoliacrank.gateway import listener

if TYPE_CHECKING:
    import socket

    from magnoliacrank.gateway import front_limits

_CLOSE_POLL_S = 0.01


class FrontServer:
    """HTTP server that accepts callers and owns their connections.

    Args:
        handler: Answers each request.
        limits: Limits and timeouts for callers' connections.
    """

    def __init__(
        self,
        handler: caller_connection.FrontHandler,
        limits: front_limits.FrontLimits,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._connections: set[caller_connection.CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False
        self._port = 0

    @property
    def handler(self) -> caller_connection.FrontHandler:
        """Handler that answers each request."""
        return self._handler

    @property
    def limits(self) -> front_limits.FrontLimits:
        """Limits and timeouts for connections that open from now on."""
        return self._limits

    @property
    def is_draining(self) -> bool:
        """Whether every connection closes after its current answer."""
        return self._is_draining

    @property
    def port(self) -> int:
        """TCP port on which the server listens; 0 before `start`."""
        return self._port

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    def set_limits(self, limits: front_limits.FrontLimits) -> None:
        """Sets the limits for connections that open from now on.

        The limit on the number of connections counts those already open.

        Args:
            limits: Limits and timeouts for callers' connections.
        """
        self._limits = limits

    async def start(self, host: str, port: int) -> None:
        """Starts to accept connections.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; 0 lets the system choose one.

        Raises:
            OSError: The server can't listen on this address.
        """
        await self.start_on(listener.open_listener(host, port))

    async def start_on(self, listening: socket.socket) -> None:
        """Starts to accept connections from a socket that already listens.

        Args:
            listening: The socket; the server closes it when it stops.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_connection.CallerConnection(self, loop),
            sock=listening,
            backlog=listener.BACKLOG,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def start_draining(self) -> None:
        """Makes every connection close after its next answer.

        New connections are still accepted.
        """
        self._is_draining = True

    def stop_accepting(self) -> None:
        """Stops accepting connections; open ones close after their answer."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()

    async def close(self, grace_s: float) -> None:
        """Stops the server and closes all connections.

        Connections without a request close at once, the others after their
        answer.

        Args:
            grace_s: Time in seconds after which connections with unfinished
                requests are aborted.
        """
        self.stop_accepting()
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()
        deadline_s = asyncio.get_running_loop().time() + grace_s
        while self._connections:
            if asyncio.get_running_loop().time() > deadline_s:
                break
            await asyncio.sleep(_CLOSE_POLL_S)
        if self.busy_count:
            logging.warning(
                "gateway: Aborted %d unfinished requests.", self.busy_count
            )
        for connection in list(self._connections):
            connection.abort_connection()
        await asyncio.sleep(0)

    def on_opened(self, connection: caller_connection.CallerConnection) -> bool:
        """Registers a new connection.

        Args:
            connection: The connection.

        Returns:
            False if there are too many connections, so that the new one is to
            be refused.
        """
        self._connections.add(connection)
        return len(self._connections) <= self._limits.max_connections

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
