"""Tests of failures that operators of similar systems have reported.

docs/design/known-failures.md states for each whether it can occur here.
"""

import asyncio
import contextlib
import itertools
import json

import aiohttp
import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.standins import cut_server
from magnoliacrank.standins import platform_backend

Fault = platform_backend.BackendFault
FailureKind = exchange_failure.FailureKind


class ScriptedServer:
    """Answers the requests of one connection with given bytes."""

    def __init__(self, answers):
        self._answers = answers

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        try:
            for answer in self._answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


def _answer(request_id, body):
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Response-Signature: s\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _ask(link, request_id):
    head = outbound_head.OutboundHead("GET", "/", [("Host", "h")])
    return await link.exchange(
        backend_link.OutboundRequest(head, b"", request_id), 2.0
    )


@pytest.mark.parametrize(
    "copies",
    [
        pytest.param(_answer("r1", b"one"), id="a copy"),
        pytest.param(_answer("r1", b"one") * 3, id="copies"),
        pytest.param(_answer("r1", b"x" * 300_000), id="a large copy"),
    ],
)
async def test_late_copy_of_an_answer_goes_to_nobody(copies):
    """The copy arrives where the next request expects its own answer."""
    server = ScriptedServer(
        [_answer("r1", b"one"), copies + _answer("r2", b"two")]
    )
    link = backend_link.BackendLink("127.0.0.1", await server.start())
    assert (await _ask(link, "r1")).content == b"one"
    assert (await _ask(link, "r2")).content == b"two"
    link.close()
    await server.close()


@pytest.mark.parametrize(
    "broken",
    [
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", id="length"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf",
            id="chunks",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nhalf\r\n0\r\n",
            id="last chunk",
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Le", id="head"),
        pytest.param(b"", id="nothing"),
    ],
)
async def test_answer_that_breaks_off_is_a_failure(broken):
    server = ScriptedServer([broken])
    link = backend_link.BackendLink("127.0.0.1", await server.start())
    found = await _ask(link, "r1")
    assert isinstance(found, exchange_failure.ExchangeFailure)
    assert found.kind is not FailureKind.TIMEOUT
    link.close()
    await server.close()


class RepeatingServer:
    """Refuses the first request of each connection, and says so once more.

    The repeated refusal stands before the answer of the next request on the
    connection, or is sent while the connection is idle.

    Args:
        refusal: Bytes of the refusal; `{id}` stands for the refused request.
        delay_s: Delay of the repetition after the refusal, in seconds; None
            for its place before the next answer.
    """

    def __init__(self, refusal, delay_s=None):
        self._refusal = refusal
        self._delay_s = delay_s
        self.runs = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        refusal = None
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:] if line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if " /health " in lines[0]:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nInstance-Id: s1\r\n"
                        b"Server-Load: 0,0,4\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                request_id = fields["request-id"]
                if refusal is None:
                    refusal = self._refusal.replace(
                        b"{id}", request_id.encode()
                    )
                    writer.write(refusal)
                    if self._delay_s is not None:
                        await asyncio.sleep(self._delay_s)
                        writer.write(refusal)
                    continue
                self.runs.append(request_id)
                if self._delay_s is None:
                    writer.write(refusal)
                await asyncio.sleep(0.01)
                writer.write(_answer(request_id, b"done"))
        writer.close()


_REFUSED_HEADS = {
    "503": b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n",
    "503 with id": (
        b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n"
    ),
    "421": b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: s2\r\n",
    "429": b"HTTP/1.1 429 No\r\nNot-Executed: 1\r\n",
    "200": b"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\n",
}


@pytest.mark.parametrize("delay_s", [None, 0.0, 0.02])
@pytest.mark.parametrize("head", _REFUSED_HEADS.values(), ids=_REFUSED_HEADS)
async def test_repeated_refusal_denies_no_work(site, head, delay_s):
    """Guards against "not run, try again" for a request that a server runs.

    A request that is not idempotent would run twice if its caller, or the
    instance, tried again.
    """
    server = RepeatingServer(head + b"Content-Length: 0\r\n\r\n", delay_s)
    port = await server.start()
    entry = platform_backend.PlatformBackend("s1", "svc")
    record = json.loads(entry.store_record())
    record["address"] = f"127.0.0.1:{port}"
    site.store.put("keyed.servers", "s1", json.dumps(record).encode())
    await site.add_instance()
    await site.ready()
    statuses = {}
    for number in range(8):
        request_id = f"w{number}"
        statuses[request_id], _, _ = await site.request(
            "/write/1", "POST", request_id=request_id, data=b"x"
        )
        await asyncio.sleep(0.05)
    denied = {
        request_id
        for request_id, status in statuses.items()
        if status in (408, 421, 429, 503) and request_id in server.runs
    }
    assert not denied
    assert len(server.runs) == len(set(server.runs))
    await server.close()


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("ending", cut_server.Ending)
@pytest.mark.parametrize(
    "cut", cut_server.CUT_HEADS.values(), ids=cut_server.CUT_HEADS
)
async def test_answer_cut_off_in_its_head_is_a_failure(cut, ending, method):
    """Guards against a success with an empty or short body."""
    server = cut_server.CutServer(cut, ending)
    link = backend_link.BackendLink("127.0.0.1", await server.start())
    head = outbound_head.OutboundHead(method, "/", [("Host", "h")])
    found = await link.exchange(
        backend_link.OutboundRequest(head, b"", "r1"), 0.2
    )
    assert isinstance(found, exchange_failure.ExchangeFailure)
    assert found.kind in (FailureKind.CONNECTION_LOST, FailureKind.TIMEOUT)
    link.close()
    await server.close()


@pytest.mark.parametrize("fault", [Fault.LOSE, Fault.UNSTATED, Fault.UNSIGNED])
async def test_work_with_a_lost_answer_is_neither_repeated_nor_denied(
    site, fault
):
    servers = [await site.add_backend("s1"), await site.add_backend("s2")]
    await site.add_instance()
    await site.ready()
    for server in servers:
        server.fault = fault
    status, _, _ = await site.request("/write/1", "POST", data=b"x")
    assert status == 502
    assert sum(len(server.runs) for server in servers) == 1


async def test_planned_stop_under_load_answers_what_was_accepted(site):
    """Callers use open and new connections until the instance has closed."""
    server = await site.add_backend("s1", slots=64)
    server.work_s = 0.15
    instance = await site.add_instance()
    await site.ready()
    url = f"http://127.0.0.1:{site._ports[0]}/write/1"
    cut = []
    numbers = itertools.count()
    is_over = asyncio.Event()

    async def call(session):
        while not is_over.is_set():
            request_id = f"r{next(numbers)}"
            headers = {
                "Host": "site.example",
                "Request-Id": request_id,
                "Request-Deadline": "2000",
            }
            try:
                async with session.post(url, headers=headers) as answer:
                    await answer.read()
            except aiohttp.ClientConnectorError:
                return
            except aiohttp.ClientError as error:
                cut.append((request_id, error))
                return

    async def stop():
        await asyncio.sleep(0.3)
        await instance.leave()
        await instance.close()
        site.instances.remove(instance)
        is_over.set()

    kept = aiohttp.ClientSession()
    fresh = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    )
    async with kept, fresh:
        callers = [call(kept) for _ in range(8)]
        callers += [call(fresh) for _ in range(8)]
        await asyncio.gather(stop(), *callers)
    assert len(server.runs) > 50
    ran = set(server.runs)
    assert [entry for entry in cut if entry[0] in ran] == []


async def test_restarted_process_does_not_use_what_was_withdrawn(site):
    """It gets its first records from another instance, not from the store."""
    await site.add_backend("s1")
    left = await site.add_backend("s2")
    seeds = ("127.0.0.1",)
    first = await site.add_instance(1, seeds=seeds, cores=0.86)
    second = await site.add_instance(2, seeds=seeds, cores=0.86)
    await site.ready()
    await site.until(lambda: second._view.entry("s2"))
    site.store.put("keyed.servers", left.server_id, b"")
    site.configure(
        site.configuration(2, [site.route("read", "/read/", kind="safe")])
    )
    await site.until(lambda: second._view.plan.version == 2)
    await site.until(lambda: not second._view.entry("s2"))
    await second.close()
    site.instances.remove(second)
    again = await site.add_instance(2, seeds=seeds, cores=0.86)
    await site.until(lambda: again.is_ready)
    assert again._view.plan.version == 2
    assert not again._view.entry("s2")
    status, _, _ = await site.request("/write/1", "POST", number=2)
    assert status == 404
    assert first.is_ready
    assert again._store.calls == 0


async def test_two_holders_of_a_duty_record_an_outcome_once(site):
    """Two instances consider themselves first in the duty line at a time."""
    await site.add_backend("old1")
    instances = [await site.add_instance(1), await site.add_instance(2)]
    await site.ready()
    for instance in instances:
        # Both consider themselves first in the duty line.
        instance._roster.duty_order = lambda _now_s: 0
    new = await site.add_backend("new1", version="v2")
    new.fault = Fault.FAIL
    order = {"service": "svc", "target-version": "v2", "duration": "12s"}
    site.store.put("keyed.op", "rollout/svc", json.dumps(order).encode())
    for instance in instances:
        await site.until(lambda item=instance: item._trials.trial("svc"))

    def states():
        return [
            json.loads(value)["state"]
            for key, value in site.store.history("keyed.status")
            if key == "rollout/svc"
        ]

    number = 0
    async with asyncio.timeout(20):
        while "rolled_back" not in states():
            number += 1
            await site.request(request_id=f"r{number}", number=1 + number % 2)
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    assert states().count("rolled_back") == 1
