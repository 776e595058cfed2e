"""Tests of servers that send endless, late or malformed answers."""

import asyncio
import time

import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.policy import transfer_budget
from magnoliacrank.standins import platform_backend

FailureKind = exchange_failure.FailureKind

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
BLOCK = 64 * 1024

MAX_SENT_BYTES = 48 << 20
"""Maximum number of bytes that a server may send before its connection is
closed; includes the socket buffers of both sides."""

PATIENT_S = 60.0
"""Timeout that doesn't pass on a busy machine."""

MEMORY_BYTES = 24 << 20


class EndlessServer:
    """Sends a beginning, then the same block until its client closes."""

    def __init__(self, beginning, block):
        self._beginning = beginning
        self._block = block
        self.sent = 0
        self.is_closed = asyncio.Event()
        self._handlers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Ends all connections before the event loop closes."""
        self._server.close()
        for handler in self._handlers:
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        self._handlers.add(asyncio.current_task())
        try:
            await self._write_endlessly(reader, writer)
        finally:
            writer.transport.abort()

    async def _write_endlessly(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            while self._block:
                writer.write(self._block)
                await writer.drain()
                self.sent += len(self._block)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.is_closed.set()


async def _exchange(port, timeout_s=5.0, **fields):
    link = backend_link.BackendLink("127.0.0.1", port, **fields)
    head = outbound_head.OutboundHead("GET", "/", [("Host", "h")])
    found = await link.exchange(
        backend_link.OutboundRequest(head, b"", "r1"), timeout_s
    )
    link.close()
    return found


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(b"", b"x" * BLOCK, id="no status line"),
        pytest.param(b"", b"\r\n" * (BLOCK // 2), id="empty lines"),
        pytest.param(b"HTTP/1.1 200 ", b"x" * BLOCK, id="reason"),
        pytest.param(OK + b"A: ", b"x" * BLOCK, id="field"),
        pytest.param(OK, b"A: b\r\n" * 9000, id="fields"),
        pytest.param(b"", b"HTTP/1.1 100 Go\r\n\r\n" * 3000, id="interim"),
        pytest.param(
            b"",
            (OTHER + b"Content-Length: 0\r\n\r\n") * 1000,
            id="answers to others",
        ),
        pytest.param(
            OTHER + b"Transfer-Encoding: chunked\r\n\r\n",
            b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n",
            id="body to another",
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n",
            b"x" * BLOCK,
            id="chunk size",
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n1;",
            b"x" * BLOCK,
            id="chunk extension",
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"A: b\r\n" * 9000,
            id="trailers",
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n",
            b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n",
            id="chunks",
        ),
        pytest.param(OK + b"\r\n", b"x" * BLOCK, id="body without length"),
    ],
)
async def test_endless_answer_closes_the_connection(beginning, block):
    server = EndlessServer(beginning, block)
    port = await server.start()
    memory = transfer_budget.TransferBudget(MEMORY_BYTES)
    started_s = time.monotonic()
    found = await _exchange(port, memory=memory)
    assert isinstance(found, exchange_failure.ExchangeFailure)
    assert found.kind in (FailureKind.MALFORMED, FailureKind.TRUNCATED)
    assert time.monotonic() - started_s < 4.0
    async with asyncio.timeout(1.0):
        await server.is_closed.wait()
    assert server.sent < MAX_SENT_BYTES
    assert memory.held_bytes == 0
    await server.close()


FIELDS = b"".join(
    b"A%d: " % index + b"x" * 1000 + b"\r\n" for index in range(250)
)
"""Fewer and shorter than the parser allows."""


@pytest.mark.parametrize(
    "beginning",
    [
        pytest.param(OK + FIELDS, id="head"),
        pytest.param(OTHER + FIELDS, id="head to another"),
        pytest.param(b"HTTP/1.1 100 Go\r\n" + FIELDS, id="interim"),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + FIELDS,
            id="trailers",
        ),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + FIELDS,
            id="trailers after a body",
        ),
    ],
)
async def test_fields_that_never_end_are_not_kept(beginning):
    """Guards against heads in memory, up to 7.5 MB each and counted nowhere.

    The server then sends nothing more, so only what it has sent can end the
    exchange before its deadline.
    """
    server = EndlessServer(beginning, b"")
    port = await server.start()
    found = await _exchange(port, timeout_s=PATIENT_S)
    assert isinstance(found, exchange_failure.ExchangeFailure)
    assert found.kind in (FailureKind.MALFORMED, FailureKind.TRUNCATED)
    await server.close()


async def test_fields_and_trailers_of_usual_size_are_read():
    fields = FIELDS[: 60 * 1007]
    chunks = b"2\r\nok\r\n0\r\nT: " + b"x" * 8000 + b"\r\n\r\n"
    server = EndlessServer(
        OK + fields + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, b""
    )
    port = await server.start()
    found = await _exchange(port)
    assert found.content == b"ok"
    await server.close()


async def test_endless_health_answers_leave_others_served(site):
    """A faulty server answers all its requests without end, also checks."""
    server = EndlessServer(OK + b"\r\n", b"x" * BLOCK)
    faulty = platform_backend.PlatformBackend("s1", "svc")
    faulty._port = await server.start()
    site.register(faulty)
    await site.add_backend("s2")
    instance = await site.add_instance()
    await site.ready()
    statuses = [
        (await site.request(request_id=f"r{number}"))[0] for number in range(30)
    ]
    assert statuses.count(200) >= 28
    await site.until(lambda: not instance._front.handler._answers.held_bytes)
    await server.close()


async def test_late_answer_to_another_request_is_skipped():
    """The late answer exceeds the connection's read-ahead buffer."""
    body = b"x" * 400_000
    late = OTHER + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    server = EndlessServer(late + OK + b"Content-Length: 2\r\n\r\nok", b"")
    port = await server.start()
    found = await _exchange(port, timeout_s=2.0)
    assert found.content == b"ok"
    await server.close()


async def test_concurrent_answers_share_the_memory_limit(monkeypatch):
    """Guards against running out of memory with concurrent large answers."""
    monkeypatch.setattr(backend_link, "_CONNECT_TIMEOUT_S", PATIENT_S)
    length = 10 << 20
    beginning = OK + f"Content-Length: {length}\r\n\r\n".encode()
    memory = transfer_budget.TransferBudget(MEMORY_BYTES)
    servers = [EndlessServer(beginning + b"x" * length, b"") for _ in range(5)]
    ports = [await server.start() for server in servers]
    found = await asyncio.gather(
        *(_exchange(port, PATIENT_S, memory=memory) for port in ports)
    )
    whole = [
        item for item in found if isinstance(item, backend_link.WholeAnswer)
    ]
    assert 1 <= len(whole) <= 2
    assert memory.held_bytes == 0
    for server in servers:
        await server.close()
