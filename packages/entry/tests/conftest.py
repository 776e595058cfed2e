"""A small site on loopback: store, backend servers and instances."""

from __future__ import annotations

import asyncio
import inspect
import json

import aiohttp
import pytest

from magnoliacrank.entry import entry_instance
from magnoliacrank.entry import event_log
from magnoliacrank.platform import instance_settings
from magnoliacrank.standins import free_ports
from magnoliacrank.standins import platform_backend
from magnoliacrank.standins import platform_store

HOST = "site.example"


class RecordingLog(event_log.EventLog):
    """Keeps log lines in memory."""

    def __init__(self):
        super().__init__("test", "a", lambda: 0.0)
        self.lines = []

    def start(self):
        pass

    def close(self):
        pass

    def event(self, name, **fields):
        self.lines.append((name, fields))

    def warning(self, name, **fields):
        self.lines.append((name, fields))

    def is_sampled(self, request_id):
        return True

    def names(self):
        return [name for name, _ in self.lines]


def configuration(version=1, routes=None, tenants=None, **service):
    """Returns the operators' configuration as they write it."""
    plain = {
        "name": "svc",
        "health-path": "/health",
        "max-connections": 100,
        "warmup": "3s",
        "warmup-per-s": 5.0,
        **service,
    }
    paths = routes or [
        route("read", "/read/", kind="safe"),
        route("write", "/write/", kind="unsafe"),
    ]
    return json.dumps(
        {
            "version": version,
            "services": [plain],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 20,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
            "virtual-hosts": [{"host": HOST, "paths": paths}],
            **({} if tenants is None else {"tenants": tenants}),
        }
    ).encode()


def route(name, prefix, **fields):
    """Returns one route of the configuration."""
    values = {
        "name": name,
        "path-prefix": prefix,
        "kind": "safe",
        "timeout": "1500ms",
        "target-latency": "400ms",
        "priority": 1,
        "max-attempts": 2,
        "service": "svc",
        **fields,
    }
    if "traffic-split" in values:
        del values["service"]
    return values


async def eventually(condition, timeout_s=5.0):
    """Waits until a condition, plain or asynchronous, holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            found = condition()
            if inspect.isawaitable(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.01)


class Site:
    """Store, backend servers and instances, on loopback addresses."""

    configuration = staticmethod(configuration)
    route = staticmethod(route)

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.backends = []
        self.instances = []
        self.logs = []
        self._session = None
        self._ports = free_ports.find(4)

    async def start(self):
        await self.store.start()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        self.configure(configuration())

    async def close(self):
        for instance in self.instances:
            await instance.close()
        for backend in self.backends:
            await backend.close()
        await self._session.close()
        await self.store.close()

    def configure(self, value):
        self.store.put("keyed.op", "config", value)

    async def add_backend(
        self,
        server_id,
        service="svc",
        kind=platform_backend.PlatformBackend,
        **fields,
    ):
        backend = kind(server_id, service, **fields)
        await backend.start()
        self.backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend):
        self.store.put(
            "keyed.servers", backend.server_id, backend.store_record()
        )

    async def add_instance(self, number=1, data_centre="a", **fields):
        front, ready, directory, peers = self._ports
        ip = f"127.0.0.{number}"
        bounds = instance_settings.SafetyBounds(grace_s=3.2)
        settings = instance_settings.InstanceSettings(
            node=f"front-{number}",
            ip=ip,
            data_centre=data_centre,
            front=(ip, front),
            ready=(ip, ready),
            directory=(ip, directory),
            peer_port=peers,
            store=self.store.address,
            heartbeat_s=1.5,
            **{"bounds": bounds, **fields},
        )
        log = RecordingLog()
        instance = entry_instance.EntryInstance(settings, log)
        await instance.start()
        self.instances.append(instance)
        self.logs.append(log)
        return instance

    async def until(self, condition, timeout_s=5.0):
        """Waits until a condition holds."""
        await eventually(condition, timeout_s)

    def fill_retry_budget(self, service="svc"):
        """Lets the instances retry as those that have run for a while."""
        for instance in self.instances:
            state = instance._state
            state._started_s -= 20
            state._repeat_budgets.clear()
            for _ in range(20):
                state.allowance(service).on_request(instance._clock())

    async def add_refusing_backends(self, *server_ids):
        """Adds servers that refuse requests after 0.2 s."""
        added = [await self.add_backend(name) for name in server_ids]
        for backend in added:
            backend.fault = platform_backend.BackendFault.SHED
            backend.refusal_s = 0.2
        return added

    async def ready(self):
        await self.until(lambda: all(item.is_ready for item in self.instances))

    async def request(
        self,
        path="/read/1",
        method="GET",
        number=1,
        request_id="r1",
        deadline_ms=1000,
        **fields,
    ):
        """Sends a request as callers do; returns status, headers, body."""
        url = f"http://127.0.0.{number}:{self._ports[0]}{path}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": str(deadline_ms),
            **fields.pop("headers", {}),
        }
        async with self._session.request(
            method, url, headers=headers, **fields
        ) as answer:
            return answer.status, answer.headers, await answer.read()

    async def ask(self, port_index, path, number=1):
        """Sends a GET request to one of an instance's other ports."""
        url = f"http://127.0.0.{number}:{self._ports[port_index]}{path}"
        async with self._session.get(url) as answer:
            return answer.status, await answer.read()


@pytest.fixture
async def site():
    """A started site without servers and instances."""
    made = Site()
    await made.start()
    yield made
    await made.close()
