"""Tests of the backend server stand-in and its faults."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from magnoliacrank.model import headers
from magnoliacrank.standins import backend_server
from magnoliacrank.standins import backend_server_settings
from magnoliacrank.standins import execution_journal


@contextlib.asynccontextmanager
async def _server(**settings):
    server = backend_server.BackendServer(
        backend_server_settings.BackendServerSettings(**settings)
    )
    await server.start()
    async with aiohttp.ClientSession(
        f"http://127.0.0.1:{server.port}"
    ) as session:
        try:
            yield server, session
        finally:
            await server.close()


async def test_request_is_run_and_journaled_by_key():
    async with _server(version="v2") as (server, session):
        async with session.post(
            "/a", data=b"abc", headers={headers.KEY: "k1"}
        ) as response:
            answer = await response.json()
        assert (answer["version"], answer["body_bytes"]) == ("v2", 3)
        assert headers.LOAD in response.headers
        assert server.journal.runs_by_key() == {"k1": 1}
        assert server.journal.duplicate_keys() == ()


@pytest.mark.parametrize("fault", ["shed", "drain"])
async def test_refused_request_is_not_run(fault):
    async with _server() as (server, session):
        if fault == "drain":
            server.drain()
        else:
            server.faults.shed = True
        async with session.get("/a") as response:
            assert response.status == 503
            assert response.headers[headers.NOT_RUN] == "1"
        assert server.journal.executions == ()


async def test_queue_sheds_beyond_its_limit():
    async with _server(slots=1, queue_limit=1, service_time_s=0.2) as (
        server,
        session,
    ):

        async def get():
            async with session.get("/a") as response:
                return response.status

        statuses = await asyncio.gather(*(get() for _ in range(3)))
        assert sorted(statuses) == [200, 200, 503]
        assert server.peak_running == 1


async def test_crash_request_takes_the_server_down_until_restart():
    async with _server() as (server, session):
        with pytest.raises(aiohttp.ClientError):
            await session.get("/a", headers={backend_server.CRASH_HEADER: "1"})
        with pytest.raises(aiohttp.ClientError):
            await session.get("/a")
        assert server.crashes == 1
        await server.start()
        async with session.get("/a") as response:
            assert response.status == 200
        assert server.incarnation == 2


async def test_cold_server_crashes_beyond_its_limit():
    async with _server(cold_requests=10, service_time_s=0.05) as (
        server,
        session,
    ):
        results = await asyncio.gather(
            *(session.get("/a") for _ in range(3)), return_exceptions=True
        )
        assert any(isinstance(item, Exception) for item in results)
        assert server.crashes == 1


async def test_silenced_connections_never_answer_and_new_ones_work():
    async with _server() as (server, session):
        async with session.get("/a") as response:
            await response.read()
        assert server.silence_connections() == 1
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(session.get("/b"), 0.05)
        async with session.get("/c") as response:
            assert response.status == 200
        targets = [item.target for item in server.journal.executions]
        assert targets == ["/a", "/c"]


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("truncate", aiohttp.ClientPayloadError),
        ("lost_answers", aiohttp.ClientError),
    ],
)
async def test_answer_fault_occurs_after_execution(fault, error):
    async with _server() as (server, session):
        setattr(server.faults, fault, True)
        with pytest.raises(error):
            async with session.post("/a?bytes=100") as response:
                await response.read()
        (execution,) = server.journal.executions
        assert execution.state is execution_journal.ExecutionState.FINISHED
