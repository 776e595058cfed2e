"""Requests that come, or come to their end, late in a planned stop.

Guards against requests that are passed on although they can't be finished
before the process ends, and are then cut off without an answer.
"""

import asyncio

import pytest

from magnoliacrank.platform import instance_settings

GRACE_S = 6.0


async def upload(site, request_id, last_byte_s, deadline_ms=8000):
    """Sends a body whose last byte comes late; returns the status, 0 if cut."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site._ports[0])
    writer.write(
        b"POST /up/1 HTTP/1.1\r\nHost: site.example\r\n"
        b"Content-Length: 10\r\nRequest-Id: %b\r\n"
        b"Request-Deadline: %d\r\n\r\nfirst"
        % (request_id.encode(), deadline_ms)
    )
    reading = asyncio.ensure_future(reader.readline())
    await asyncio.wait({reading}, timeout=last_byte_s)
    if not reading.done():
        writer.write(b"last!")
    try:
        line = await reading
    except ConnectionError:
        line = b""
    writer.close()
    return int(line.split()[1]) if line else 0


@pytest.fixture
async def started(site):
    """Returns an instance with a route for uploads, and its server."""
    backend = await site.add_backend("s1", slots=16)
    path = site.route(
        "up", "/up/", kind="upload", timeout="8000ms",
        **{"target-latency": "1000ms"},
    )  # fmt: skip
    site.configure(site.configuration(2, [path, site.route("r", "/read/")]))
    bounds = instance_settings.SafetyBounds(grace_s=GRACE_S)
    instance = await site.add_instance(bounds=bounds)
    await site.ready()
    return instance, backend


async def test_upload_that_ends_late_is_refused_or_finished(site, started):
    """Each upload is answered, and only those that were run as such."""
    instance, backend = started
    backend.work_s = 2.5
    plan = {
        "early": (0.2, 8000),
        "late": (3.1, 8000),
        "later": (4.0, 8000),
        "brief": (2.9, 4000),
        "never": (60.0, 8000),
    }
    uploads = {
        name: asyncio.ensure_future(upload(site, name, *times))
        for name, times in plan.items()
    }
    await asyncio.sleep(0.1)

    async def stop():
        await instance.leave()
        await instance.close()
        site.instances.remove(instance)

    await stop()
    found = {name: await task for name, task in uploads.items()}
    assert found == {
        "early": 200,
        "late": 503,
        "later": 503,
        "brief": 504,
        "never": 503,
    }
    assert sorted(backend.runs) == ["brief", "early"]


def end_of_grace(instance):
    """Makes the instance stop, at a time at which nothing can be finished."""
    instance._drain.start(instance._clock() - GRACE_S)


async def test_request_that_arrives_too_late_is_refused_unread(site, started):
    instance, backend = started
    end_of_grace(instance)
    assert await upload(site, "r", 0.5) == 503
    status, headers, _ = await site.request("/read/1")
    assert (status, headers["Retry-After"]) == (503, "0.000")
    assert backend.runs == []


async def test_request_that_waited_too_long_is_refused(site, started):
    instance, backend = started
    backend.slots = 1
    site.register(backend)
    await site.until(lambda: instance._view.entry("s1").slots == 1)
    backend.work_s = 0.3
    first = asyncio.ensure_future(site.request("/up/1", "POST", data=b"x"))
    await site.until(lambda: backend.runs)
    second = asyncio.ensure_future(
        site.request("/up/1", "POST", data=b"x", request_id="second")
    )
    await site.until(lambda: instance._state.placer.queue("svc").length)
    end_of_grace(instance)
    assert (await first)[0] == 200
    assert (await second)[0] == 503
    assert backend.runs == ["r1"]


async def test_refused_request_is_not_sent_anew_too_late(site):
    servers = await site.add_refusing_backends("s1", "s2")
    instance = await site.add_instance()
    await site.ready()
    site.fill_retry_budget()
    pending = asyncio.ensure_future(site.request())
    await site.until(lambda: any(server.refused_count for server in servers))
    end_of_grace(instance)
    assert (await pending)[0] == 503
    assert sum(server.refused_count for server in servers) == 1
