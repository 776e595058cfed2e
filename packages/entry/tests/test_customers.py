"""End-to-end tests of API keys: who gets in, and what servers are told."""

import asyncio
import json

import aiohttp
import pytest

from magnoliacrank.entry import job as jobs
from magnoliacrank.standins import platform_backend

Fault = platform_backend.BackendFault

FIRST = {"name": "first", "api-keys": ["key-1", "key-2"], "priority": 0}
SECOND = {"name": "second", "api-keys": ["key-3"], "priority": 2}


def _configuration(site, version=1, tenants=(FIRST, SECOND)):
    routes = [
        site.route("read", "/read/", kind="safe"),
        site.route(
            "write",
            "/write/",
            kind="unsafe",
            timeout="12000ms",
            **{"target-latency": "8000ms"},
        ),
        site.route("open", "/open/", public=True),
    ]
    listed = None if tenants is None else list(tenants)
    return site.configuration(version, routes, tenants=listed)


def _bearer(key):
    return {"Authorization": f"Bearer {key}"}


async def _start(site, tenants=(FIRST, SECOND)):
    site.configure(_configuration(site, tenants=tenants))
    backend = await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    return backend, instance


async def _replace(site, instance, tenants, version=2):
    """Writes a configuration and waits until it is in force."""
    site.configure(_configuration(site, version, tenants))
    await site.until(lambda: instance._view.plan.version == version)


@pytest.mark.parametrize(
    ("path", "headers", "status", "tenant"),
    [
        ("/read/1", _bearer("key-1"), 200, "first"),
        ("/read/1", _bearer("key-2"), 200, "first"),
        ("/read/1", _bearer("key-3"), 200, "second"),
        ("/read/1", {**_bearer("key-3"), "tenant": "first"}, 200, "second"),
        (
            "/read/1",
            {**_bearer("key-3"), "Connection": "Tenant, keep-alive"},
            200,
            "second",
        ),
        ("/read/1", _bearer("other"), 401, None),
        ("/read/1", {"Authorization": "Basic key-1"}, 401, None),
        ("/read/1", {}, 401, None),
        ("/read/1", {"Tenant": "first"}, 401, None),
        ("/open/1", {}, 200, None),
        ("/open/1", {"Tenant": "first"}, 200, None),
        ("/open/1", _bearer("other"), 200, None),
        ("/open/1", _bearer("key-1"), 200, "first"),
        ("/none/1", {}, 404, None),
    ],
)
async def test_key_decides_access_and_the_customer_that_servers_see(
    site, path, headers, status, tenant
):
    backend, _ = await _start(site)
    found, answered, _ = await site.request(path, headers=headers)
    assert found == status
    assert ("WWW-Authenticate" in answered) is (status == 401)
    assert len(backend.runs) == (1 if status == 200 else 0)
    for received in backend.received_headers:
        assert "Authorization" not in received
        assert received.getall("Tenant", []) == ([tenant] if tenant else [])


async def test_credentials_are_forwarded_if_there_are_no_customers(site):
    backend, _ = await _start(site, tenants=None)
    headers = {**_bearer("key-1"), "Tenant": "own"}
    status, _, _ = await site.request(headers=headers)
    assert status == 200
    assert backend.received_headers[0]["Authorization"] == "Bearer key-1"
    assert backend.received_headers[0]["Tenant"] == "own"


async def test_unknown_configuration_is_no_denial(site):
    site.store.delete("keyed.op", "config")
    await site.add_instance()
    status, _, _ = await site.request(headers=_bearer("key-1"))
    assert status == 503


async def test_new_key_is_accepted_at_once(site):
    """The instance has not read the new configuration when the key arrives."""
    _, instance = await _start(site)
    new = {**FIRST, "api-keys": ["key-new"]}
    site.configure(_configuration(site, 2, [new]))
    # As if the latest read were more than a second old.
    instance._reader._verified_s -= 1.2
    status, _, _ = await site.request(headers=_bearer("key-new"))
    assert status == 200


async def test_removed_key_ends_access_on_a_kept_connection(site):
    backend, instance = await _start(site)
    url = f"http://127.0.0.1:{site._ports[0]}/read/1"
    headers = {"Host": "site.example", **_bearer("key-1")}
    opened = []
    tracing = aiohttp.TraceConfig()

    async def on_opened(*_):
        opened.append(1)

    tracing.on_connection_create_end.append(on_opened)
    statuses = []
    async with aiohttp.ClientSession(trace_configs=[tracing]) as session:
        for version, tenants in enumerate(
            [(FIRST, SECOND), (SECOND,), (SECOND, FIRST)], 2
        ):
            await _replace(site, instance, tenants, version)
            async with session.get(url, headers=headers) as answer:
                statuses.append(answer.status)
                await answer.read()
    assert statuses == [200, 401, 200]
    assert len(opened) == 1
    assert len(backend.runs) == 2


@pytest.mark.parametrize(
    ("before", "tenants", "status", "tenant"),
    [
        ((FIRST, SECOND), (SECOND,), 401, None),
        ((FIRST, SECOND), (), 401, None),
        (
            (FIRST, SECOND),
            ({**SECOND, "api-keys": ["key-1"]},),
            200,
            "second",
        ),
        (None, (FIRST,), 200, "first"),
        (None, (SECOND,), 401, None),
    ],
)
async def test_configuration_that_changes_while_a_request_waits(
    site, before, tenants, status, tenant
):
    backend, instance = await _start(site, before)
    backend.slots = 1
    site.register(backend)
    await site.until(lambda: instance._view.entry("s1").slots == 1)
    backend.work_s = 3.0

    def send(name, key):
        return asyncio.ensure_future(
            site.request(
                "/write/1",
                "POST",
                request_id=name,
                deadline_ms=10_000,
                headers=_bearer(key),
            )
        )

    first = send("first", "key-3")
    await site.until(lambda: backend.runs)
    backend.work_s = 0.01
    waiting = send("waiting", "key-1")
    queue = instance._state.placer.queue("svc")
    await site.until(lambda: queue.length)
    await _replace(site, instance, tenants)
    assert queue.length
    found, _, _ = await waiting
    await first
    assert found == status
    assert backend.runs == ["first"] + (["waiting"] if tenant else [])
    if tenant is not None:
        assert backend.received_headers[-1]["Tenant"] == tenant
        assert "Authorization" not in backend.received_headers[-1]


async def test_request_whose_key_was_removed_is_not_hedged(site, monkeypatch):
    slow, instance = await _start(site)
    for number in range(20):
        await site.request(request_id=f"warm{number}", headers=_bearer("key-1"))
    instance._state._started_s -= 20
    instance._state._repeat_budgets.clear()
    for _ in range(20):
        instance._state.allowance("svc").on_request(instance._clock())
    slow.fault = Fault.HANG
    pending = asyncio.ensure_future(
        site.request(
            request_id="late", deadline_ms=1500, headers=_bearer("key-1")
        )
    )
    await site.until(lambda: "late" in slow.runs)
    await _replace(site, instance, (SECOND,))
    retries = []
    monkeypatch.setattr(
        instance._state, "try_retry", lambda *taken: retries.append(taken)
    )
    second = await site.add_backend("s2")
    status, _, _ = await pending
    # The first server may have run the request, so it was not denied.
    assert status == 504
    assert not second.runs
    assert not retries


async def test_priority_of_the_customer_precedes_that_of_the_route(
    site, monkeypatch
):
    await _start(site)
    made = []
    original = jobs.Job

    def record(**fields):
        made.append(original(**fields))
        return made[-1]

    monkeypatch.setattr(jobs, "Job", record)
    for key in ("key-1", "key-3"):
        await site.request(headers=_bearer(key))
    await site.request("/open/1")
    found = [(job.customer, job.priority) for job in made]
    assert found == [("first", 0), ("second", 2), ("", 1)]


async def test_keys_appear_in_no_log_line(site):
    _, instance = await _start(site)
    for key in ("key-1", "other-key"):
        await site.request(headers=_bearer(key))
    shared = [{**FIRST, "name": "third"}, FIRST]
    site.configure(_configuration(site, 2, shared))
    log = site.logs[0]
    await site.until(lambda: "configuration unreadable" in log.names())
    assert instance._view.plan.version == 1
    lines = json.dumps(log.lines, default=repr)
    assert "key-1" not in lines
    assert "other-key" not in lines
    assert "held by an earlier entry too" in lines
