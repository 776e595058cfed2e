"""Requests leave no reference cycles, so that rare collections suffice."""

from __future__ import annotations

import asyncio
import gc

import pytest

from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.gateway import garbage_collection

_REQUESTS = 200


class _OkHandler:
    async def on_request(self, exchange):
        await exchange.read_body(100)
        await exchange.answer(200, [], b"ok")


@pytest.fixture
def restored():
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)


@pytest.mark.usefixtures("restored")
async def test_requests_leave_no_cycles():
    server = front_server.FrontServer(_OkHandler(), front_limits.FrontLimits())
    await server.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    garbage_collection.configure()
    gc.disable()
    try:
        for _ in range(_REQUESTS):
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await reader.readuntil(b"ok")
        assert gc.collect() < _REQUESTS
    finally:
        gc.enable()
        writer.close()
        await server.close(0.1)


@pytest.mark.usefixtures("restored")
def test_settle_freezes_what_start_up_allocated():
    garbage_collection.configure()
    assert gc.get_freeze_count() > 0
    assert gc.get_threshold()[0] > 700
