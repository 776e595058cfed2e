"""gRPC channel to one entry instance, addressed by IP address and port."""

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
"""Size limit of one gRPC message between two instances, in bytes."""

_KEEPALIVE_MS = 20_000
_KEEPALIVE_TIMEOUT_MS = 3_000
_MIN_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 2_000
_MIN_REPLACEMENT_INTERVAL_S = 0.2
_MAX_REPLACEMENT_INTERVAL_S = 5.0

_OPTIONS = (
    # Subchannels are shared between channels by default. A replacement channel
    # must open a new connection instead of reusing the silent one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    # Bandwidth does not limit these connections, so probing is needless.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", _KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", _KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", _MIN_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", _MIN_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", _MAX_BACKOFF_MS),
)

_FAILURE_BY_STATUS = {
    grpc.StatusCode.UNAVAILABLE: errors.CallFailure.UNREACHABLE,
    grpc.StatusCode.CANCELLED: errors.CallFailure.UNREACHABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: errors.CallFailure.TIMEOUT,
    grpc.StatusCode.FAILED_PRECONDITION: errors.CallFailure.WRONG_RECIPIENT,
}


class PeerChannel:
    """Channel to one address that reconnects after a call times out.

    A timeout may mean that something on the network path has dropped the
    state of the connection. The channel is therefore closed, and the next call
    opens a new connection. While calls keep timing out, the interval between
    replacements doubles up to a limit.
    """

    def __init__(
        self, host: str, port: int, clock: Callable[[], float]
    ) -> None:
        """Creates a channel that connects at the first call.

        Args:
            host: Numeric IPv4 or IPv6 address.
            port: TCP port.
            clock: Returns monotonic time in seconds.
        """
        self._target = f"ipv4:{host}:{port}"
        if ":" in host:
            self._target = f"ipv6:[{host}]:{port}"
        self._clock = clock
        self._channel: aio.Channel | None = None
        self._stub: Any = None
        self._next_replacement_s = clock()
        self._replacement_interval_s = _MIN_REPLACEMENT_INTERVAL_S
        self._close_tasks: set[asyncio.Task[None]] = set()
        self.last_call_s = clock()
        """Monotonic time in seconds of the last call, or else of creation."""

    async def call(self, method: str, request: Any, timeout_s: float) -> Any:
        """Makes one call and returns the response message.

        Args:
            method: Name of the method of the gRPC service `Peer`.
            request: Request message, or an iterator of them for a streaming
                method.
            timeout_s: Deadline of the call, in seconds from now.

        Raises:
            PeerCallError: The call failed or timed out.
        """
        self.last_call_s = self._clock()
        stub = self._open_stub()
        try:
            answer = await getattr(stub, method)(request, timeout=timeout_s)
        except aio.AioRpcError as error:
            raise self._to_error(error) from None
        except aio.UsageError:
            # The channel was closed for replacement while the call waited.
            raise errors.PeerCallError(
                errors.CallFailure.UNREACHABLE, "channel closed"
            ) from None
        self._replacement_interval_s = _MIN_REPLACEMENT_INTERVAL_S
        return answer

    async def close(self) -> None:
        """Closes the connection; calls in flight fail."""
        self._discard_channel()
        if self._close_tasks:
            await asyncio.gather(*self._close_tasks)

    def _open_stub(self) -> Any:
        if self._channel is None:
            self._channel = aio.insecure_channel(self._target, _OPTIONS)
            self._stub = peer_pb2_grpc.PeerStub(self._channel)  # type: ignore[no-untyped-call]
        return self._stub

    def _to_error(self, error: aio.AioRpcError) -> errors.PeerCallError:
        failure = _FAILURE_BY_STATUS.get(
            error.code(), errors.CallFailure.REFUSED
        )
        if failure is errors.CallFailure.TIMEOUT:
            self._replace_channel()
        return errors.PeerCallError(failure, error.details() or "")

    def _replace_channel(self) -> None:
        now_s = self._clock()
        if now_s < self._next_replacement_s:
            return
        self._next_replacement_s = now_s + self._replacement_interval_s
        self._replacement_interval_s = min(
            2 * self._replacement_interval_s, _MAX_REPLACEMENT_INTERVAL_S
        )
        self._discard_channel()

    def _discard_channel(self) -> None:
        channel = self._channel
        self._channel = None
        self._stub = None
        if channel is None:
            return
        task = asyncio.ensure_future(channel.close(None))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)
