"""Callers that leave at each point of a request, for kinds that run once.

Work that has begun is finished; work that hasn't must not begin for a caller
that waits no more.
"""

import asyncio

from aiohttp import web
import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.standins import platform_backend


class HeadOnly(platform_backend.PlatformBackend):
    """Sends the head of an answer and nothing more."""

    async def _run(self, request, headers):
        answer = web.StreamResponse(headers={**headers, "Content-Length": "10"})
        await answer.prepare(request)
        self._running += 1
        try:
            await asyncio.sleep(3600)
        finally:
            self._running -= 1


def write(site, **fields):
    return asyncio.ensure_future(
        site.request("/write/1", method="POST", data=b"x", **fields)
    )


async def test_caller_leaves_while_the_connection_is_made(site, monkeypatch):
    """Guards against work that begins after its caller has left."""
    backend = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    opening = asyncio.Event()
    open_connection = backend_link.BackendLink._open
    take_idle = backend_link.BackendLink._take_idle

    def take_none(link, *, allows_refused):
        if allows_refused:
            return take_idle(link, allows_refused=True)
        opening.set()
        return None

    async def open_slowly(link, timeout_s):
        if opening.is_set():
            await asyncio.sleep(0.2)
        return await open_connection(link, timeout_s)

    monkeypatch.setattr(backend_link.BackendLink, "_take_idle", take_none)
    monkeypatch.setattr(backend_link.BackendLink, "_open", open_slowly)
    pending = write(site)
    await opening.wait()
    pending.cancel()
    await asyncio.sleep(0.6)
    assert backend.runs == []
    assert "caller left" in site.logs[0].names()


async def test_caller_leaves_before_a_server_refuses(site):
    """Guards against a refused request that is sent on for nobody."""
    backends = await site.add_refusing_backends("s1", "s2")
    await site.add_instance()
    await site.ready()
    site.fill_retry_budget()
    pending = write(site)
    await site.until(lambda: any(server.refused_count for server in backends))
    pending.cancel()
    await asyncio.sleep(0.6)
    assert sum(server.refused_count for server in backends) == 1


async def test_caller_leaves_while_its_request_waits(site):
    backend = await site.add_backend("s1", slots=1)
    backend.work_s = 0.5
    instance = await site.add_instance()
    await site.ready()
    first = write(site, request_id="first", deadline_ms=3000)
    await site.until(lambda: backend.runs)
    second = write(site, request_id="second", deadline_ms=3000)
    await asyncio.sleep(0.1)
    second.cancel()
    await first
    await asyncio.sleep(0.2)
    assert backend.runs == ["first"]
    assert not instance._state.placer.queue("svc").length


async def test_caller_leaves_before_its_request_is_looked_at(site, monkeypatch):
    backend = await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    reading = asyncio.Event()

    async def refresh():
        reading.set()
        await asyncio.sleep(0.2)

    monkeypatch.setattr(instance._reader, "refresh_for_request", refresh)
    pending = write(site)
    await reading.wait()
    pending.cancel()
    await asyncio.sleep(0.5)
    assert backend.runs == []


@pytest.mark.parametrize(
    ("path", "is_dropped"), [("read", True), ("write", False)]
)
async def test_caller_leaves_after_the_head_of_its_answer(
    site, path, is_dropped
):
    backend = await site.add_backend("s1", kind=HeadOnly)
    await site.add_instance()
    await site.ready()
    pending = asyncio.ensure_future(
        site.request(f"/{path}/1", deadline_ms=3000)
    )
    await site.until(lambda: backend._running)
    pending.cancel()
    if is_dropped:
        await site.until(lambda: not backend._running, timeout_s=2.0)
    else:
        await asyncio.sleep(0.4)
        assert backend._running == 1
