"""gRPC server for calls from other entry instances."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

from absl import logging
import attrs
import grpc
from grpc import aio

from magnoliacrank.model import ids
from magnoliacrank.peers import channel
from magnoliacrank.peers import errors
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.peers.wire import peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_MAX_CONCURRENT_STREAMS = 64
_MIN_PING_INTERVAL_MS = 10_000

_OPTIONS = (
    # Without this, two processes could share one port by accident.
    ("grpc.so_reuseport", 0),
    # Bandwidth does not limit these connections, so probing is needless.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", channel.MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", channel.MAX_MESSAGE_BYTES),
    ("grpc.max_concurrent_streams", _MAX_CONCURRENT_STREAMS),
    (
        "grpc.http2.min_recv_ping_interval_without_data_ms",
        _MIN_PING_INTERVAL_MS,
    ),
)


@attrs.frozen
class PeerSender:
    """Instance that sent a message, as stated in the message."""

    instance_id: ids.InstanceId
    """Name of the sending instance."""

    incarnation: ids.Incarnation
    """Incarnation: identifies one run of the instance's process."""


def _to_sender(identity: peer_pb2.Identity) -> PeerSender:
    return PeerSender(
        ids.InstanceId(identity.instance_id),
        ids.Incarnation(identity.incarnation),
    )


@attrs.define
class PeerHandlers:
    """Handlers by kind of call; a call without a handler is refused."""

    exchange: (
        Callable[[PeerSender, peer_pb2.Packet], peer_pb2.Packet] | None
    ) = None
    """Handles heartbeats and returns the packet in response."""

    deliver: (
        Callable[[PeerSender, list[peer_pb2.Payload]], list[peer_pb2.Payload]]
        | None
    ) = None
    """Handles messages and returns those for the response."""

    records: (
        Callable[[peer_pb2.RecordsRequest], Awaitable[peer_pb2.RecordsResponse]]
        | None
    ) = None
    """Returns log records from an offset on, or a snapshot."""

    hand_over: Callable[[PeerSender, peer_pb2.Payload], bool] | None = None
    """Handles one handed-over item; returns whether it is accepted."""


class PeerServer:
    """Listens for calls of other instances and dispatches them."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        host: str,
        port: int,
        handlers: PeerHandlers,
    ) -> None:
        """Creates a server that does not listen until `start`.

        Args:
            instance_id: Name of this instance; calls to another are refused.
            host: Numeric IP address to bind.
            port: TCP port to bind; 0 lets the system choose one.
            handlers: Handlers of the calls; may be filled in later.
        """
        self._host = host
        self._port = port
        self._servicer = _Servicer(instance_id, handlers)
        self._server: aio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port; after `start` the bound one, also if 0 was requested."""
        return self._port

    async def start(self) -> None:
        """Binds the port and starts to accept calls.

        Raises:
            PeerBindError: The port is in use, or the address or port is not
                available to this process.
        """
        server = aio.server(options=_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self._servicer, server)  # type: ignore[no-untyped-call]
        host = f"[{self._host}]" if ":" in self._host else self._host
        try:
            bound = server.add_insecure_port(f"{host}:{self._port}")
        except RuntimeError:
            bound = 0
        if not bound:
            await server.stop(None)
            del server  # Else the error's traceback would keep it alive.
            raise errors.PeerBindError(self._host, self._port)
        self._port = bound
        await server.start()
        self._server = server
        logging.info("peers: listening on %s:%d.", self._host, self._port)

    async def close(self, grace_s: float | None = None) -> None:
        """Stops accepting calls.

        Args:
            grace_s: Seconds for calls in flight to finish before they are
                cancelled; None cancels them at once.
        """
        if self._server is not None:
            await self._server.stop(grace_s)
            self._server = None


class _Servicer(peer_pb2_grpc.PeerServicer):
    """gRPC service that dispatches calls meant for this instance."""

    def __init__(
        self, instance_id: ids.InstanceId, handlers: PeerHandlers
    ) -> None:
        self._instance_id = instance_id
        self._handlers = handlers

    async def Exchange(  # noqa: N802
        self,
        request: peer_pb2.Packet,
        context: aio.ServicerContext[peer_pb2.Packet, peer_pb2.Packet],
    ) -> peer_pb2.Packet:
        """Handles a packet of heartbeats."""
        await self._check_recipient(request.recipient, context)
        handler = self._handlers.exchange
        if handler is None:
            return await _refuse(context)
        return handler(_to_sender(request.sender), request)

    async def Deliver(  # noqa: N802
        self,
        request: peer_pb2.Delivery,
        context: aio.ServicerContext[peer_pb2.Delivery, peer_pb2.Delivery],
    ) -> peer_pb2.Delivery:
        """Handles a batch of messages."""
        await self._check_recipient(request.recipient, context)
        handler = self._handlers.deliver
        if handler is None:
            return await _refuse(context)
        payloads = handler(_to_sender(request.sender), list(request.payloads))
        return peer_pb2.Delivery(payloads=payloads)

    async def Records(  # noqa: N802
        self,
        request: peer_pb2.RecordsRequest,
        context: aio.ServicerContext[
            peer_pb2.RecordsRequest, peer_pb2.RecordsResponse
        ],
    ) -> peer_pb2.RecordsResponse:
        """Handles a request for log records."""
        await self._check_recipient(request.recipient, context)
        handler = self._handlers.records
        if handler is None:
            return await _refuse(context)
        return await handler(request)

    async def HandOver(  # noqa: N802
        self,
        request_iterator: AsyncIterator[peer_pb2.HandOverChunk],
        context: aio.ServicerContext[
            peer_pb2.HandOverChunk, peer_pb2.HandOverResponse
        ],
    ) -> peer_pb2.HandOverResponse:
        """Handles the items that a leaving instance hands over."""
        handler = self._handlers.hand_over
        if handler is None:
            return await _refuse(context)
        accepted = 0
        async for chunk in request_iterator:
            await self._check_recipient(chunk.recipient, context)
            accepted += handler(_to_sender(chunk.sender), chunk.payload)
        return peer_pb2.HandOverResponse(accepted=accepted)

    async def _check_recipient(
        self, recipient: str, context: aio.ServicerContext[Any, Any]
    ) -> None:
        if recipient != self._instance_id:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"this is {self._instance_id}",
            )


async def _refuse(context: aio.ServicerContext[Any, Any]) -> NoReturn:
    await context.abort(grpc.StatusCode.UNIMPLEMENTED, "no handler")
    raise AssertionError("abort returned")
