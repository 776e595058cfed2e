"""Forwarder: passes a request on to another entry instance, one hop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool
from magnoliacrank.model import headers
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import body
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance

_MAX_CONNECTIONS = 64
_MS_PER_S = 1000.0
_REPLACED = frozenset(
    {headers.DEADLINE_MS.lower(), headers.FORWARDED_BY.lower()}
)
_Address = tuple[str, int]


class Forwarder:
    """Keeps connections to other entry instances.

    Args:
        own_id: Name of this instance.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, own_id: ids.InstanceId, clock: Callable[[], float]
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._pools: dict[_Address, server_pool.ServerPool] = {}

    async def forward(
        self,
        exchange: inbound_exchange.InboundExchange,
        peer: instance.EntryInstance,
        content: bytes | body.BodySource,
        deadline_s: float,
    ) -> verdict.Verdict | None:
        """Passes a request on and its answer back, verdict included.

        Args:
            exchange: The caller's side.
            peer: The instance that shall carry the request.
            content: Body, or where to read it from.
            deadline_s: Monotonic time in seconds.

        Returns:
            None when an answer went to the caller, else the verdict.
        """
        pool = await self._pool_of(peer)
        received = await pool.exchange(
            self._head(exchange, pool, deadline_s), content, deadline_s
        )
        if isinstance(received, exchange_failure.ExchangeFailure):
            return received.verdict
        fields = framing.end_to_end(received.headers)
        exchange.start_answer(received.status, fields, received.length)
        try:
            while True:
                chunk = await received.read_chunk()
                if isinstance(chunk, exchange_failure.ExchangeFailure):
                    exchange.abort()
                    return None
                if not chunk:
                    break
                await exchange.write(chunk)
        finally:
            received.release()
        await exchange.finish()
        return None

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()

    def _head(
        self,
        exchange: inbound_exchange.InboundExchange,
        pool: server_pool.ServerPool,
        deadline_s: float,
    ) -> outbound_head.OutboundHead:
        fields = [
            pair
            for pair in framing.end_to_end(exchange.headers)
            if pair[0].lower() not in _REPLACED
        ]
        if "Host" not in exchange.headers:
            fields.append(("Host", pool.authority))
        left_ms = max(1, int((deadline_s - self._clock()) * _MS_PER_S))
        fields.append((headers.DEADLINE_MS, str(left_ms)))
        fields.append((headers.FORWARDED_BY, self._own_id))
        return outbound_head.OutboundHead(
            method=exchange.method, target=exchange.target, headers=fields
        )

    async def _pool_of(
        self, peer: instance.EntryInstance
    ) -> server_pool.ServerPool:
        address = (peer.host, peer.http_port)
        pool = self._pools.get(address)
        if pool is None:
            pool = server_pool.ServerPool(
                peer.host,
                peer.http_port,
                pool_limits.PoolLimits(max_connections=_MAX_CONNECTIONS),
            )
            self._pools[address] = pool
            await pool.start()
        return pool
