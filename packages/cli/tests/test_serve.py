"""Tests of the command line, and of the `serve` command as a process."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import signal
import sys

import aiohttp
import attrs
import pytest

from magnoliacrank.cli import demo_world
from magnoliacrank.cli import list_reader
from magnoliacrank.cli import log_session
from magnoliacrank.cli import publish
from magnoliacrank.model import request
from magnoliacrank.model import verdict
from magnoliacrank.standins import backend_server
from magnoliacrank.standins import backend_server_settings
from magnoliacrank.standins import caller
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import server_registry

_PROGRAM = str(pathlib.Path(sys.executable).with_name("magnoliacrank"))
_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_LISTENS = re.compile(rb"serve: (\S+) listens on \S+:(\d+)")
_DONE = verdict.Outcome.DONE


async def _spawn(*arguments, **variables):
    return await asyncio.create_subprocess_exec(
        _PROGRAM,
        *arguments,
        env={**os.environ, **variables},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@attrs.define
class _Platform:
    store: platform_store.PlatformStore
    registry: server_registry.ServerRegistry

    def arguments(self, name, data_centre, *more):
        return (
            "serve",
            f"--instance-id={name}",
            f"--data-centre={data_centre}",
            "--http-port=0",
            "--peer-port=0",
            f"--store-url={self.store.url}",
            "--list-period-s=0.1",
            "--entry-ttl-s=0.2",
            *more,
        )


@pytest.fixture
async def platform():
    store = platform_store.PlatformStore()
    await store.start()
    yield _Platform(store, server_registry.ServerRegistry(store))
    await store.close()


async def _port(process):
    while True:
        line = await process.stderr.readline()
        assert line, "the process ended before it listened"
        found = _LISTENS.search(line)
        if found:
            return int(found[2])


async def _publish(platform):
    session = log_session.LogSession(platform.store.url, "magnoliacrank")
    await session.start(10.0)
    names = ("plans.yaml", "allowances.yaml")
    texts = [(_EXAMPLES / name).read_text(encoding="utf-8") for name in names]
    lists = list_reader.read_lists(names[0], texts[0], names[1], texts[1])
    await publish.publish_lists(session, lists, 0, "test", 10.0)
    await session.close()


async def _send_until_done(one, spec):
    result = await one.send(spec)
    while result.outcome is not _DONE:
        await asyncio.sleep(0.1)
        result = await one.send(spec)
    return result


async def _until_busy(server):
    while True:
        if server.in_flight:
            return
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("arguments", "variables", "wanted"),
    [
        (["serve"], {}, b"required"),
        (
            ["check", "--plans=p", "--allowances=a", "--no-such-flag"],
            {},
            b"--no-such-flag",
        ),
        (["serve", "--http-port=70000"], {}, b"'70000'"),
        (["serve"], {"MAGNOLIACRANK_PEER_PORT": "x"}, b"--peer-port"),
        (["serve", "--store-url=ftp://x"], {}, b"expected http://"),
        (["serve", "--host=example.org"], {}, b"expected an IP address"),
        (["publish", "--base-version=-1"], {}, b"whole number"),
    ],
)
async def test_invalid_setting_prints_one_line_and_exits_with_2(
    arguments, variables, wanted
):
    process = await _spawn(*arguments, **variables)
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert wanted in errors
    assert errors.count(b"\n") == 1


async def test_serve_with_port_in_use_exits_with_1(platform):
    _, port = platform.store.address
    process = await _spawn(
        *platform.arguments("e1", "rennes", f"--http-port={port}")
    )
    _, errors = await process.communicate()
    assert process.returncode == 1
    assert b"magnoliacrank serve: " in errors


async def test_serve_carries_requests_and_stops_gracefully(platform):
    backend = backend_server.BackendServer(
        backend_server_settings.BackendServerSettings(
            service=demo_world.SERVICE,
            version="1.0",
            data_centre="rennes",
            service_time_s=0.5,
        )
    )
    await backend.start()
    platform.registry.put(backend.listed)
    process = await _spawn(*platform.arguments("e1", "rennes"))
    port = await _port(process)
    await _publish(platform)
    url = f"http://127.0.0.1:{port}"
    one = caller.Caller(
        demo_world.CUSTOMER, demo_world.SERVICE, "rennes", [url]
    )
    await one.start()
    confirm = caller.RequestSpec(
        "POST", "/refills/1", request.RequestClass.AT_MOST_ONCE
    )
    await _send_until_done(one, confirm)
    in_flight = asyncio.create_task(one.send(confirm))
    await _until_busy(backend)
    process.send_signal(signal.SIGTERM)
    result = await in_flight
    _, errors = await process.communicate()
    await one.close()
    await backend.close()
    assert result.outcome is _DONE
    assert process.returncode == 0
    assert b"serve: Closed." in errors
    assert not backend.journal.duplicate_keys()


async def test_second_signal_stops_immediately(platform):
    process = await _spawn(
        *platform.arguments("e1", "rennes", "--entry-ttl-s=3600")
    )
    await _port(process)
    process.send_signal(signal.SIGTERM)
    line = b""
    while b"Leaving" not in line:
        line = await process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    await process.communicate()
    assert process.returncode == 0


async def test_serve_without_store_reports_not_ready_with_reason(platform):
    await platform.store.close()
    process = await _spawn(*platform.arguments("e1", "rennes"))
    port = await _port(process)
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}"
        async with session.get(f"{url}/healthz") as answer:
            assert answer.status == 200
        reason = "starting"
        while reason == "starting":
            async with session.get(f"{url}/readyz") as answer:
                assert answer.status == 503
                reason = (await answer.text()).strip()
        async with session.get(f"{url}/v1/entries?service=rounds") as answer:
            assert answer.status == 503
    process.terminate()
    process.terminate()
    await process.communicate()
    assert reason == "log-unavailable"
