"""Requests relayed from a FrontServer through a ServerPool to a server."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time

from aiohttp import ClientSession
from aiohttp import web
import pytest

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool

_PHOTO = bytes(range(256)) * 4 * 1024 * 8


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
        answer = await self.pool.exchange(head, exchange, time.monotonic() + 20)
        if isinstance(answer, exchange_failure.ExchangeFailure):
            await exchange.answer(502, [], answer.kind.value.encode())
            return
        exchange.start_answer(
            answer.status, framing.end_to_end(answer.headers), answer.length
        )
        while chunk := await answer.read_chunk():
            if isinstance(chunk, exchange_failure.ExchangeFailure):
                exchange.abort()
                break
            await exchange.write(chunk)
        answer.release()
        await exchange.finish()


async def _echo(request):
    digest = hashlib.sha256()
    size = 0
    async for chunk in request.content.iter_any():
        digest.update(chunk)
        size += len(chunk)
    return web.json_response(
        {
            "method": request.method,
            "target": request.raw_path,
            "size": size,
            "digest": digest.hexdigest(),
            "headers": [list(item) for item in request.headers.items()],
        }
    )


async def _photo(request):
    response = web.StreamResponse()
    if "length" in request.query:
        response.content_length = len(_PHOTO)
    await response.prepare(request)
    if request.method != "HEAD":
        await response.write(_PHOTO)
    return response


async def _empty(_):
    return web.Response(status=204)


@contextlib.asynccontextmanager
async def _relayed():
    app = web.Application(client_max_size=1 << 30)
    app.router.add_route("*", "/echo", _echo)
    app.router.add_route("*", "/photo", _photo)
    app.router.add_route("*", "/empty", _empty)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    pool = server_pool.ServerPool("127.0.0.1", port, pool_limits.PoolLimits())
    await pool.start()
    front = front_server.FrontServer(Relay(pool), front_limits.FrontLimits())
    await front.start("127.0.0.1", 0)
    try:
        async with ClientSession(f"http://127.0.0.1:{front.port}") as session:
            yield session, pool, front
    finally:
        await front.close(1.0)
        await pool.close()
        await runner.cleanup()


@pytest.mark.parametrize(
    ("method", "body"),
    [
        ("GET", None),
        ("DELETE", None),
        ("POST", b""),
        ("POST", b"x" * 10),
        ("PUT", _PHOTO),
    ],
)
async def test_relay_request_arrives_whole(method, body):
    async with _relayed() as (session, _, _):
        async with session.request(
            method, "/echo?a=%20b", data=body, headers={"X-Word": "é"}
        ) as response:
            seen = await response.json()
        content = body or b""
        assert seen["method"] == method
        assert seen["target"] == "/echo?a=%20b"
        assert seen["size"] == len(content)
        assert seen["digest"] == hashlib.sha256(content).hexdigest()
        assert ["X-Word", "é"] in seen["headers"]


async def test_relay_chunked_request_arrives_whole():
    async def chunks():
        for start in range(0, len(_PHOTO), 100_000):
            yield _PHOTO[start : start + 100_000]

    async with _relayed() as (session, _, _):
        async with session.post("/echo", data=chunks()) as response:
            seen = await response.json()
        assert seen["digest"] == hashlib.sha256(_PHOTO).hexdigest()


@pytest.mark.parametrize("target", ["/photo", "/photo?length"])
async def test_relay_answer_arrives_whole(target):
    async with _relayed() as (session, pool, _):
        async with session.get(target) as response:
            content = await response.read()
        assert content == _PHOTO
        assert (pool.idle_count, pool.busy_count) == (1, 0)


@pytest.mark.parametrize(
    ("method", "target", "status", "length"),
    [
        ("HEAD", "/photo?length", 200, str(len(_PHOTO))),
        ("GET", "/empty", 204, None),
        ("HEAD", "/empty", 204, None),
    ],
)
async def test_relay_answer_without_body_keeps_connections(
    method, target, status, length
):
    async with _relayed() as (session, pool, front):
        for _ in range(3):
            async with session.request(method, target) as response:
                assert response.status == status
                assert response.headers.get("Content-Length") == length
                assert await response.read() == b""
        async with session.get("/echo") as response:
            assert response.status == 200
        assert (pool.open_count, front.connection_count) == (1, 1)


async def test_relay_concurrent_requests_get_their_own_answers():
    async with _relayed() as (session, _, _):

        async def ask(number):
            async with session.get(f"/echo?{number}") as response:
                return (await response.json())["target"]

        targets = await asyncio.gather(*(ask(n) for n in range(12)))
        assert targets == [f"/echo?{n}" for n in range(12)]
