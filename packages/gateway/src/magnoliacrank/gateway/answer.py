"""Answer: answer of a backend server, whose body is read in chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import server_connection

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy


class Answer:
    """Answer of a backend server, whose body is read from its connection.

    Its user has to call `release` in the end, also without reading the body,
    so that the connection is reused or closed.

    Args:
        connection: Connection on which the answer arrives.
        head: Parsed head of the answer, and its body stream.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        length: Value of the Content-Length header in bytes, None without it.
    """

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
        """Whether the whole answer has arrived."""
        return self._payload.is_eof()

    def read_if_whole(self) -> bytes | None:
        """Returns the body and releases the answer if it arrived whole.

        Returns:
            The whole body, or None if part of it is still to arrive; then
            nothing is read or released.
        """
        payload = self._payload
        if not payload.is_eof():
            return None
        content = payload.read_nowait()
        self._connection.release()
        return content

    async def read_chunk(self) -> bytes | exchange_failure.ExchangeFailure:
        """Waits for the next bytes of the body.

        Returns:
            The bytes, empty at the end of the whole body, or why the rest of
            the body can't be read.
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
        """Reads the whole body.

        Args:
            limit: Maximum size of the body in bytes.

        Returns:
            The body, None if it is larger than the limit, or why it can't be
            read.
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

    def note_refusal(self) -> None:
        """Records that this answer refuses its request as not run."""
        self._connection.note_refusal()

    def release(self) -> None:
        """Ends the use of the answer.

        The connection returns to its pool if the answer arrived whole and
        allows reuse; otherwise it is closed.
        """
        self._connection.release()
