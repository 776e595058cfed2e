"""End-to-end tests with callers, instances, backend servers and the store."""

import asyncio
import json

import pytest

from magnoliacrank.entry import job as jobs
from magnoliacrank.entry import request_carrier
from magnoliacrank.entry import request_trace
from magnoliacrank.platform import store_client
from magnoliacrank.policy import transfer_budget
from magnoliacrank.standins import platform_backend
from magnoliacrank.standins import platform_store

Fault = platform_backend.BackendFault
HOST = "site.example"


async def test_request_reaches_server_with_headers_and_body(site):
    backend = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    status, headers, content = await site.request(
        "/write/7?x=1", "POST", data=b"hello", headers={"X-Own": "kept"}
    )
    assert (status, content) == (200, b"s1")
    assert headers["Response-Signature"] == "signed"
    assert headers["Request-Id"] == "r1"
    received_headers = backend.received_headers[0]
    assert received_headers["Target-Instance"] == "s1"
    assert received_headers["Request-Id"] == "r1"
    assert received_headers["X-Own"] == "kept"
    assert 0 < int(received_headers["Request-Deadline"]) <= 1000
    assert backend.received_bodies == [b"hello"]


@pytest.mark.parametrize(
    ("fault", "method", "path", "status", "runs"),
    [
        (Fault.SHED, "POST", "/write/1", 503, 0),
        (Fault.FAIL, "POST", "/write/1", 500, 1),
        (Fault.UNSTATED, "POST", "/write/1", 502, 1),
        (Fault.UNSIGNED, "POST", "/write/1", 502, 1),
        (Fault.LOSE, "POST", "/write/1", 502, 1),
        (Fault.HANG, "POST", "/write/1", 504, 1),
        (Fault.LOSE, "DELETE", "/write/1", 502, 1),
        (Fault.UNSTATED, "GET", "/read/1", 502, 1),
    ],
)
async def test_status_does_not_claim_an_unknown_outcome(
    site, fault, method, path, status, runs
):
    backend = await site.add_backend("s1")
    backend.fault = fault
    await site.add_instance()
    await site.ready()
    found, headers, _ = await site.request(path, method, deadline_ms=400)
    assert found == status
    assert len(backend.runs) == runs
    if status in (502, 503, 504):
        assert "Response-Signature" not in headers


@pytest.mark.parametrize("fault", [Fault.SHED, Fault.FAIL, Fault.LOSE])
async def test_safe_request_is_retried_on_another_server(site, fault):
    first = await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    for number in range(20):
        await site.request(request_id=f"warm{number}")
    first.fault = fault
    first.work_s = 0.0
    second = await site.add_backend("s2")
    await site.until(lambda: instance._view.entry("s2") is not None)
    site.fill_retry_budget()
    for number in range(4):
        status, _, content = await site.request(request_id=f"r{number}")
        assert (status, content) == (200, b"s2")
    assert len(second.runs) == 4


async def test_hanging_server_is_hedged(site):
    slow = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    for number in range(20):
        await site.request(request_id=f"warm{number}")
    site.fill_retry_budget()
    slow.fault = Fault.HANG
    pending = asyncio.ensure_future(
        site.request(request_id="late", deadline_ms=3000)
    )
    await site.until(lambda: "late" in slow.runs)
    await site.add_backend("s2")
    status, _, content = await pending
    assert (status, content) == (200, b"s2")


async def test_disconnect_cancels_a_safe_request(site):
    backend = await site.add_backend("s1")
    backend.fault = Fault.HANG
    await site.add_instance()
    await site.ready()
    pending = asyncio.ensure_future(site.request(deadline_ms=5000))
    await site.until(lambda: backend.runs)
    pending.cancel()
    await site.until(lambda: backend._running == 0, timeout_s=1.0)


@pytest.mark.parametrize(
    ("path", "status"),
    [("/read/1", 200), ("/read", 404), ("/none/1", 404), ("/write/x/y", 200)],
)
async def test_route_is_longest_prefix(site, path, status):
    await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    found, _, _ = await site.request(path)
    assert found == status


async def test_missing_configuration_is_refused_with_503(site):
    site.store.delete("keyed.op", "config")
    await site.add_backend("s1")
    await site.add_instance()
    status, headers, _ = await site.request()
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    status, _ = await site.ask(1, "/api/ready")
    assert status == 503


@pytest.mark.parametrize("number", [1, 2, 3, 4])
async def test_new_configuration_is_in_force_everywhere_in_time(site, number):
    """Two of the four instances carry traffic, and one reads the store."""
    await site.add_backend("s1")
    for other in range(1, 5):
        await site.add_instance(other)
    await site.ready()
    await site.until(
        lambda: all(
            len(item._roster.ready_instances(item._clock())) == 4
            for item in site.instances
        )
    )
    site.configure(site.configuration(2, [site.route("new", "/new/")]))
    await asyncio.sleep(1.5)
    status, _, _ = await site.request("/new/1", number=number)
    assert status == 200


async def test_unknown_paths_do_not_read_the_store_each_time(site):
    await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    before = sum(site.store.calls.values())
    for number in range(50):
        status, _, _ = await site.request(f"/none/{number}")
        assert status == 404
    assert sum(site.store.calls.values()) - before <= 8


async def test_older_configuration_is_ignored(site):

    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    site.configure(site.configuration(5, [site.route("new", "/new/")]))
    await site.until(lambda: instance._view.plan.version == 5)
    site.configure(site.configuration(4))
    site.configure(b"not json")
    await asyncio.sleep(1.0)
    assert instance._view.plan.version == 5
    assert "configuration unreadable" in site.logs[0].names()


async def test_draining_and_evacuated_servers_get_no_requests(site):
    first = await site.add_backend("s1", data_centre="a")
    second = await site.add_backend("s2", data_centre="b")
    instance = await site.add_instance()
    await site.ready()
    first.state = "draining"
    site.register(first)
    await site.until(lambda: len(instance._view.backends("svc")) == 1)
    for number in range(5):
        await site.request(request_id=f"a{number}")
    assert not first.runs
    first.state = "ready"
    site.register(first)
    site.store.put("keyed.op", "evacuate/b", b"{}")
    await site.until(lambda: instance._view.evacuated == {"b"})
    await site.until(lambda: len(instance._view.backends("svc")) == 1)
    before = len(second.runs)
    for number in range(5):
        await site.request(request_id=f"b{number}")
    assert len(second.runs) == before


async def test_address_of_another_server_is_not_used(site):
    reused = await site.add_backend("old")
    instance = await site.add_instance()
    await site.ready()
    await site.request()
    reused.server_id = "new"
    status, _, _ = await site.request(request_id="r2")
    assert status == 503
    assert "r2" not in reused.runs
    assert instance is not None


async def test_cold_server_gets_no_more_than_its_rate(site):
    backend = await site.add_backend("s1")
    backend.warmup_remaining_s = 30.0
    await site.add_instance()
    await site.ready()
    results = await asyncio.gather(
        *(site.request(request_id=f"r{number}") for number in range(30))
    )
    # A cold server gets 5 requests per second; requests that can't be served
    # in time are refused.
    assert len(backend.runs) <= 5 * 1.5 + 5
    assert {status for status, _, _ in results} <= {200, 503}


async def test_directory_names_the_crew_of_the_callers_data_centre(site):
    await site.add_backend("s1")
    for number, place in ((1, "a"), (2, "a"), (3, "b")):
        await site.add_instance(number, place)
    await site.ready()
    path = "/api/resolve?name=x&region=r&zone="

    async def names(place):
        _, content = await site.ask(2, path + place)
        addresses = json.loads(content)["addresses"]
        return sorted(item.partition(":")[0] for item in addresses)

    async def is_named(place, *expected):
        return await names(place) == list(expected)

    await site.until(lambda: is_named("b", "127.0.0.3"), 8)
    await site.until(lambda: is_named("a", "127.0.0.1", "127.0.0.2"), 8)
    leaving = site.instances[0]
    leave = asyncio.ensure_future(leaving.leave())
    await site.until(lambda: is_named("a", "127.0.0.2"), 2)
    status, _ = await site.ask(1, "/api/ready")
    assert status == 503
    status, headers, _ = await site.request()
    assert status == 200, site.logs[0].lines[-5:]
    assert headers["Connection"] == "close"
    await leave


@pytest.mark.parametrize(
    "fault", [platform_store.Fault.BUSY, platform_store.Fault.RESET]
)
async def test_store_outage_keeps_serving(site, fault):
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    site.store.fault = fault
    await site.until(lambda: instance._reader.is_store_unavailable)
    status, _, _ = await site.request()
    assert status == 200
    site.store.fault = platform_store.Fault.NONE
    await site.until(lambda: not instance._reader.is_store_unavailable)
    assert {"store lost", "store regained"} <= set(site.logs[0].names())


async def test_expired_history_is_replaced_by_a_full_read(site):
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    second = await site.add_backend("s2")
    site.store.put("keyed.servers", "s1", b"")
    site.store.compact("keyed.servers")
    await site.until(lambda: instance._view.entry("s2") is not None)
    await site.until(lambda: instance._view.entry("s1") is None)
    assert second is not None


async def test_instance_refused_by_the_store_reads_from_another(site):
    await site.add_backend("s1")
    first = await site.add_instance(1)
    second = await site.add_instance(2)
    await site.ready()
    await site.until(
        lambda: len(first._roster.ready_instances(first._clock())) == 2
    )

    async def refuse(*_):
        return store_client.StoreFailure(
            store_client.StoreFailureKind.REFUSED, "refused"
        )

    second._store.read = refuse
    second._store.newest = refuse
    site.store.put("keyed.op", "evacuate/a", b"{}")
    await site.until(lambda: second._view.evacuated == {"a"}, timeout_s=2.0)


async def test_crashing_request_is_refused_after_two_servers(site):
    backends = [await site.add_backend(f"s{n}") for n in range(4)]
    await site.add_instance()
    await site.ready()
    for backend in backends:
        backend.fault = Fault.LOSE
    statuses = []
    for number in range(6):
        status, _, _ = await site.request(
            "/write/crash", "POST", request_id=f"c{number}", data=b"same"
        )
        statuses.append(status)
    assert statuses[:2] == [502, 502]
    assert set(statuses[2:]) == {503}
    assert sum(len(backend.runs) for backend in backends) == 2


async def test_servers_without_load_reports_are_not_probed_each_time(site):
    backends = [await site.add_backend(f"s{n}", slots=2) for n in range(4)]
    for backend in backends:
        backend.reports_load = False
        backend.work_s = 0.05
    await site.add_instance()
    await site.ready()
    await site.request(request_id="first")
    before = sum(backend.health_request_count for backend in backends)
    results = await asyncio.gather(
        *(site.request(request_id=f"r{number}") for number in range(8))
    )
    assert {status for status, _, _ in results} == {200}
    assert sum(backend.health_request_count for backend in backends) == before
    assert all(len(backend.runs) >= 2 for backend in backends)


@pytest.mark.parametrize(
    ("places", "servers", "slots"),
    [
        (["a"], 3, 4),
        (["a", "b", "c", "d", "e"], 10, 2),
        (["a", "b"], 4, 1),
    ],
    ids=["one data centre", "five data centres", "one slot"],
)
async def test_unseen_deployments_are_served(site, places, servers, slots):
    for number in range(servers):
        place = places[number % len(places)]
        await site.add_backend(f"s{number}", data_centre=place, slots=slots)
    for number, place in enumerate(places, 1):
        await site.add_instance(number, place)
    await site.ready()
    results = await asyncio.gather(
        *(
            site.request(request_id=f"r{number}", number=number)
            for number in range(1, len(places) + 1)
        )
    )
    assert {status for status, _, _ in results} == {200}
    for place in places:
        path = f"/api/resolve?name=x&region=r&zone={place}"
        status, content = await site.ask(2, path)
        assert status == 200
        assert json.loads(content)["addresses"]


async def test_silent_store_does_not_fail_requests(site):
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    site.store.fault = platform_store.Fault.SILENT
    await site.until(lambda: instance._reader.is_store_unavailable)
    for number in range(5):
        status, _, _ = await site.request(request_id=f"r{number}")
        assert status == 200


async def test_request_cancelled_before_its_first_step_frees_its_server(site):
    """Its caller disconnects in the event loop iteration that placed it."""
    backend = await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    await site.request()
    known = instance._table.find(instance._view.entry("s1"))
    rule = instance._view.plan.find_route(HOST, "/read/1")
    job = jobs.Job(
        request_id="left",
        rule=rule,
        service="svc",
        customer="",
        priority=rule.priority,
        method="GET",
        target="/read/1",
        headers=(("Host", HOST), ("Request-Id", "left")),
        body=b"",
        arrived_s=instance._clock(),
        asked_s=instance._clock(),
        deadline_s=instance._clock() + 1.0,
        fingerprint="f",
        trace=request_trace.RequestTrace(instance._clock(), instance._clock),
    )
    answers = transfer_budget.TransferBudget(1 << 20)
    carrier = request_carrier.RequestCarrier(instance._state, job, answers)
    known.on_dispatch(instance._clock())
    task = asyncio.ensure_future(carrier._dispatch_hedged(known))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0)
    assert known.in_flight == 0
    assert "left" not in backend.runs
