"""FrontServer: bytes that callers send, and the exact answers to them."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from magnoliacrank.gateway import body
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server

_HOST = b"Host: a\r\n"
_GET = b"GET /ok HTTP/1.1\r\n" + _HOST + b"\r\n"
_LAST_REQUEST = (
    b"GET /ok?last HTTP/1.1\r\n" + _HOST + b"Connection: close\r\n\r\n"
)
_POST = b"POST /ok HTTP/1.1\r\n" + _HOST


class Echo:
    """Answers with target and body; some paths select other behaviour."""

    def __init__(self):
        self.targets = []
        self.failures = []
        self.gone = asyncio.Event()

    async def on_request(self, exchange):
        self.targets.append(exchange.target)
        action = getattr(self, "_on_" + exchange.path[1:], self._on_ok)
        await action(exchange)

    async def _on_ok(self, exchange):
        content = await exchange.read_body(1 << 20)
        if isinstance(content, body.BodyFailure):
            self.failures.append(content)
            await exchange.answer(content.status, [], b"")
            return
        text = f"{exchange.target}:".encode() + content
        await exchange.answer(200, [("X-A", "1")], text)

    async def _on_unread(self, exchange):
        await exchange.answer(413, [], b"")

    async def _on_short(self, exchange):
        exchange.start_answer(200, [], 10)
        await exchange.write(b"12345")
        await exchange.finish()

    async def _on_chunks(self, exchange):
        exchange.start_answer(200, [])
        await exchange.write(b"12")
        await exchange.write(b"345")
        await exchange.finish()

    async def _on_cut(self, exchange):
        exchange.start_answer(200, [])
        await exchange.write(b"12345")
        exchange.abort()

    async def _on_fault(self, exchange):
        raise ValueError("fault of the handler")

    async def _on_silent(self, exchange):
        return

    async def _on_wait(self, exchange):
        await exchange.caller_gone
        self.gone.set()

    async def _on_empty(self, exchange):
        await exchange.answer(204, [], b"")

    async def _on_inject(self, exchange):
        await exchange.answer(200, [("X-A", "1\r\nX-B: 2")], b"")


@contextlib.asynccontextmanager
async def _front(**limits):
    handler = Echo()
    server = front_server.FrontServer(
        handler, front_limits.FrontLimits(**limits)
    )
    await server.start("127.0.0.1", 0)
    try:
        yield server, handler
    finally:
        await server.close(0.1)


async def _send_and_read(server, *parts):
    """Sends each part separately and reads until the connection closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.002)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


async def _until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def _status(answer):
    return int(answer.split(b" ", 2)[1])


_INVALID_REQUESTS = {
    "both lengths": (
        400,
        _POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n",
    ),
    "both lengths, other order": (
        400,
        _POST + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
        b"0\r\n\r\n",
    ),
    "two lengths": (
        400,
        _POST + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    ),
    "length list": (400, _POST + b"Content-Length: 3, 3\r\n\r\nabc"),
    "length with sign": (400, _POST + b"Content-Length: +3\r\n\r\nabc"),
    "negative length": (400, _POST + b"Content-Length: -3\r\n\r\nabc"),
    "length too large": (400, _POST + b"Content-Length: 9" * 1 + b"9" * 30),
    "two codings": (
        501,
        _POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    ),
    "coding is no chunking": (
        400,
        _POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    ),
    "chunked twice": (
        400,
        _POST + b"Transfer-Encoding: chunked\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    "chunked in HTTP/1.0": (
        400,
        b"POST /ok HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    "bad chunk size": (
        400,
        _POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    ),
    "bare line feed in chunk": (
        400,
        _POST + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    ),
    "chunk longer than its size": (
        400,
        _POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    ),
    "folded header": (400, _GET[:-2] + b"X: a\r\n b\r\n\r\n"),
    "space in name": (400, _GET[:-2] + b"X Y: a\r\n\r\n"),
    "space before colon": (400, b"GET /ok HTTP/1.1\r\nHost : a\r\n\r\n"),
    "control character": (400, _GET[:-2] + b"X: a\x01b\r\n\r\n"),
    "null character": (400, _GET[:-2] + b"X: a\x00b\r\n\r\n"),
    "bare line feed": (400, b"GET /ok HTTP/1.1\nHost: a\n\n"),
    "bare carriage return": (400, _GET[:-2] + b"X: a\rb\r\n\r\n"),
    "no host": (400, b"GET /ok HTTP/1.1\r\n\r\n"),
    "two hosts": (400, _GET[:-2] + b"Host: b\r\n\r\n"),
    "other protocol": (400, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    "TLS": (400, b"\x16\x03\x01\x02\x00\x01\x00"),
    "unknown version": (400, b"GET /ok HTTP/1.2\r\nHost: a\r\n\r\n"),
    "old version": (505, b"GET /ok\r\n\r\n"),
    "newer version": (505, b"GET /ok HTTP/2.0\r\nHost: a\r\n\r\n"),
    "tunnel": (501, b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n"),
    "fragment": (400, b"GET /ok#a HTTP/1.1\r\nHost: a\r\n\r\n"),
    "unknown method": (400, b"FOO /ok HTTP/1.1\r\nHost: a\r\n\r\n"),
    "unknown expectation": (417, _GET[:-2] + b"Expect: tea\r\n\r\n"),
    "long target": (431, b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n"),
    "long header": (431, _GET[:-2] + b"X: " + b"a" * 9000 + b"\r\n\r\n"),
    "many headers": (
        431,
        _GET[:-2] + b"".join(b"X%d: a\r\n" % n for n in range(101)) + b"\r\n",
    ),
    "large head": (
        431,
        _GET[:-2]
        + b"".join(b"X%d: %b\r\n" % (n, b"a" * 4000) for n in range(10))
        + b"\r\n",
    ),
    "endless head": (
        431,
        _GET[:-2]
        + b"".join(b"X%d: %b\r\n" % (n, b"a" * 4000) for n in range(10)),
    ),
}


@pytest.mark.parametrize("step", [None, 7])
@pytest.mark.parametrize("name", _INVALID_REQUESTS)
async def test_invalid_request_is_refused_and_connection_closes(name, step):
    status, data = _INVALID_REQUESTS[name]
    if len(data) > 1000:
        step = step and 1000
    parts = [data]
    if step:
        parts = [data[n : n + step] for n in range(0, len(data), step)]
    async with _front(linger_timeout_s=0.1) as (server, _):
        answer = await _send_and_read(server, *parts)
        assert _status(answer) == status
        assert answer.count(b"HTTP/1.1 ") == 1
        assert b"Connection: close\r\n" in answer


async def test_refusal_states_that_nothing_ran():
    async with _front(linger_timeout_s=0.1) as (server, handler):
        answer = await _send_and_read(
            server, _INVALID_REQUESTS["both lengths"][1]
        )
        assert b"Magnoliacrank-Verdict: not-run\r\n" in answer
        assert b"Magnoliacrank-Reason: bad-request\r\n" in answer
        assert answer.endswith(
            b'\r\n\r\n{"verdict":"not-run","reason":"bad-request",'
            b'"message":"the request is not valid"}'
        )
        assert handler.targets == []


_SLOW_REQUESTS = {
    "no head": (408, []),
    "part of a head": (408, [b"GET /ok HT"]),
    "part of a second head": (408, [_GET, b"GET /ok HT"]),
    "no body": (408, [_POST + b"Content-Length: 5\r\n\r\n"]),
    "part of a body": (408, [_POST + b"Content-Length: 5\r\n\r\n", b"abc"]),
    "part of a chunk": (
        408,
        [_POST + b"Transfer-Encoding: chunked\r\n\r\n", b"3\r\na"],
    ),
}


@pytest.mark.parametrize("name", _SLOW_REQUESTS)
async def test_slow_sender_times_out_without_delaying_others(name):
    status, parts = _SLOW_REQUESTS[name]
    async with _front(
        head_timeout_s=0.05, body_window_s=0.05, linger_timeout_s=0.05
    ) as (server, _):
        slow = asyncio.create_task(_send_and_read(server, *parts))
        await asyncio.sleep(0.01)
        other = await _send_and_read(
            server, _GET[:-2] + b"Connection: close\r\n\r\n"
        )
        assert _status(other) == 200
        answer = await slow
        assert _status(answer[answer.rindex(b"HTTP/1.1") :]) == status


async def test_idle_connection_closes_without_an_answer():
    async with _front(idle_timeout_s=0.05) as (server, _):
        answer = await _send_and_read(server, _GET)
        assert answer.count(b"HTTP/1.1 ") == 1


async def test_caller_that_reads_nothing_is_disconnected():
    async with _front(write_timeout_s=0.1) as (server, _):
        big = _POST + b"Content-Length: 1000000\r\n\r\n" + b"x" * 1_000_000
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port, limit=1024
        )
        writer.write(big * 20)
        await _until(lambda: server.connection_count)
        await _until(lambda: not server.connection_count)
        writer.close()
        reader.feed_eof()


_VALID_REQUESTS = {
    "one": ([_GET], [b"/ok:"]),
    "byte by byte": ([bytes([n]) for n in _GET], [b"/ok:"]),
    "empty lines before": ([b"\r\n\r\n" + _GET], [b"/ok:"]),
    "body": ([_POST + b"Content-Length: 3\r\n\r\nabc"], [b"/ok:abc"]),
    "chunks": (
        [
            _POST + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n",
            b"X-T: 1\r\n\r\n",
        ],
        [b"/ok:abcde"],
    ),
    "pipelined": (
        [_GET + _GET.replace(b"ok", b"ok?2") + _GET.replace(b"ok", b"ok?3")],
        [b"/ok:", b"/ok?2:", b"/ok?3:"],
    ),
    "pipelined after a body": (
        [
            _POST + b"Content-Length: 3\r\n\r\nabc" + _GET[:10],
            _GET[10:] + _GET,
        ],
        [b"/ok:abc", b"/ok:", b"/ok:"],
    ),
    "pipelined after chunks": (
        [
            _POST
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
            + _GET
        ],
        [b"/ok:a", b"/ok:"],
    ),
    "absolute target": (
        [b"GET http://b/ok?x HTTP/1.1\r\nHost: a\r\n\r\n"],
        [b"/ok?x:"],
    ),
}


@pytest.mark.parametrize("name", _VALID_REQUESTS)
async def test_requests_are_answered_in_their_order(name):
    parts, bodies = _VALID_REQUESTS[name]
    async with _front() as (server, _):
        answer = await _send_and_read(server, *parts, _LAST_REQUEST)
        expected = b"".join(
            b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: %d\r\n\r\n%b"
            % (len(item), item)
            for item in bodies
        )
        assert answer.startswith(expected)
        assert answer[len(expected) :].endswith(b"close\r\n\r\n/ok?last:")
        assert answer.count(b"HTTP/1.1 ") == len(bodies) + 1


_ANSWERS = {
    "HEAD": (
        b"HEAD /ok HTTP/1.1\r\nHost: a\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n\r\n",
    ),
    "204": (
        b"GET /empty HTTP/1.1\r\nHost: a\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ),
    "chunks": (
        b"GET /chunks HTTP/1.1\r\nHost: a\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\n12\r\n3\r\n345\r\n0\r\n\r\n",
    ),
    "HTTP/1.0 closes": (
        b"GET /ok HTTP/1.0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n"
        b"Connection: close\r\n\r\n/ok:",
    ),
    "HTTP/1.0 without length": (
        b"GET /chunks HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345",
    ),
    "HTTP/1.0 kept alive": (
        b"GET /ok HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n"
        b"Connection: keep-alive\r\n\r\n/ok:",
    ),
    "last request": (
        _GET[:-2] + b"Connection: close\r\n\r\n" + _GET,
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n"
        b"Connection: close\r\n\r\n/ok:",
    ),
    "upgrade is not taken up": (
        _GET[:-2] + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\nxyz",
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n"
        b"Connection: close\r\n\r\n/ok:",
    ),
    "expectation": (
        _POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n"
        b"Content-Length: 6\r\n\r\n/ok:ab",
    ),
    "expectation refused": (
        b"POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n",
        b"HTTP/1.1 413 Request Entity Too Large\r\nContent-Length: 0\r\n"
        b"Connection: close\r\n\r\n",
    ),
}


@pytest.mark.parametrize("name", _ANSWERS)
async def test_answer_framing_suits_the_request(name):
    request, expected = _ANSWERS[name]
    async with _front(idle_timeout_s=0.1, linger_timeout_s=0.1) as (server, _):
        later = [b"ab"] if b"Expect" in request else []
        answer = await _send_and_read(server, request, *later)
        assert answer == expected


@pytest.mark.parametrize("path", [b"short", b"cut"])
async def test_broken_answer_never_looks_whole(path):
    async with _front() as (server, _):
        request = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n" % path
        answer = await _send_and_read(server, request + _GET)
        assert not answer.endswith(b"0\r\n\r\n")
        assert answer.count(b"HTTP/1.1 ") <= 1


@pytest.mark.parametrize("path", [b"fault", b"silent", b"inject"])
async def test_failed_handler_gives_500(path):
    async with _front(linger_timeout_s=0.1) as (server, _):
        request = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n" % path
        answer = await _send_and_read(server, request)
        assert _status(answer) == 500
        assert b"Magnoliacrank-Verdict: may-have-run\r\n" in answer


async def test_caller_disconnect_is_reported_to_the_handler():
    async with _front() as (server, handler):
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        await _until(lambda: handler.targets)
        writer.close()
        await asyncio.wait_for(handler.gone.wait(), 5)


async def test_body_cut_short_is_a_failure():
    async with _front() as (server, handler):
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_POST + b"Content-Length: 5\r\n\r\nabc")
        await _until(lambda: handler.targets)
        writer.close()
        await _until(lambda: handler.failures)
        assert handler.failures == [body.CALLER_GONE]


async def test_too_many_connections_are_refused():
    async with _front(max_connections=1, linger_timeout_s=0.1) as (server, _):
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await _until(lambda: server.connection_count)
        answer = await _send_and_read(server, _GET)
        assert _status(answer) == 503
        assert b"Magnoliacrank-Reason: overloaded\r\n" in answer
        writer.close()


async def test_close_lets_a_request_in_flight_finish():
    async with _front() as (server, handler):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_POST + b"Content-Length: 3\r\n\r\na")
        await _until(lambda: handler.targets)
        closing = asyncio.create_task(server.close(5.0))
        await asyncio.sleep(0.01)
        writer.write(b"bc")
        answer = await reader.read()
        assert answer.endswith(b"Connection: close\r\n\r\n/ok:abc")
        writer.close()
        await closing
        assert server.connection_count == 0


async def test_closing_connection_is_aborted_if_its_caller_does_not_read():
    """A connection that waits for a caller forever would hold its memory."""
    limits = front_limits.FrontLimits(linger_timeout_s=0.2)
    front = front_server.FrontServer(Echo(), limits)
    await front.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection("127.0.0.1", front.port)
    await _until(lambda: front.connection_count == 1)
    (connection,) = front._connections
    connection.send(b"x" * (32 << 20))
    connection.close()
    await _until(lambda: front.connection_count == 0)
    writer.close()
    await front.close(0.1)


class Flood:
    """Answers with small parts without end."""

    def __init__(self):
        self.written = 0

    async def on_request(self, exchange):
        exchange.start_answer(200, [])
        while not exchange.is_caller_gone:
            await exchange.write(b"x" * 1024)
            self.written += 1


async def test_write_waits_until_the_whole_part_is_passed_on():
    """Guards against unread bytes of many connections that nobody counts."""
    flood = Flood()
    front = front_server.FrontServer(flood, front_limits.FrontLimits())
    await front.start("127.0.0.1", 0)
    _, writer = await asyncio.open_connection(
        "127.0.0.1", front.port, limit=1024
    )
    writer.write(_GET)
    before = -1
    while before != flood.written:
        before = flood.written
        await asyncio.sleep(0.1)
    (connection,) = front._connections
    assert flood.written > 0
    assert 0 < connection.transport.get_write_buffer_size() < 2048
    writer.close()
    await front.close(0.1)
