"""Backpressure: large bodies are streamed both ways, not held in memory."""

from __future__ import annotations

import asyncio
import contextlib
import time

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool

_CHUNK = b"x" * 65536
_CHUNKS = 1024
_SIZE = len(_CHUNK) * _CHUNKS
_MAX_BYTES_IN_TRANSIT = _SIZE // 2
"""Bound on bytes in transit; most are in the kernel's socket buffers."""

_REQUEST = b"%b / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Backend:
    """Sends one large body, or receives one once `may_receive` is set."""

    def __init__(self):
        self.sent = 0
        self.received = 0
        self.may_receive = asyncio.Event()

    async def on_request(self, exchange):
        if exchange.method == "GET":
            exchange.start_answer(200, [], _SIZE)
            for _ in range(_CHUNKS):
                await exchange.write(_CHUNK)
                self.sent += len(_CHUNK)
            await exchange.finish()
            return
        await self.may_receive.wait()
        while chunk := await exchange.read_chunk():
            self.received += len(chunk)
        await exchange.answer(200, [], b"")


class Relay:
    """Forwards every request to one pool."""

    def __init__(self, pool):
        self.pool = pool

    async def on_request(self, exchange):
        head = outbound_head.OutboundHead(
            exchange.method,
            exchange.target,
            framing.end_to_end(exchange.headers),
        )
        answer = await self.pool.exchange(head, exchange, time.monotonic() + 60)
        assert not isinstance(answer, exchange_failure.ExchangeFailure)
        exchange.start_answer(answer.status, [], answer.length)
        while chunk := await answer.read_chunk():
            await exchange.write(chunk)
        answer.release()
        await exchange.finish()


@contextlib.asynccontextmanager
async def _relayed():
    backend = Backend()
    limits = front_limits.FrontLimits()
    behind = front_server.FrontServer(backend, limits)
    await behind.start("127.0.0.1", 0)
    pool = server_pool.ServerPool(
        "127.0.0.1", behind.port, pool_limits.PoolLimits()
    )
    await pool.start()
    front = front_server.FrontServer(Relay(pool), limits)
    await front.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
    try:
        yield backend, reader, writer
    finally:
        writer.close()
        await front.close(0.1)
        await pool.close()
        await behind.close(0.1)


async def _wait_until_stable(count):
    """Waits until a count stays the same for 0.1 s; returns it."""
    before = -1
    while count() != before:
        before = count()
        await asyncio.sleep(0.1)
    return before


async def test_answer_waits_for_a_caller_that_does_not_read():
    async with _relayed() as (backend, reader, writer):
        writer.write(_REQUEST % (b"GET", 0))
        await reader.readuntil(b"\r\n\r\n")
        assert (
            await _wait_until_stable(lambda: backend.sent)
            < _MAX_BYTES_IN_TRANSIT
        )
        content = await reader.readexactly(_SIZE)
        assert content.count(b"x") == _SIZE


async def test_body_waits_for_a_server_that_does_not_read():
    sent = 0

    async def send():
        nonlocal sent
        for _ in range(_CHUNKS):
            writer.write(_CHUNK)
            await writer.drain()
            sent += len(_CHUNK)

    async with _relayed() as (backend, reader, writer):
        writer.write(_REQUEST % (b"PUT", _SIZE))
        sender = asyncio.create_task(send())
        assert await _wait_until_stable(lambda: sent) < _MAX_BYTES_IN_TRANSIT
        backend.may_receive.set()
        await sender
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert backend.received == _SIZE
