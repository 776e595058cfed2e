"""The backend server and the hops that the benchmark compares."""

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
_MAX_BODY_BYTES = 65536
_MAX_CONNECTIONS = 64
_WARM_CONNECTIONS = 4


@attrs.frozen
class HopSettings:
    """Settings of a hop or of the backend server."""

    backend_port: int = 0
    """TCP port of the backend server; the backend server ignores it."""

    answer_bytes: int = 512
    """Size of the body of the backend server's answers."""


Starter = Callable[[HopSettings], Awaitable[int]]
"""Function that starts a hop or the backend server and returns its port."""


class _Backend:
    """Request handler of the backend server: always gives the same answer."""

    def __init__(self, size: int) -> None:
        self._content = b"x" * size
        self._headers = [("Content-Type", "text/plain")]

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        await exchange.read_body(1 << 20)
        await exchange.answer(200, self._headers, self._content)


class _GatewayRelay:
    """Request handler that forwards each request to one backend server.

    It uses the gateway's HTTP code without any decision of the product.
    """

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
        content = await exchange.read_body(_MAX_BODY_BYTES)
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
        whole = answer.read_if_whole()
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
    _cleanups.append(functools.partial(server.close, 0.0))
    return server.port


async def start_backend(settings: HopSettings) -> int:
    """Starts the backend server and returns its port."""
    return await _start_front(_Backend(settings.answer_bytes))


async def start_gateway(settings: HopSettings) -> int:
    """Starts a hop with the gateway's HTTP server and client; returns its port.

    The hop makes no decisions.
    """
    pool = server_pool.ServerPool(
        _HOST,
        settings.backend_port,
        pool_limits.PoolLimits(max_connections=_MAX_CONNECTIONS),
    )
    await pool.start()
    await pool.warm(_WARM_CONNECTIONS)
    _cleanups.append(pool.close)
    return await _start_front(_GatewayRelay(pool))


async def start_aiohttp(settings: HopSettings) -> int:
    """Starts a hop with the server and client of aiohttp; returns its port."""
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
    _cleanups.extend([session.close, runner.cleanup])
    return int(runner.addresses[0][1])


class _ByteRelay(asyncio.Protocol):
    """One connection of a relay, which copies its bytes to another one."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: _ByteRelay | None = None
        self.unsent = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self.unsent += data
        else:
            self.peer.transport.write(data)

    def connection_lost(self, _: BaseException | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


async def start_byte_relay(settings: HopSettings) -> int:
    """Starts a TCP relay and returns its port.

    It parses no HTTP, so its latency is the least that a hop on asyncio adds.
    """
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()

    class Front(_ByteRelay):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            task = loop.create_task(self._connect())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def _connect(self) -> None:
            _, back = await loop.create_connection(
                _ByteRelay, _HOST, settings.backend_port
            )
            back.peer = self
            self.peer = back
            if self.unsent and back.transport is not None:
                back.transport.write(self.unsent)

    server = await loop.create_server(Front, _HOST, 0)
    _listening_servers.append(server)
    return int(server.sockets[0].getsockname()[1])


HOP_STARTERS: dict[str, Starter] = {
    "aiohttp": start_aiohttp,
    "gateway": start_gateway,
    "bytes": start_byte_relay,
}
"""Functions that start a hop, by name; each hop runs in its own process."""

_listening_servers: list[asyncio.Server] = []
"""References that save servers without clean-up from garbage collection."""

_cleanups: list[Callable[[], Awaitable[None]]] = []
"""Functions that close what was started in this process."""


async def close_all() -> None:
    """Closes what was started in this process, the latest first."""
    for close in reversed(_cleanups):
        await close()
