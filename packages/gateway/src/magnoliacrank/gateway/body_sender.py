"""Sends a request body to a backend server as it arrives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import body as bodies
from magnoliacrank.gateway import exchange_failure

if TYPE_CHECKING:
    from magnoliacrank.gateway import server_connection

    Waiter = asyncio.Future[
        server_connection.AnswerHead | exchange_failure.ExchangeFailure
    ]

FailureKind = exchange_failure.FailureKind

_LAST_CHUNK = b"0\r\n\r\n"


async def send_beside(
    connection: server_connection.ServerConnection,
    source: bodies.BodySource,
    waiter: Waiter,
) -> server_connection.AnswerHead | exchange_failure.ExchangeFailure:
    """Sends a body while the answer is awaited, which may come before its end.

    Args:
        connection: Connection on which the head of the request was sent.
        source: Where the body is read from.
        waiter: Future of the answer.

    Returns:
        The answer's head or the failure.
    """
    sender = asyncio.ensure_future(send(connection, source))
    try:
        return await waiter
    finally:
        if not sender.done():
            sender.cancel()
            connection.mark_last()


async def send(
    connection: server_connection.ServerConnection, source: bodies.BodySource
) -> None:
    """Sends a body in chunks; one that breaks off closes the connection.

    Args:
        connection: Connection on which the head of the request was sent.
        source: Where the body is read from.
    """
    try:
        is_whole = await _copy(connection, source)
    except Exception:  # The exchange must end also when the source fails.
        logging.exception("gateway: Reading a request body failed.")
        is_whole = False
    if not is_whole:
        connection.retire(FailureKind.BODY_FAILED)


async def _copy(
    connection: server_connection.ServerConnection, source: bodies.BodySource
) -> bool:
    length = source.body_length
    sent = 0
    while True:
        chunk = await source.read_chunk()
        if isinstance(chunk, bodies.BodyFailure):
            return False
        if not chunk:
            break
        sent += len(chunk)
        if length is None:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        elif sent > length:
            return False
        connection.write(chunk)
        await connection.drained()
    if length is None:
        connection.write(_LAST_CHUNK)
    return length is None or sent == length
