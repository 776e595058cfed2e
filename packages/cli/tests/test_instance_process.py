"""Tests of the `instance` command as a process: settings, logs, signals."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys

import aiohttp
import pytest
import yaml

from magnoliacrank.standins import free_ports
from magnoliacrank.standins import platform_backend
from magnoliacrank.standins import platform_store

HOST = "site.example"
COMMAND = [sys.executable, "-m", "magnoliacrank.cli.main", "instance"]
LOG_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "reference" / "logs.md"

CONFIG = {
    "version": 1,
    "services": [
        {
            "name": "svc",
            "health-path": "/health",
            "max-connections": 100,
            "warmup": "3s",
            "warmup-per-s": 5.0,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1048576,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
    "virtual-hosts": [
        {
            "host": HOST,
            "paths": [
                {
                    "name": "write",
                    "path-prefix": "/write/",
                    "kind": "unsafe",
                    "timeout": "5s",
                    "target-latency": "400ms",
                    "priority": 1,
                    "service": "svc",
                    "max-attempts": 2,
                }
            ],
        }
    ],
}


def _settings(ports, store):
    front, ready, directory, peers = ports
    return {
        "node": "front-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": {
            "front": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
            "directory": f"127.0.0.1:{directory}",
        },
        "internal-ports": [peers, peers],
        "platform": {"address": f"{store[0]}:{store[1]}"},
        "heartbeat": "1500ms",
        "bounds": {"grace": "6s"},
    }


async def _start(path):
    return await asyncio.create_subprocess_exec(
        *COMMAND,
        env={**os.environ, "MAGNOLIACRANK_CONFIG": str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def _until_ready(session, port):
    async with asyncio.timeout(30):
        while True:
            try:
                url = f"http://127.0.0.1:{port}/api/ready"
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("content", ["node: x\n", "[", None])
async def test_invalid_settings_print_one_line_and_exit_with_2(
    tmp_path, content
):
    path = tmp_path / "node.yaml"
    if content is not None:
        path.write_text(content)
    process = await _start(path)
    _, error = await process.communicate()
    assert process.returncode == 2
    assert error.decode().count("\n") == 1
    assert str(path) in error.decode()


async def test_port_in_use_exits_with_1(tmp_path):
    ports = free_ports.find(4)
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(_settings(ports, ("127.0.0.1", 9))))
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", ports[0]))
        taken.listen()
        process = await _start(path)
        _, error = await process.communicate()
    assert process.returncode == 1
    assert "magnoliacrank instance" in error.decode()


async def test_process_logs_and_finishes_requests_on_sigterm(tmp_path):
    store = platform_store.PlatformStore()
    await store.start()
    backend = platform_backend.PlatformBackend("s1", "svc")
    backend.work_s = 1.0
    await backend.start()
    store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    store.put("keyed.servers", "s1", backend.store_record())
    ports = free_ports.find(4)
    path = tmp_path / "node.yaml"
    # A field without a value keeps no process from starting.
    settings = {**_settings(ports, store.address), "cloud": {}}
    path.write_text(yaml.safe_dump(settings))
    process = await _start(path)
    async with aiohttp.ClientSession() as session:
        await _until_ready(session, ports[1])
        path.write_text("node: [")
        process.send_signal(signal.SIGHUP)
        request = asyncio.ensure_future(
            session.post(
                f"http://127.0.0.1:{ports[0]}/write/1",
                headers={"Host": HOST, "Request-Id": "r1"},
                data=b"x",
            )
        )
        await _until_run(backend)
        process.send_signal(signal.SIGTERM)
        answer = await request
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"
        assert await answer.read() == b"s1"
    output, error = await process.communicate()
    assert process.returncode == 0, error.decode()
    await backend.close()
    await store.close()
    _check_lines(output.decode().splitlines())


async def _until_run(backend):
    for _ in range(1000):
        if backend.runs:
            return
        await asyncio.sleep(0.01)
    pytest.fail("the request did not reach the server")


def _check_lines(lines):
    documented = set(
        re.findall(r"`([a-z][a-z ]+)`", LOG_PAGE.read_text("utf-8"))
    )
    events = []
    for line in lines:
        fields = json.loads(line)
        assert {"time", "level", "event", "instance", "data_centre"} <= set(
            fields
        )
        assert fields["event"] in documented
        events.append(fields["event"])
    expected = {
        "instance started",
        "configuration in force",
        "server registered",
        "settings fields empty",
        "settings not reloaded",
        "instance leaving",
        "instance stopped",
    }
    assert expected <= set(events)
