"""Callers and servers that read or send slowly: what is held stays bounded."""

import asyncio
import contextlib
import socket

import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import outbound_head
from magnoliacrank.policy import transfer_budget

LARGE = 8 << 20


async def _start(site, **fields):
    backend = await site.add_backend("s1")
    instance = await site.add_instance(**fields)
    await site.ready()
    return backend, instance, instance._front.handler


def _send(site, request_id, body, **fields):
    return asyncio.ensure_future(
        site.request(
            "/write/1", "POST", request_id=request_id, data=body, **fields
        )
    )


async def _stalled(size, resumed):
    """Yields a body of which the last byte comes late."""
    yield b"x" * size
    await resumed.wait()
    yield b"x"


async def test_bodies_without_a_length_count_toward_the_memory(site):
    """Bodies may take a fifth of the process's memory: 150 KB of 0.75 MB."""
    backend, _, handler = await _start(site, memory_mb=0.75)
    resumed = asyncio.Event()
    first = _send(site, "first", _stalled(100_000, resumed), deadline_ms=1400)
    await site.until(lambda: handler._bodies.held_bytes >= 100_000)
    for body in (b"x" * 100_000, _stalled(100_000, resumed)):
        status, headers, _ = await _send(site, "second", body)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
    resumed.set()
    assert (await first)[0] == 200
    assert backend.runs == ["first"]
    assert handler._bodies.held_bytes == 0


async def test_body_that_is_late_at_its_deadline_holds_no_memory(site):
    backend, _, handler = await _start(site)
    body = _stalled(100_000, asyncio.Event())
    status, _, _ = await _send(site, "late", body, deadline_ms=300)
    assert status == 408
    assert not backend.runs
    await site.until(lambda: handler._bodies.held_bytes == 0)


@contextlib.asynccontextmanager
async def _raw_server(serve):
    """Listens with a small receive buffer."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    listening.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listening, limit=4096)
    yield server.sockets[0].getsockname()[1]
    server.close()


def _request(body):
    head = outbound_head.OutboundHead("POST", "/", [("Host", "h")])
    return backend_link.OutboundRequest(head, body, "r1", is_idempotent=False)


async def test_body_for_a_server_that_does_not_read_is_held_once():
    """The kernel's buffers don't count, what the transport holds does."""
    resumed = asyncio.Event()
    received = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await resumed.wait()
        received.append(await reader.readexactly(2 * LARGE))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    body = b"ab" * LARGE
    async with _raw_server(serve) as port:
        link = backend_link.BackendLink("127.0.0.1", port)
        exchange = asyncio.ensure_future(link.exchange(_request(body), 20.0))
        held = []
        for _ in range(30):
            await asyncio.sleep(0.01)
            held += [
                connection.transport.get_write_buffer_size()
                for connection in link._busy
            ]
        resumed.set()
        answer = await exchange
        link.close()
    assert answer.content == b"ok"
    assert received == [body]
    assert max(held) <= 2 * backend_link._BODY_PART_BYTES


async def test_answer_before_the_end_of_a_body_ends_the_connection():
    """The rest of the body must not be taken for the next request."""
    received = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        with contextlib.suppress(ConnectionError):
            while block := await reader.read(1 << 20):
                received.append(block)
        writer.close()

    async with _raw_server(serve) as port:
        link = backend_link.BackendLink("127.0.0.1", port)
        answer = await link.exchange(_request(b"x" * 2 * LARGE), 5.0)
        assert answer.content == b"ok"
        assert not link._idle
        assert not link._busy
        link.close()
    assert set(b"".join(received)) <= {ord("x")}


@contextlib.asynccontextmanager
async def _unread_request(site, number, deadline_ms=None, path="/read/1"):
    """Sends a request whose answer isn't read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ("127.0.0.1", site._ports[0]))
    deadline = ""
    if deadline_ms is not None:
        deadline = f"Request-Deadline: {deadline_ms}\r\n"
    head = (
        f"GET {path} HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: unread{number}\r\n{deadline}\r\n"
    )
    await loop.sock_sendall(caller, head.encode())
    yield caller
    caller.close()


async def test_unread_answer_is_dropped_after_the_deadline(site):
    backend, instance, handler = await _start(site, memory_mb=400)
    backend.padding_bytes = 2 * LARGE
    async with _unread_request(site, 1, deadline_ms=500):
        await site.until(lambda: handler._answers.held_bytes >= 2 * LARGE)
        await site.until(lambda: handler._answers.held_bytes == 0, 3.0)
        await site.until(lambda: instance._front.connection_count == 0)
    assert "answer unread" in site.logs[0].names()


async def test_unread_answers_leave_room_for_those_of_other_callers(site):
    """Answers may take 40 MB of 400 MB; 16 MB each are unread."""
    backend, _, handler = await _start(site, memory_mb=400)
    backend.padding_bytes = 2 * LARGE
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(_unread_request(site, 1))
        await site.until(lambda: handler._answers.held_bytes >= 2 * LARGE)
        runs = len(backend.runs)
        status, headers, _ = await site.request(request_id="refused")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(backend.runs) == runs
    await site.until(lambda: handler._answers.held_bytes == 0)
    status, _, content = await site.request(request_id="served")
    assert status == 200
    assert len(content) > 2 * LARGE


async def test_body_is_not_held_while_its_answer_is_read(site):
    backend, _, handler = await _start(site, memory_mb=400)
    backend.padding_bytes = 2 * LARGE
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ("127.0.0.1", site._ports[0]))
    body = b"x" * 100_000
    head = (
        "POST /write/1 HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: r1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    await loop.sock_sendall(caller, head.encode() + body)
    await site.until(lambda: handler._answers.held_bytes >= 2 * LARGE)
    assert handler._bodies.held_bytes == 0
    caller.close()


@pytest.mark.parametrize(
    ("size", "most"), [(60_000, 1), (30_000, 2), (10_000, 4)]
)
async def test_bodies_in_flight_to_one_server_are_bounded(
    site, monkeypatch, size, most
):
    monkeypatch.setattr(transfer_budget, "_SERVER_BYTES", 61_000)
    site.configure(
        site.configuration(
            2,
            [
                site.route(
                    "write",
                    "/write/",
                    kind="unsafe",
                    timeout="6000ms",
                    **{"target-latency": "4000ms"},
                )
            ],
        )
    )
    backend, instance, _ = await _start(site)
    backend.work_s = 0.15
    seen = []
    requests = [
        _send(site, f"r{number}", b"x" * size, deadline_ms=5000)
        for number in range(4)
    ]
    while not all(request.done() for request in requests):
        seen.append(backend._running)
        await asyncio.sleep(0.01)
    assert [request.result()[0] for request in requests] == [200] * 4
    assert max(seen) == most
    found = instance._table.find(instance._view.entry("s1"))
    assert found.in_flight_bytes == 0
