"""Answer: a backend server's answer, read in chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import server_connection

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy


class Answer:
    """A backend server's answer; to be released or abandoned in the end."""

    __slots__ = ("_connection", "_payload", "headers", "length", "status")

    def __init__(
        self,
        connection: server_connection.ServerConnection,
        head: server_connection.AnswerHead,
    ) -> None:
        message = head.message
        self._connection = connection
        self._payload = head.payload
        self.status: int = message.code
        self.headers: CIMultiDictProxy[str] = message.headers
        length = message.headers.get(hdrs.CONTENT_LENGTH)
        self.length = None if length is None else int(length)

    @property
    def is_whole(self) -> bool:
        """Whether all of the answer has arrived."""
        return self._payload.is_eof()

    def take_whole(self) -> bytes | None:
        """Returns the body and releases the answer, if all has arrived."""
        payload = self._payload
        if not payload.is_eof():
            return None
        content = payload.read_nowait()
        self._connection.release()
        return content

    async def read_chunk(self) -> bytes | exchange_failure.ExchangeFailure:
        """Returns the next bytes of the body; empty at the end of a whole one.

        Returns:
            Bytes, or why the body will not become whole.
        """
        payload = self._payload
        try:
            if payload.is_eof():
                return payload.read_nowait()
            return await payload.readany()
        except exchange_failure.ExchangeFailureError as error:
            return error.failure

    async def read_all(
        self, limit: int
    ) -> bytes | exchange_failure.ExchangeFailure | None:
        """Returns the whole body, or None when it is larger than the limit.

        Args:
            limit: Largest body in bytes that is held in memory.
        """
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = await self.read_chunk()
            if isinstance(chunk, exchange_failure.ExchangeFailure):
                return chunk
            if not chunk:
                return b"".join(chunks)
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)

    def release(self) -> None:
        """Ends the use of the answer.

        The connection is kept when the answer came whole, else it closes.
        """
        self._connection.release()
