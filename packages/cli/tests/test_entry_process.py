"""Tests of whole requests through entry instances on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from magnoliacrank.cli import demo_world
from magnoliacrank.model import request
from magnoliacrank.model import verdict
from magnoliacrank.standins import backend_server
from magnoliacrank.standins import caller

_DONE = verdict.Outcome.DONE


@pytest.fixture
async def world():
    started = demo_world.DemoWorld()
    await started.start()
    await started.publish()
    await started.wait_until_ready()
    yield started
    await started.close()


def _caller(world):
    return caller.Caller(
        demo_world.CUSTOMER, demo_world.SERVICE, "rennes", world.urls
    )


@pytest.mark.parametrize(
    ("method", "target", "request_class", "body"),
    [
        ("GET", "/stops/1", request.RequestClass.IDEMPOTENT, b""),
        ("POST", "/refills/1", request.RequestClass.AT_MOST_ONCE, b"x"),
        (
            "PUT",
            "/sheets/1",
            request.RequestClass.DEFERRABLE,
            bytes(3_000_000),
        ),
    ],
)
async def test_request_of_each_class_is_answered_whole(
    world, method, target, request_class, body
):
    one = _caller(world)
    await one.start()
    spec = caller.RequestSpec(method, target, request_class, body)
    result = await one.send(spec)
    await one.close()
    assert result.outcome is verdict.Outcome.DONE
    assert result.is_whole
    assert len(world.journal.executions) == 1


async def test_data_centre_that_is_out_gets_no_work(world):
    world.states["rennes"] = "out"
    await world.publish()
    one = _caller(world)
    await one.start()
    spec = caller.RequestSpec(
        "GET", "/stops/1", request.RequestClass.IDEMPOTENT
    )
    results = await asyncio.gather(*(one.send(spec) for _ in range(20)))
    await one.close()
    assert all(result.is_whole for result in results)
    ran = {run.server_id for run in world.journal.executions}
    assert not any(name.startswith("rennes") for name in ran)


@pytest.mark.parametrize(
    ("method", "target", "request_class"),
    [
        ("GET", "/stops/1", request.RequestClass.IDEMPOTENT),
        ("POST", "/refills/1", request.RequestClass.AT_MOST_ONCE),
    ],
)
async def test_entry_of_departed_data_centre_passes_requests_on(
    world, method, target, request_class
):
    one = _caller(world)
    await one.start()
    spec = caller.RequestSpec(method, target, request_class)
    first = await one.send(spec)
    world.states["rennes"] = "out"
    await world.publish()
    results = await asyncio.gather(*(one.send(spec) for _ in range(20)))
    await one.close()
    assert first.outcome is _DONE
    assert [one for one in results if one.outcome is not _DONE] == []
    assert not world.journal.duplicate_keys()


async def test_crash_request_costs_at_most_two_servers(world):
    one = _caller(world)
    await one.start()
    warm = caller.RequestSpec(
        "GET", "/stops/1", request.RequestClass.IDEMPOTENT
    )
    assert (await one.send(warm)).outcome is _DONE
    crashing = caller.RequestSpec(
        "GET",
        "/stops/2",
        request.RequestClass.IDEMPOTENT,
        headers={backend_server.CRASH_HEADER: "1"},
    )
    results = [await one.send(crashing) for _ in range(3)]
    crashes = sum(server.crashes for server in world.servers.values())
    after = await one.send(warm)
    await one.close()
    assert crashes <= 2
    assert results[-1].reason == verdict.Reason.CRASH_SUSPECT.value
    assert after.outcome is _DONE


async def test_planned_shutdown_hands_answers_over(world):
    leaving = world.processes[0]
    one = _caller(world)
    await one.start()
    spec = caller.RequestSpec(
        "POST", "/refills/9", request.RequestClass.AT_MOST_ONCE
    )
    first = await one.send(spec, key="k9")
    ticket = one.ticket
    await leaving.leave()
    await leaving.close(grace_s=5.0)
    again = await one.send(spec, key="k9", ticket=ticket)
    unseen = await one.send(spec, key="k10", ticket=ticket)
    await one.close()
    assert first.outcome is _DONE
    assert again.outcome is _DONE
    assert again.is_whole
    assert again.reason == verdict.Reason.REPEATED.value
    assert unseen.reason == verdict.Reason.OWNER_LOST.value
    assert unseen.outcome is verdict.Outcome.MAY_HAVE_RUN
    assert world.journal.runs_by_key() == {"k9": 1}


async def test_metrics_count_requests_by_verdict(world):
    one = _caller(world)
    await one.start()
    spec = caller.RequestSpec(
        "GET", "/stops/1", request.RequestClass.IDEMPOTENT
    )
    await one.send(spec)
    await one.close()
    pages = [
        process.components.status.metrics([])[0] for process in world.processes
    ]
    counted = [
        page for page in pages if b"magnoliacrank_requests_total{" in page
    ]
    assert len(counted) == 1
    assert b'verdict="done"' in counted[0]
    assert b'route="stops"' in counted[0]
