"""One gRPC channel to one instance, pinned to its numeric address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import grpc
from grpc import aio

from magnoliacrank.peers import errors
from magnoliacrank.peers.wire import peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest message between two instances, in bytes."""

_KEEPALIVE_MS = 20_000
_KEEPALIVE_TIMEOUT_MS = 3_000
_FIRST_BACKOFF_MS = 200
_LAST_BACKOFF_MS = 2_000
_FIRST_REPLACEMENT_S = 0.2
_LAST_REPLACEMENT_S = 5.0

_OPTIONS = (
    # A replaced channel shall open a connection of its own.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    # Bandwidth is not what these connections are short of.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", _KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", _KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", _FIRST_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", _FIRST_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", _LAST_BACKOFF_MS),
)

_FAILURES = {
    grpc.StatusCode.UNAVAILABLE: errors.CallFailure.UNREACHABLE,
    grpc.StatusCode.CANCELLED: errors.CallFailure.UNREACHABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: errors.CallFailure.TIMEOUT,
    grpc.StatusCode.FAILED_PRECONDITION: errors.CallFailure.WRONG_RECIPIENT,
}


class PeerChannel:
    """Channel to one address; replaced when it goes silent.

    A call that times out may have met a connection that something between
    the two ends has lost. So the next call opens a new one, at intervals that
    double up to a limit while calls keep timing out.
    """

    def __init__(
        self, host: str, port: int, clock: Callable[[], float]
    ) -> None:
        self._target = f"ipv4:{host}:{port}"
        if ":" in host:
            self._target = f"ipv6:[{host}]:{port}"
        self._clock = clock
        self._channel: aio.Channel | None = None
        self._stub: Any = None
        self._replace_after_s = clock()
        self._replacement_s = _FIRST_REPLACEMENT_S
        self._closing: set[asyncio.Task[None]] = set()
        self.used_s = clock()
        """Monotonic time in seconds of the last call."""

    async def call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Returns the answer to one call.

        Args:
            method: Name of the method of the service.
            request: Message, or an iterator of messages for a stream.
            timeout_s: Deadline of the call in seconds from now.

        Raises:
            PeerCallError: There is no answer.
        """
        self.used_s = self._clock()
        stub = self._open()
        try:
            answer = await getattr(stub, method)(request, timeout=timeout_s)
        except aio.AioRpcError as error:
            raise self._to_error(error) from None
        except aio.UsageError:
            # The channel was replaced while the call waited.
            raise errors.PeerCallError(
                errors.CallFailure.UNREACHABLE, "channel closed"
            ) from None
        self._replacement_s = _FIRST_REPLACEMENT_S
        return answer

    async def close(self) -> None:
        """Closes the connection; calls in flight fail."""
        self._drop()
        if self._closing:
            await asyncio.gather(*self._closing)

    def _open(self) -> Any:
        if self._channel is None:
            self._channel = aio.insecure_channel(self._target, _OPTIONS)
            self._stub = peer_pb2_grpc.PeerStub(self._channel)  # type: ignore[no-untyped-call]
        return self._stub

    def _to_error(self, error: aio.AioRpcError) -> errors.PeerCallError:
        failure = _FAILURES.get(error.code(), errors.CallFailure.REFUSED)
        if failure is errors.CallFailure.TIMEOUT:
            self._replace()
        return errors.PeerCallError(failure, error.details() or "")

    def _replace(self) -> None:
        now_s = self._clock()
        if now_s < self._replace_after_s:
            return
        self._replace_after_s = now_s + self._replacement_s
        self._replacement_s = min(2 * self._replacement_s, _LAST_REPLACEMENT_S)
        self._drop()

    def _drop(self) -> None:
        channel = self._channel
        self._channel = None
        self._stub = None
        if channel is None:
            return
        task = asyncio.ensure_future(channel.close(None))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
