"""Forwarder: sends a request to another entry instance, for a single hop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import framing
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool
from magnoliacrank.model import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import answer
    from magnoliacrank.gateway import body
    from magnoliacrank.gateway import exchange_failure
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance

_MAX_CONNECTIONS = 64
_MS_PER_S = 1000.0
_HOST = "Host"
_IS_DELEGATED = "1"
_REPLACED = frozenset(
    name.lower()
    for name in (headers.DEADLINE_MS, headers.FORWARDED_BY, headers.DELEGATED)
)
_Address = tuple[str, int]


class Forwarder:
    """Forwards requests over pooled connections to other entry instances.

    Args:
        own_id: Name of this instance.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self, own_id: ids.InstanceId, clock: Callable[[], float]
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._pools: dict[_Address, server_pool.ServerPool] = {}

    async def send(
        self,
        exchange: inbound_exchange.InboundExchange,
        peer: instance.EntryInstance,
        content: bytes | body.BodySource,
        deadline_s: float,
        *,
        is_delegated: bool = False,
    ) -> answer.Answer | exchange_failure.ExchangeFailure:
        """Forwards a request and waits for the head of the answer.

        Args:
            exchange: HTTP exchange with the caller.
            peer: Instance that the request is forwarded to.
            content: Body of the request, or a source to read it from.
            deadline_s: Deadline on the monotonic clock, in seconds.
            is_delegated: Whether this instance owns the request's idempotency
                key and asks the other one for the key's only dispatch.

        Returns:
            The answer, to be released by the caller of this method, or the
            failure of the exchange.
        """
        pool = self._pool_of(peer)
        head = self._head(exchange, pool, deadline_s, is_delegated=is_delegated)
        return await pool.exchange(
            head, content, deadline_s, needs_live=is_delegated
        )

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
        *,
        is_delegated: bool,
    ) -> outbound_head.OutboundHead:
        fields = [
            pair
            for pair in framing.end_to_end(exchange.headers)
            if pair[0].lower() not in _REPLACED
        ]
        if _HOST not in exchange.headers:
            fields.append((_HOST, pool.authority))
        left_ms = max(1, int((deadline_s - self._clock()) * _MS_PER_S))
        fields.append((headers.DEADLINE_MS, str(left_ms)))
        fields.append((headers.FORWARDED_BY, self._own_id))
        if is_delegated:
            fields.append((headers.DELEGATED, _IS_DELEGATED))
        return outbound_head.OutboundHead(
            method=exchange.method, target=exchange.target, headers=fields
        )

    def _pool_of(self, peer: instance.EntryInstance) -> server_pool.ServerPool:
        address = (peer.host, peer.http_port)
        pool = self._pools.get(address)
        if pool is None:
            pool = server_pool.ServerPool(
                peer.host,
                peer.http_port,
                pool_limits.PoolLimits(max_connections=_MAX_CONNECTIONS),
            )
            self._pools[address] = pool
            pool.open()
        return pool
