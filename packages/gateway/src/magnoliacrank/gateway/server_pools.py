"""ServerPools: the connection pools of one service, one for each server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool
from magnoliacrank.policy import pool_size

if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliacrank.gateway import pool_events
    from magnoliacrank.model import ids
    from magnoliacrank.model import server


class ServerPools:
    """Opens a pool when a server is first used, drains it when it goes.

    Args:
        listener: Is told of silent connections and grants probes.
    """

    def __init__(self, listener: pool_events.PoolListener) -> None:
        self._listener = listener
        self._pools: dict[ids.ServerId, server_pool.ServerPool] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(
        self,
        listed: server.BackendServer,
        owned_slots: int,
        crew_members: int,
    ) -> server_pool.ServerPool:
        """Returns the pool of a server, opened when there is none.

        Args:
            listed: The server.
            owned_slots: Slots that this instance may use there.
            crew_members: Entry instances that send to it.
        """
        pool = self._pools.get(listed.server_id)
        if pool is None:
            size = pool_size.size_pool(
                listed.connections, listed.slots, owned_slots, crew_members
            )
            pool = server_pool.ServerPool(
                listed.host,
                listed.port,
                pool_limits.PoolLimits(max_connections=size.maximum),
                self._listener,
            )
            pool.open()
            self._pools[listed.server_id] = pool
        return pool

    def keep(self, listed: Collection[ids.ServerId]) -> None:
        """Drains the pools of servers that are no longer listed."""
        for server_id in set(self._pools) - set(listed):
            logging.info("gateway: Server %s is no longer listed.", server_id)
            task = asyncio.ensure_future(self._pools.pop(server_id).drain())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
