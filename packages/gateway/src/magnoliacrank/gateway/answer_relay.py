"""Relays an answer to a caller, either whole or visibly truncated."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import answer as answers
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.policy import key_entry

if TYPE_CHECKING:
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import verdict

_MAX_BUFFERED_BYTES = 64 * 1024

HeaderFields = list[tuple[str, str]]
"""Names and values of HTTP headers."""


@attrs.frozen
class Delivered:
    """Result of a relay that sent the whole answer to the caller."""

    kept: key_entry.KeptAnswer | None
    """Copy of the answer for later requests with the same idempotency key;
    None if the answer was streamed or is too large to be stored."""


async def relay(
    exchange: inbound_exchange.InboundExchange,
    received: answers.Answer,
    fields: HeaderFields,
) -> Delivered | verdict.Verdict | exchange_failure.ExchangeFailure:
    """Relays an answer to the caller and releases it.

    A small answer is buffered first, so that another one can be sent if it
    fails to arrive whole. A large answer is streamed; if it fails, the caller's
    connection is aborted.

    Args:
        exchange: Request of the caller, which gets the answer.
        received: Answer of a backend server or of another entry instance.
        fields: Headers for the caller, without the framing headers.

    Returns:
        `Delivered` if the caller was sent the whole answer; the verdict if a
        streamed answer was aborted; or the failure if nothing was sent to the
        caller.
    """
    length = received.length
    is_small = length is not None and length <= _MAX_BUFFERED_BYTES
    try:
        if is_small or received.is_whole:
            return await _relay_whole(exchange, received, fields)
        return await _relay_stream(exchange, received, fields)
    finally:
        received.release()


async def _relay_whole(
    exchange: inbound_exchange.InboundExchange,
    received: answers.Answer,
    fields: HeaderFields,
) -> Delivered | exchange_failure.ExchangeFailure:
    content = await received.read_chunk()
    if isinstance(content, exchange_failure.ExchangeFailure):
        return content
    if not received.is_whole:
        rest = await received.read_all(_MAX_BUFFERED_BYTES)
        if isinstance(rest, exchange_failure.ExchangeFailure):
            return rest
        assert rest is not None, "its stated length is within the limit"
        content += rest
    # An answer to HEAD has no body, but states the length of one.
    length = len(content) or received.length or 0
    exchange.start_answer(received.status, fields, length)
    await exchange.write(content)
    await exchange.finish()
    if len(content) > _MAX_BUFFERED_BYTES:
        return Delivered(None)
    return Delivered(
        key_entry.KeptAnswer(
            received.status,
            tuple((str(name), value) for name, value in fields),
            content,
        )
    )


async def _relay_stream(
    exchange: inbound_exchange.InboundExchange,
    received: answers.Answer,
    fields: HeaderFields,
) -> Delivered | verdict.Verdict:
    exchange.start_answer(received.status, fields, received.length)
    while True:
        chunk = await received.read_chunk()
        if isinstance(chunk, exchange_failure.ExchangeFailure):
            exchange.abort()
            return chunk.verdict
        if not chunk:
            break
        await exchange.write(chunk)
    await exchange.finish()
    return Delivered(None)
