"""Relays an answer to a caller, whole or visibly broken."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import answer as answers
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.policy import key_entry

if TYPE_CHECKING:
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import verdict

_HELD_BYTES = 64 * 1024

Fields = list[tuple[str, str]]
"""Header names and values."""


@attrs.frozen
class Delivered:
    """The whole answer went to the caller."""

    kept: key_entry.KeptAnswer | None
    """The answer where it is small enough to be kept."""


async def relay(
    exchange: inbound_exchange.InboundExchange,
    received: answers.Answer,
    fields: Fields,
) -> Delivered | verdict.Verdict | exchange_failure.ExchangeFailure:
    """Passes an answer on and releases it.

    A small answer is read whole first, so that one that breaks can still be
    replaced; a large one is streamed and cut when it breaks.

    Args:
        exchange: The caller's side.
        received: The answer.
        fields: Headers for the caller, without the framing.

    Returns:
        What was delivered; the verdict of an answer that was cut; or a
        failure after which the caller has got nothing.
    """
    length = received.length
    is_small = length is not None and length <= _HELD_BYTES
    try:
        if is_small or received.is_whole:
            return await _relay_whole(exchange, received, fields)
        return await _relay_stream(exchange, received, fields)
    finally:
        received.release()


async def _relay_whole(
    exchange: inbound_exchange.InboundExchange,
    received: answers.Answer,
    fields: Fields,
) -> Delivered | exchange_failure.ExchangeFailure:
    content = await received.read_chunk()
    if isinstance(content, exchange_failure.ExchangeFailure):
        return content
    if not received.is_whole:
        rest = await received.read_all(_HELD_BYTES)
        if isinstance(rest, exchange_failure.ExchangeFailure):
            return rest
        assert rest is not None, "its stated length is within the limit"
        content += rest
    # The stated length of an answer to HEAD is not that of its body.
    length = len(content) or received.length or 0
    exchange.start_answer(received.status, fields, length)
    await exchange.write(content)
    await exchange.finish()
    if len(content) > _HELD_BYTES:
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
    fields: Fields,
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
