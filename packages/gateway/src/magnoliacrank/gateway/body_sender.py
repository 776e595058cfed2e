"""Streams a request body to a backend server as it arrives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import body as bodies
from magnoliacrank.gateway import exchange_failure

if TYPE_CHECKING:
    from magnoliacrank.gateway import server_connection

    HeadFuture = asyncio.Future[
        server_connection.AnswerHead | exchange_failure.ExchangeFailure
    ]

FailureKind = exchange_failure.FailureKind

_LAST_CHUNK = b"0\r\n\r\n"


async def send_while_waiting(
    connection: server_connection.ServerConnection,
    source: bodies.BodySource,
    head_future: HeadFuture,
) -> server_connection.AnswerHead | exchange_failure.ExchangeFailure:
    """Sends a body while waiting for the head of the answer.

    If the answer's head arrives before the end of the body, sending stops and
    the connection closes after the answer.

    Args:
        connection: Connection on which the head of the request was sent.
        source: Source from which the body is read.
        head_future: Future of the answer's head, from `connection.send`.

    Returns:
        The answer's head or the failure.
    """
    sender = asyncio.ensure_future(send(connection, source))
    try:
        return await head_future
    finally:
        if not sender.done():
            sender.cancel()
            connection.close_after_answer()


async def send(
    connection: server_connection.ServerConnection, source: bodies.BodySource
) -> None:
    """Sends a body in chunks; closes the connection if reading it fails.

    Args:
        connection: Connection on which the head of the request was sent.
        source: Source from which the body is read.
    """
    try:
        is_whole = await _stream_body(connection, source)
    except Exception:  # A failing source must end the exchange, too.
        logging.exception("gateway: Reading a request body failed.")
        is_whole = False
    if not is_whole:
        connection.retire(FailureKind.BODY_FAILED)


async def _stream_body(
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
        await connection.wait_writable()
    if length is None:
        connection.write(_LAST_CHUNK)
    return length is None or sent == length
