"""Tests of answers that look complete or successful and are not."""

import asyncio
import contextlib
import socket
import struct
import threading

import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import event_loop
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
ATTEMPTS = 60
"""Whether the reset and the answer are seen together depends on timing."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingServer:
    """Answers with a part of a body, then ends the connection.

    It runs in a thread, so that the reset arrives while the client writes.
    """

    def __init__(self, answer, *, is_orderly=False):
        self._answer = answer
        self._is_orderly = is_orderly
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def port(self):
        return self._listener.getsockname()[1]

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(ConnectionError):
                    self._serve(connection)

    def _serve(self, connection):
        connection.recv(2000)
        connection.sendall(self._answer)
        if self._is_orderly:
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                continue
        else:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


async def _upload(server, size):
    link = backend_link.BackendLink("127.0.0.1", server.port)
    head = outbound_head.OutboundHead("POST", "/", [("Host", "h")])
    request = backend_link.OutboundRequest(
        head, b"x" * size, "r1", is_idempotent=False
    )
    try:
        return await link.exchange(request, 5.0)
    finally:
        link.close()


async def _upload_often(server, size):
    return [await _upload(server, size) for _ in range(ATTEMPTS)]


def _run(coroutine):
    """Runs a coroutine on the event loop that instances use."""
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        return runner.run(coroutine)


@pytest.mark.parametrize("size", [20_000, 300_000, 4_000_000])
def test_answer_without_length_whose_connection_was_reset_is_truncated(size):
    """Guards against a part of an early answer that counts as complete.

    libuv reports a reset that arrives together with data as an orderly close.
    """
    server = ResettingServer(HEAD + b"\r\n" + b"part" * 100)
    found = _run(_upload_often(server, size))
    server.close()
    kinds = {getattr(result, "kind", "answered") for result in found}
    assert kinds <= {
        exchange_failure.FailureKind.TRUNCATED,
        exchange_failure.FailureKind.CONNECTION_LOST,
    }


@pytest.mark.parametrize("size", [0, 20_000, 300_000])
def test_answer_without_length_may_end_with_an_orderly_close(size):
    server = ResettingServer(HEAD + b"\r\nwhole", is_orderly=True)
    found = _run(_upload(server, size))
    server.close()
    assert isinstance(found, backend_link.WholeAnswer)
    assert found.content == b"whole"


@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "999"])
def test_status_that_http_does_not_define_is_no_answer(status):
    """Guards against the status 000 of a server that fails."""
    answer = HEAD.replace(b"200", status.encode())
    server = ResettingServer(
        answer + b"Content-Length: 2\r\n\r\nok", is_orderly=True
    )
    found = _run(_upload(server, 0))
    server.close()
    assert isinstance(found, exchange_failure.ExchangeFailure)
    assert found.kind is exchange_failure.FailureKind.MALFORMED
