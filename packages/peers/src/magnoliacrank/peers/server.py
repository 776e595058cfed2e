"""gRPC server for the other entry instances."""

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
    # Two processes shall not share one port by accident.
    ("grpc.so_reuseport", 0),
    # Bandwidth is not what these connections are short of.
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
    """Who sent a message."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Life of the process behind the name."""


def _to_sender(identity: peer_pb2.Identity) -> PeerSender:
    return PeerSender(
        ids.InstanceId(identity.instance_id),
        ids.Incarnation(identity.incarnation),
    )


@attrs.define
class PeerHandlers:
    """What a server does with each kind of call; None refuses it."""

    exchange: (
        Callable[[PeerSender, peer_pb2.Packet], peer_pb2.Packet] | None
    ) = None
    """Takes heartbeats and returns the answers."""

    deliver: (
        Callable[[PeerSender, list[peer_pb2.Payload]], list[peer_pb2.Payload]]
        | None
    ) = None
    """Takes payloads and returns those for the response."""

    records: (
        Callable[[peer_pb2.RecordsRequest], Awaitable[peer_pb2.RecordsResponse]]
        | None
    ) = None
    """Returns log records from an offset on."""

    hand_over: Callable[[PeerSender, peer_pb2.Payload], bool] | None = None
    """Takes one payload of a hand-over; returns whether it was accepted."""


class PeerServer:
    """Answers the calls of other instances."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        host: str,
        port: int,
        handlers: PeerHandlers,
    ) -> None:
        self._host = host
        self._port = port
        self._servicer = _Servicer(instance_id, handlers)
        self._server: aio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port; the bound one after `start` where 0 was asked for."""
        return self._port

    async def start(self) -> None:
        """Binds the port and begins to answer.

        Raises:
            PeerBindError: The port is in use or not ours.
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
            del server  # The error's traceback must not keep it alive.
            raise errors.PeerBindError(self._host, self._port)
        self._port = bound
        await server.start()
        self._server = server
        logging.info("peers: listening on %s:%d.", self._host, self._port)

    async def close(self, grace_s: float | None = None) -> None:
        """Stops answering.

        Args:
            grace_s: Seconds that calls in flight have to end; None cancels
                them at once.
        """
        if self._server is not None:
            await self._server.stop(grace_s)
            self._server = None


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Checks the recipient of each call and passes it to its handler."""

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
        """Answers heartbeats."""
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
        """Takes payloads."""
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
        """Answers log records."""
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
        """Takes the payloads of a hand-over."""
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
