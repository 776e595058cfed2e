"""FrontServer: accepts callers' connections and hands out their requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import caller_connection

if TYPE_CHECKING:
    from magnoliacrank.gateway import front_limits

_BACKLOG = 1024
_CLOSE_POLL_S = 0.01


class FrontServer:
    """Listens for callers; owns all of their connections.

    Args:
        handler: What is done with each request.
        limits: Limits on callers' connections.
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
        """What is done with each request."""
        return self._handler

    @property
    def limits(self) -> front_limits.FrontLimits:
        """Limits on callers' connections."""
        return self._limits

    @property
    def is_draining(self) -> bool:
        """Whether each answer closes its connection."""
        return self._is_draining

    @property
    def port(self) -> int:
        """TCP port on which it listens."""
        return self._port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of requests that are being answered."""
        return sum(connection.is_busy for connection in self._connections)

    def set_limits(self, limits: front_limits.FrontLimits) -> None:
        """Puts limits into force for connections that open from now on.

        Args:
            limits: Limits on callers' connections.
        """
        self._limits = limits

    async def start(self, host: str, port: int) -> None:
        """Starts to listen.

        Args:
            host: IP address.
            port: TCP port; 0 lets the system choose.

        Raises:
            OSError: The address can't be used.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_connection.CallerConnection(self, loop),
            host,
            port,
            backlog=_BACKLOG,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def start_draining(self) -> None:
        """Makes each answer from now on the last one of its connection."""
        self._is_draining = True

    def stop_accepting(self) -> None:
        """Accepts no more connections; open ones close after an answer."""
        self._is_draining = True
        if self._server is not None:
            self._server.close()

    async def close(self, grace_s: float) -> None:
        """Closes all connections, those with a request in flight last.

        Args:
            grace_s: Time within which requests may still be answered.
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
            logging.warning("gateway: Cut %d requests.", self.busy_count)
        for connection in list(self._connections):
            connection.cut()
        await asyncio.sleep(0)

    def on_opened(self, connection: caller_connection.CallerConnection) -> bool:
        """Takes a new connection in; False when there are too many."""
        self._connections.add(connection)
        return len(self._connections) <= self._limits.max_connections

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Forgets a connection."""
        self._connections.discard(connection)
