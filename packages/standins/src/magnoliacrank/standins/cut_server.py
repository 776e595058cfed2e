"""CutServer: stand-in that breaks off in the head of its answer."""

from __future__ import annotations

import asyncio
import contextlib
import enum

CUT_HEADS = {
    "nothing": b"",
    "version": b"HTTP/1.",
    "status": b"HTTP/1.1 20",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "name": b"HTTP/1.1 200 OK\r\nContent-Le",
    "digits": b"HTTP/1.1 200 OK\r\nContent-Length: 12",
    "digits with id": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12"
    ),
    "header": b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n",
    "line end": b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r",
    "line end, signed": (b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r"),
    "no length": b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n",
    "coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
}
"""Beginnings of answers that break off before the end of their head."""


class Ending(enum.Enum):
    """What follows the beginning of an answer."""

    CLOSE = "close"
    """The connection is closed."""

    RESET = "reset"
    """The connection is reset."""

    SILENCE = "silence"
    """Nothing, until the client closes the connection."""


class CutServer:
    """HTTP server on loopback that never completes the head of an answer.

    Args:
        cut: Bytes that it sends after the head of a request.
        ending: What follows them.
    """

    def __init__(self, cut: bytes, ending: Ending) -> None:
        self._cut = cut
        self._ending = ending
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Starts the server.

        Returns:
            The TCP port that it listens on.
        """
        self._server = await asyncio.start_server(
            self._on_connection, "127.0.0.1", 0
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def close(self) -> None:
        """Stops listening and waits until all connections are closed."""
        if self._server is not None:
            self._server.close()
        for handler in self._handlers:
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        handler = asyncio.create_task(self._serve(reader, writer))
        self._handlers.add(handler)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._cut)
            if self._ending is Ending.SILENCE:
                await reader.read()
            elif self._ending is Ending.RESET:
                await writer.drain()
                writer.transport.abort()
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
