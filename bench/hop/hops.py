"""The ways from a caller to the backend server that the bench compares."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import time
from typing import TYPE_CHECKING
from typing import cast

import aiohttp
from aiohttp import web
import attrs

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool

if TYPE_CHECKING:
    from magnoliacrank.gateway import caller_connection
    from magnoliacrank.gateway import inbound_exchange

_HOST = "127.0.0.1"
_DEADLINE_S = 5.0
_BODY_BYTES = 65536
_MAX_CONNECTIONS = 64
_WARM_CONNECTIONS = 4


@attrs.frozen
class Settings:
    """What a way needs to know."""

    backend_port: int = 0
    """TCP port of the backend server."""

    answer_bytes: int = 512
    """Size of the backend server's answers."""


Starter = Callable[[Settings], Awaitable[int]]
"""Starts a server and returns its port."""


class _Backend:
    """Gives the same answer to every request."""

    def __init__(self, size: int) -> None:
        self._content = b"x" * size
        self._headers = [("Content-Type", "text/plain")]

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        await exchange.read_body(1 << 20)
        await exchange.answer(200, self._headers, self._content)


class _Relay:
    """Forwards every request through one pool and decides nothing."""

    def __init__(self, pool: server_pool.ServerPool) -> None:
        self._pool = pool

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        head = outbound_head.OutboundHead(
            exchange.method,
            exchange.target,
            framing.end_to_end(exchange.headers),
        )
        content = await exchange.read_body(_BODY_BYTES)
        if not isinstance(content, bytes):
            await exchange.answer(400, [], b"")
            return
        answer = await self._pool.exchange(
            head, content, time.monotonic() + _DEADLINE_S
        )
        if isinstance(answer, exchange_failure.ExchangeFailure):
            await exchange.answer(502, [], b"")
            return
        fields = framing.end_to_end(answer.headers)
        whole = answer.take_whole()
        if whole is not None:
            await exchange.answer(answer.status, fields, whole)
            return
        exchange.start_answer(answer.status, fields, answer.length)
        while chunk := await answer.read_chunk():
            if isinstance(chunk, exchange_failure.ExchangeFailure):
                exchange.abort()
                break
            await exchange.write(chunk)
        answer.release()
        await exchange.finish()


async def _start_front(handler: caller_connection.FrontHandler) -> int:
    server = front_server.FrontServer(handler, front_limits.FrontLimits())
    await server.start(_HOST, 0)
    _closers.append(functools.partial(server.close, 0.0))
    return server.port


async def start_backend(settings: Settings) -> int:
    """Starts the backend server; returns its port."""
    return await _start_front(_Backend(settings.answer_bytes))


async def start_gateway(settings: Settings) -> int:
    """Starts the gateway's two sides with a handler that decides nothing."""
    pool = server_pool.ServerPool(
        _HOST,
        settings.backend_port,
        pool_limits.PoolLimits(max_connections=_MAX_CONNECTIONS),
    )
    await pool.start()
    await pool.warm(_WARM_CONNECTIONS)
    _closers.append(pool.close)
    return await _start_front(_Relay(pool))


async def start_aiohttp(settings: Settings) -> int:
    """Starts a hop on aiohttp's ordinary server and client."""
    session = aiohttp.ClientSession(auto_decompress=False)
    origin = f"http://{_HOST}:{settings.backend_port}"

    async def relay(request: web.BaseRequest) -> web.StreamResponse:
        content = request.content if request.body_exists else None
        async with session.request(
            request.method,
            origin + request.raw_path,
            headers=request.headers,
            data=content,
        ) as answer:
            return web.Response(
                status=answer.status,
                headers=framing.end_to_end(answer.headers),
                body=await answer.read(),
            )

    server = web.Server(relay, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, _HOST, 0)
    await site.start()
    _closers.extend([session.close, runner.cleanup])
    return int(runner.addresses[0][1])


class _Bytes(asyncio.Protocol):
    """One end of a relay of bytes."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Bytes | None = None
        self.waiting = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.waiting += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, _: BaseException | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def start_bytes(settings: Settings) -> int:
    """Starts a relay of bytes without HTTP: the floor on asyncio."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()

    class Front(_Bytes):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._connect())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _connect(self) -> None:
            _, back = await loop.create_connection(
                _Bytes, _HOST, settings.backend_port
            )
            back.other = self
            self.other = back
            if self.waiting and back.transport is not None:
                back.transport.write(self.waiting)

    server = await loop.create_server(Front, _HOST, 0)
    _servers.append(server)
    return int(server.sockets[0].getsockname()[1])


WAYS: dict[str, Starter] = {
    "aiohttp": start_aiohttp,
    "gateway": start_gateway,
    "bytes": start_bytes,
}
"""The hops by name; each starts in a process of its own."""

_servers: list[asyncio.Server] = []
"""Keeps servers without clean-up of their own from being collected."""

_closers: list[Callable[[], Awaitable[None]]] = []
"""What ends the servers of this process."""


async def close_all() -> None:
    """Ends what was started in this process."""
    for close in reversed(_closers):
        await close()
