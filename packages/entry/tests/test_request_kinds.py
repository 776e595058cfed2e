"""What the kind of a route means for its requests.

One table for all kinds that operators may name: whether a request may run
twice decides about cancelling, retries and hedges alike.
"""

import asyncio

from aiohttp import web
import pytest

from magnoliacrank.standins import platform_backend

Fault = platform_backend.BackendFault

KINDS = [
    pytest.param("safe", True, id="safe"),
    pytest.param("download", True, id="download"),
    pytest.param("unsafe", False, id="unsafe"),
    pytest.param("upload", False, id="upload"),
    pytest.param("some-later-kind", False, id="unknown"),
]


class CutBackend(platform_backend.PlatformBackend):
    """Breaks off in the body of each answer."""

    async def _run(self, request, headers):
        answer = web.StreamResponse(
            headers={
                **headers,
                "Response-Signature": "signed",
                "Content-Length": "300000",
            }
        )
        await answer.prepare(request)
        await answer.write(b"x" * 200_000)
        request.transport.abort()
        return answer


@pytest.fixture
async def routed(site):
    """Returns a function that starts an instance with a route of a kind."""

    async def start(kind):
        paths = [
            site.route("r", "/r/", kind=kind, timeout="3000ms"),
            site.route("other", "/other/"),
        ]
        site.configure(site.configuration(2, paths))
        instance = await site.add_instance()
        await site.ready()
        return instance

    return start


@pytest.mark.parametrize(("kind", "may_run_twice"), KINDS)
async def test_work_for_a_caller_that_left_ends(
    site, routed, kind, may_run_twice
):
    """Guards against servers that go on with downloads that nobody awaits."""
    backend = await site.add_backend("s1")
    backend.fault = Fault.HANG
    await routed(kind)
    pending = asyncio.ensure_future(site.request("/r/1", deadline_ms=2000))
    await site.until(lambda: backend._running)
    pending.cancel()
    if may_run_twice:
        await site.until(lambda: not backend._running, timeout_s=1.0)
    else:
        await asyncio.sleep(0.3)
        assert backend._running == 1


@pytest.mark.parametrize(("kind", "may_run_twice"), KINDS)
async def test_request_whose_answer_is_lost_is_retried(
    site, routed, kind, may_run_twice
):
    backends = [await site.add_backend(name) for name in ("s1", "s2")]
    await routed(kind)
    site.fill_retry_budget()
    for backend in backends:
        backend.fault = Fault.LOSE
    status, _, _ = await site.request("/r/1")
    runs = sum(len(backend.runs) for backend in backends)
    assert (status, runs) == (502, 2 if may_run_twice else 1)


@pytest.mark.parametrize(("kind", "may_run_twice"), KINDS)
async def test_late_request_is_hedged(site, routed, kind, may_run_twice):
    slow = await site.add_backend("s1")
    instance = await routed(kind)
    slow.fault = Fault.HANG
    pending = asyncio.ensure_future(site.request("/r/1", deadline_ms=2500))
    await site.until(lambda: slow.runs)
    other = await site.add_backend("s2")
    await site.until(lambda: instance._view.entry("s2") is not None)
    status, _, _ = await pending
    assert (status, len(other.runs)) == (
        (200, 1) if may_run_twice else (504, 0)
    )


async def test_large_answer_is_not_hedged_without_room_for_two(site, routed):
    """Guards against a second large answer that takes others' memory."""
    slow = await site.add_backend("s1")
    instance = await routed("download")
    rule = instance._view.plan.find_route("site.example", "/r/1")
    answers = instance._front.handler._answers
    instance._state.on_answer_size(rule, answers._limit_bytes // 2)
    slow.fault = Fault.HANG
    pending = asyncio.ensure_future(site.request("/r/1", deadline_ms=900))
    await site.until(lambda: slow.runs)
    answers.hold(1)
    other = await site.add_backend("s2")
    await site.until(lambda: instance._view.entry("s2") is not None)
    status, _, _ = await pending
    assert (status, other.runs) == (504, [])


async def test_download_cut_midway_does_not_look_complete(site, routed):
    """Nothing of an answer is passed on before the whole of it is there."""
    cut = await site.add_backend("s1", kind=CutBackend)
    instance = await routed("download")
    site.fill_retry_budget()
    status, headers, _ = await site.request("/r/1")
    assert status == 502
    assert "Response-Signature" not in headers
    assert cut.runs == ["r1"]
    whole = await site.add_backend("s2")
    whole.padding_bytes = 300_000
    await site.until(lambda: instance._view.entry("s2") is not None)
    status, _, content = await site.request("/r/1", request_id="r2")
    assert (status, len(content)) == (200, 300_002)
