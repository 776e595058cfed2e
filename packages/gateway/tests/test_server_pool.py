"""ServerPool: failed exchanges, connection reuse and silent connections."""

from __future__ import annotations

import asyncio
import contextlib
import time

import attrs
import pytest

from magnoliacrank.gateway import body
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool
from magnoliacrank.model import verdict as verdicts
from magnoliacrank.standins import backend_server
from magnoliacrank.standins import backend_server_settings
from magnoliacrank.standins import cut_server

Kind = exchange_failure.FailureKind

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_HANG = b"hang"
_CLOSE = b"close"


class ScriptedServer:
    """Answers request M on connection N with replies[N][M].

    A request beyond the script is answered with 200 and a body that names its
    connection, such as c1.
    """

    def __init__(self, replies):
        self.replies = replies
        self.connections = 0
        self.heads = []
        self.closed = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        number = self.connections
        self.connections += 1
        script = iter(
            self.replies[number] if number < len(self.replies) else []
        )
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                reply = next(script, None)
                if reply == _HANG:
                    await reader.read()
                    break
                if reply == _CLOSE:
                    break
                writer.write(reply or _numbered(number))
                if reply and reply.endswith(_CLOSE):
                    break
        self.closed.append(number)
        writer.close()


def _numbered(number):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nc%d" % number


@attrs.define
class Listener:
    events: list = attrs.field(factory=list)
    probes: bool = True

    def on_silent(self, event):
        self.events.append(event)

    def try_take_probe(self):
        return self.probes


class Body:
    """Body whose chunks, failures and exceptions come from a queue."""

    def __init__(self, *chunks, length=None):
        self.queue = asyncio.Queue()
        self.body_length = length
        for chunk in chunks:
            self.queue.put_nowait(chunk)

    async def read_chunk(self):
        chunk = await self.queue.get()
        if isinstance(chunk, Exception):
            raise chunk
        return chunk


@contextlib.asynccontextmanager
async def _pool_of(port, listener=None, **limits):
    pool = server_pool.ServerPool(
        "127.0.0.1", port, pool_limits.PoolLimits(**limits), listener
    )
    await pool.start()
    try:
        yield pool
    finally:
        await pool.close()


@contextlib.asynccontextmanager
async def _scripted(*replies, **limits):
    server = ScriptedServer(replies)
    await server.start()
    try:
        async with _pool_of(server.port, **limits) as pool:
            yield pool, server
    finally:
        await server.close()


def _head(method="GET", target="/", **headers):
    return outbound_head.OutboundHead(
        method, target, [("Host", "a"), *headers.items()]
    )


async def _get(pool, head=None, content=b"", seconds=5.0, **options):
    """Sends a request; returns the whole answer body or the failure."""
    answer = await pool.exchange(
        head or _head(), content, time.monotonic() + seconds, **options
    )
    if isinstance(answer, exchange_failure.ExchangeFailure):
        return answer
    result = await answer.read_all(1 << 20)
    answer.release()
    return result


async def _until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def _ok_with(*lines):
    return b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""])


_FAILING_REPLIES = {
    "closed without answer": (_CLOSE, Kind.CONNECTION_LOST),
    "closed in the head": (b"HTTP/1.1 200 OK\r\nX" + _CLOSE, None),
    "short body": (
        _ok_with(b"Content-Length: 9") + b"ok" + _CLOSE,
        Kind.TRUNCATED,
    ),
    "short chunk": (
        _ok_with(b"Transfer-Encoding: chunked") + b"9\r\nok" + _CLOSE,
        Kind.TRUNCATED,
    ),
    "no last chunk": (
        _ok_with(b"Transfer-Encoding: chunked") + b"2\r\nok\r\n",
        Kind.TIMEOUT,
    ),
    "no answer": (_HANG, Kind.TIMEOUT),
    "part of a head": (b"HTTP/1.1 200 OK\r\nX: ", Kind.TIMEOUT),
    "part of a body": (_ok_with(b"Content-Length: 9") + b"ok", Kind.TIMEOUT),
    "no HTTP": (b"garbage\r\n\r\n", Kind.MALFORMED),
    "no frame": (_ok_with(b"X: 1") + b"ok" + _CLOSE, Kind.MALFORMED),
    "both lengths": (
        _ok_with(b"Content-Length: 2", b"Transfer-Encoding: chunked")
        + b"0\r\n\r\n",
        Kind.MALFORMED,
    ),
    "two lengths": (
        _ok_with(b"Content-Length: 2", b"Content-Length: 3") + b"ok",
        Kind.MALFORMED,
    ),
    "other coding": (
        _ok_with(b"Transfer-Encoding: gzip, chunked") + b"0\r\n\r\n",
        Kind.MALFORMED,
    ),
    "bad chunk": (
        _ok_with(b"Transfer-Encoding: chunked") + b"zz\r\n",
        None,
    ),
    "upgrade": (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\n",
        Kind.MALFORMED,
    ),
    "other version": (
        b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        Kind.MALFORMED,
    ),
}


@pytest.mark.parametrize("name", _FAILING_REPLIES)
async def test_failed_exchange_may_have_run_and_ends_its_connection(name):
    reply, kind = _FAILING_REPLIES[name]
    async with _scripted([reply]) as (pool, _):
        failure = await _get(pool, seconds=0.1 if kind is Kind.TIMEOUT else 5)
        assert isinstance(failure, exchange_failure.ExchangeFailure)
        assert kind is None or failure.kind is kind
        assert failure.verdict.outcome is verdicts.Outcome.MAY_HAVE_RUN
        assert pool.open_count == 0
        assert await _get(pool) == b"c1"


_REPLIES_WITHOUT_REUSE = {
    "close announced": _ok_with(b"Content-Length: 2", b"Connection: close")
    + b"ok",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "a second answer": _OK + _numbered(7),
    "part of a second answer": _OK + b"HTTP/1.1 200 OK\r\nX: ",
    "stray line end": _OK + b"\r\n",
    "bytes after the last chunk": (
        _ok_with(b"Transfer-Encoding: chunked")
        + b"2\r\nok\r\n0\r\n\r\nHTTP/1.1 2"
    ),
    "interim answer": b"HTTP/1.1 103 Early Hints\r\n\r\n" + _OK,
}


@pytest.mark.parametrize("name", _REPLIES_WITHOUT_REUSE)
async def test_connection_in_doubtful_state_is_not_reused(name):
    async with _scripted([_REPLIES_WITHOUT_REUSE[name]]) as (pool, _):
        assert await _get(pool) == b"ok"
        assert pool.open_count == 0
        assert await _get(pool) == b"c1"


_REPLIES_WITH_REUSE = {
    "length": _OK,
    "chunks": _ok_with(b"Transfer-Encoding: chunked") + b"2\r\nok\r\n0\r\n\r\n",
    "error with a body": (b"HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nok"),
}


@pytest.mark.parametrize("name", _REPLIES_WITH_REUSE)
async def test_connection_is_reused_after_a_whole_answer(name):
    async with _scripted([_REPLIES_WITH_REUSE[name]]) as (pool, server):
        assert await _get(pool) == b"ok"
        assert (pool.idle_count, pool.busy_count) == (1, 0)
        assert await _get(pool) == b"c0"
        assert server.connections == 1


async def test_head_and_get_share_a_connection():
    head_reply = _ok_with(b"Content-Length: 99")
    async with _scripted([head_reply, _OK, head_reply]) as (pool, server):
        assert await _get(pool, _head("HEAD")) == b""
        assert await _get(pool) == b"ok"
        assert await _get(pool, _head("HEAD")) == b""
        assert await _get(pool) == b"c0"
        assert server.connections == 1


async def test_bytes_while_idle_retire_the_connection():
    async with _scripted([_OK]) as (pool, _):
        assert await _get(pool) == b"ok"
        (connection,) = pool._idle
        connection.data_received(_numbered(7))
        assert pool.open_count == 0
        assert await _get(pool) == b"c1"


async def test_idle_connection_closed_by_the_server_leaves_the_pool():
    async with _scripted([_OK]) as (pool, server):
        assert await _get(pool) == b"ok"
        await server.close()
        (connection,) = pool._idle
        connection.transport.close()
        await _until(lambda: not pool.open_count)


async def test_late_answer_reaches_no_other_request():
    release = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"GET /late" in head:
                    await release.wait()
                reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                writer.write(reply + head[4:9])

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with _pool_of(port) as pool:
        failure = await _get(pool, _head(target="/late"), seconds=0.05)
        assert failure.kind is Kind.TIMEOUT
        release.set()
        for _ in range(3):
            assert await _get(pool, _head(target="/next")) == b"/next"
            await asyncio.sleep(0.01)
    server.close()


async def test_cancelled_exchange_ends_its_connection():
    async with _scripted([_HANG]) as (pool, server):
        task = asyncio.create_task(_get(pool, seconds=60.0))
        await _until(lambda: server.heads)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert pool.open_count == 0
        await _until(lambda: server.closed == [0])


async def test_request_with_refused_connection_is_not_run():
    async with _scripted() as (pool, server):
        await server.close()
        failure = await _get(pool)
        assert failure.kind is Kind.CONNECT_FAILED
        assert failure.verdict == verdicts.not_run(
            verdicts.Reason.CONNECT_FAILED
        )


async def test_request_past_its_deadline_is_not_run():
    async with _scripted() as (pool, server):
        failure = await _get(pool, seconds=-1.0)
        assert failure.verdict.outcome is verdicts.Outcome.NOT_RUN
        assert server.heads == []


async def test_line_end_in_a_header_is_an_error_and_costs_no_connection():
    async with _scripted() as (pool, server):
        with pytest.raises(framing.HeaderInjectionError):
            await _get(pool, _head(X="a\r\nY: b"))
        assert pool.busy_count == 0
        assert server.heads == []


@pytest.mark.parametrize(
    ("status", "value", "is_refusal"),
    [
        (b"503 No", b"1", True),
        (b"429 No", b"1", True),
        (b"503 No", b"0", False),
        (b"200 OK", b"1", False),
    ],
)
async def test_only_an_explicit_refusal_counts_as_not_run(
    status, value, is_refusal
):
    reply = (
        b"HTTP/1.1 %b\r\nMagnoliacrank-Not-Run: %b\r\n"
        b"Magnoliacrank-Load: in_flight=9\r\nContent-Length: 0\r\n\r\n"
        % (status, value)
    )
    async with _scripted([reply]) as (pool, _):
        result = await _get(pool)
        if is_refusal:
            assert result.verdict == verdicts.not_run(
                verdicts.Reason.SERVER_REFUSED
            )
            assert result.headers["Magnoliacrank-Load"] == "in_flight=9"
        else:
            assert result == b""
        assert await _get(pool) == b"c0"


async def test_repeated_refusal_ends_no_request_that_runs_at_most_once():
    """Guards against "not run" for work that the server runs.

    The server writes an earlier refusal once more, where the next request on
    the connection expects its own answer.
    """
    refusal = (
        b"HTTP/1.1 503 No\r\nMagnoliacrank-Not-Run: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    async with _scripted([refusal, refusal + _OK]) as (pool, server):
        assert (await _get(pool)).kind is Kind.REFUSED
        assert await _get(pool, needs_live=True) == b"c1"
        assert server.connections == 2
        assert await _get(pool, needs_live=True) == b"c1"


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("ending", cut_server.Ending)
@pytest.mark.parametrize(
    "cut", cut_server.CUT_HEADS.values(), ids=cut_server.CUT_HEADS
)
async def test_answer_cut_off_in_its_head_is_no_answer(cut, ending, method):
    """Guards against a success with an empty or short body."""
    server = cut_server.CutServer(cut, ending)
    async with _pool_of(await server.start()) as pool:
        result = await _get(pool, _head(method), seconds=0.2)
        assert isinstance(result, exchange_failure.ExchangeFailure)
        assert result.kind in (Kind.CONNECTION_LOST, Kind.TIMEOUT)
        assert pool.open_count == 0
    await server.close()


async def test_full_pool_refuses_at_once_as_not_run():
    async with _scripted([_HANG], max_connections=1) as (pool, server):
        task = asyncio.create_task(_get(pool))
        await _until(lambda: server.heads)
        failure = await _get(pool)
        assert failure.kind is Kind.POOL_EXHAUSTED
        assert failure.verdict.outcome is verdicts.Outcome.NOT_RUN
        task.cancel()


async def test_warm_opens_connections_up_to_the_limit():
    async with _scripted(max_connections=3) as (pool, server):
        assert await pool.warm(5) == 3
        await _until(lambda: server.connections == 3)
        assert pool.idle_count == 3


@pytest.mark.parametrize(
    ("alive_within_s", "connections"), [(60.0, 1), (0.0, 2)]
)
async def test_request_that_needs_a_live_connection_uses_no_stale_one(
    alive_within_s, connections
):
    async with _scripted(alive_within_s=alive_within_s, max_connections=1) as (
        pool,
        server,
    ):
        assert await _get(pool) == b"c0"
        result = await _get(pool, needs_live=True)
        assert result == b"c%d" % (connections - 1)
        assert server.connections == connections
        assert pool.open_count == 1


async def test_closed_pool_fails_running_requests_and_refuses_others():
    async with _scripted([_HANG]) as (pool, server):
        task = asyncio.create_task(_get(pool))
        await _until(lambda: server.heads)
        await pool.close()
        assert (await task).kind is Kind.CONNECTION_LOST
        assert (await _get(pool)).kind is Kind.POOL_CLOSED


@pytest.mark.parametrize("length", [None, 6])
async def test_body_is_streamed(length):
    source = Body(b"abc", b"def", b"", length=length)
    server = backend_server.BackendServer(
        backend_server_settings.BackendServerSettings()
    )
    await server.start()
    async with _pool_of(server.port) as pool:
        result = await _get(pool, _head("POST"), source)
        assert b'"body_bytes":6' in result
        assert pool.idle_count == 1
    await server.close()


async def test_answer_before_the_end_of_the_body_ends_the_connection():
    async with _scripted([_OK]) as (pool, _):
        assert await _get(pool, _head("POST"), Body(b"abc")) == b"ok"
        assert pool.open_count == 0


@pytest.mark.parametrize(
    "source",
    [
        Body(b"abc", body.CALLER_GONE, length=9),
        Body(b"abc", b"", length=9),
        Body(b"abcdefghijk", b"", length=9),
        Body(ValueError()),
    ],
)
async def test_broken_body_may_have_run_and_ends_the_connection(source):
    async with _scripted([_HANG]) as (pool, server):
        failure = await _get(pool, _head("POST"), source)
        assert failure.kind is Kind.BODY_FAILED
        assert failure.verdict.outcome is verdicts.Outcome.MAY_HAVE_RUN
        await _until(lambda: server.closed)
        assert pool.open_count == 0


@contextlib.asynccontextmanager
async def _backend(listener, **limits):
    server = backend_server.BackendServer(
        backend_server_settings.BackendServerSettings(slots=8)
    )
    await server.start()
    async with _pool_of(
        server.port, listener, silence_s=0.02, **limits
    ) as pool:
        yield pool, server
    await server.close()


async def _use_connections(pool, count):
    assert await pool.warm(count) == count
    results = await asyncio.gather(
        *(_get(pool, _head(target="/?bytes=2")) for _ in range(count))
    )
    assert results == [b"xx"] * count


async def test_silent_connections_fail_only_one_request():
    listener = Listener()
    async with _backend(listener) as (pool, server):
        await _use_connections(pool, 4)
        server.silence_connections()
        victim = asyncio.create_task(_get(pool, seconds=0.5))
        await _until(lambda: listener.events)
        assert listener.events[0].retired == 3
        for _ in range(4):
            assert await _get(pool, _head(target="/?bytes=2")) == b"xx"
        failure = await victim
        assert failure.kind is Kind.TIMEOUT
        assert failure.verdict.outcome is verdicts.Outcome.MAY_HAVE_RUN
        assert len(listener.events) == 1


async def test_frozen_server_is_not_taken_for_silent_connections():
    listener = Listener()
    async with _backend(listener, probe_timeout_s=0.05) as (pool, server):
        await _use_connections(pool, 2)

        async def freeze(_):
            await asyncio.get_running_loop().create_future()

        server._block_if_silent = freeze
        failure = await _get(pool, seconds=0.3)
        assert failure.kind is Kind.TIMEOUT
        assert listener.events == []
        assert pool.idle_count == 1


async def test_slow_request_gets_its_answer_though_a_probe_was_faster():
    listener = Listener()
    async with _backend(listener) as (pool, server):
        await _use_connections(pool, 1)
        slow = attrs.evolve(server.settings, service_time_s=0.2)
        server._settings = slow
        assert await _get(pool, _head(target="/?bytes=2")) == b"xx"
        assert len(listener.events) == 1
        assert pool.idle_count >= 1


async def test_probe_waits_for_the_measuring_budget():
    listener = Listener(probes=False)
    async with _backend(listener) as (pool, server):
        await _use_connections(pool, 1)
        server.silence_connections()
        await _get(pool, seconds=0.2)
        assert server.measurements == 0
        assert listener.events == []


async def test_answer_on_a_newer_connection_makes_the_probe_unnecessary():
    listener = Listener(probes=False)
    async with _backend(listener) as (pool, server):
        await _use_connections(pool, 1)
        server.silence_connections()
        victim = asyncio.create_task(_get(pool, seconds=0.3))
        await _until(lambda: pool.busy_count == 1)
        assert await _get(pool, _head(target="/?bytes=2")) == b"xx"
        await victim
        assert server.measurements == 0
        assert len(listener.events) == 1
