"""Tests of servers that become cold again while they are out of use.

They state no load, so they aren't asked for it before each request.
"""

import asyncio

import pytest

WARMUP_PER_S = 2.0
BOUND_PER_S = WARMUP_PER_S * 1.5 + 5
"""Requests per second that the default bounds allow to a cold server."""

IDLE_S = 1.2
RATE_PER_S = 60


def _become_cold(site, server, *, in_entry):
    server.warmup_remaining_s = 5.0
    if in_entry:
        site.register(server)


@pytest.mark.parametrize(
    "in_entry", [True, False], ids=["entry", "health answer"]
)
async def test_server_that_returns_cold_gets_no_more_than_it_bears(
    site, in_entry
):
    """Guards against the load of a warm server at one that became cold."""
    site.configure(site.configuration(**{"warmup-per-s": WARMUP_PER_S}))
    near = await site.add_backend("near", slots=64)
    far = await site.add_backend("far", data_centre="b", slots=64)
    for server in (near, far):
        server.reports_load = False
    await site.add_instance()
    await site.ready()
    for number in range(10):
        await site.request(request_id=f"warm{number}")
    site.store.put("keyed.op", "evacuate/a", b"{}")
    await site.until(lambda: site.instances[0]._view.evacuated)
    _become_cold(site, near, in_entry=in_entry)
    await asyncio.sleep(IDLE_S)
    before = len(near.runs)
    site.store.put("keyed.op", "evacuate/a", b"")
    await site.until(lambda: not site.instances[0]._view.evacuated)
    calls = []
    for number in range(RATE_PER_S):
        calls.append(
            asyncio.ensure_future(site.request(request_id=f"cold{number}"))
        )
        await asyncio.sleep(1 / RATE_PER_S)
    answers = await asyncio.gather(*calls)
    assert {status for status, _, _ in answers} == {200}
    assert len(near.runs) - before <= BOUND_PER_S


async def test_server_that_becomes_cold_in_use_is_limited_soon(site):
    """Guards against a cold server that is found out by nobody's probe."""
    site.configure(site.configuration(**{"warmup-per-s": WARMUP_PER_S}))
    near = await site.add_backend("near", slots=64)
    far = await site.add_backend("far", data_centre="b", slots=64)
    for server in (near, far):
        server.reports_load = False
    await site.add_instance()
    await site.ready()
    counts = []
    for number in range(3 * RATE_PER_S):
        if number == RATE_PER_S:
            near.warmup_remaining_s = 5.0
        await site.request(request_id=f"r{number}")
        counts.append(len(near.runs))
        await asyncio.sleep(1 / RATE_PER_S)
    last_second = counts[-1] - counts[-1 - RATE_PER_S]
    assert last_second <= BOUND_PER_S
