"""ServerPools: connection pools of one service, one per backend server."""

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
    """Connection pools of one service, one per backend server.

    A pool is opened at the first use of its server, and drained when the
    server is no longer listed.

    Args:
        listener: Receives reports of silent connections from all pools and
            decides whether a probe may be sent.
    """

    def __init__(self, listener: pool_events.PoolListener) -> None:
        self._listener = listener
        self._pools: dict[ids.ServerId, server_pool.ServerPool] = {}
        self._drain_tasks: set[asyncio.Task[None]] = set()

    def get(
        self,
        listed: server.BackendServer,
        owned_slots: int,
        crew_members: int,
    ) -> server_pool.ServerPool:
        """Returns the pool of a server; opens one if there is none.

        The size of a pool is computed once, when it is opened.

        Args:
            listed: The server, with its address and its limits on
                connections and slots (requests that it runs at once).
            owned_slots: Slots of the server that this instance may use.
            crew_members: Number of entry instances that send to the server,
                the members of the service's crew.
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

    def drain_unlisted(self, listed: Collection[ids.ServerId]) -> None:
        """Drains, in the background, the pools of servers not listed.

        Args:
            listed: Servers that are still in use.
        """
        for server_id in set(self._pools) - set(listed):
            logging.info(
                "gateway: Server %s is no longer listed; draining its pool.",
                server_id,
            )
            task = asyncio.ensure_future(self._pools.pop(server_id).drain())
            self._drain_tasks.add(task)
            task.add_done_callback(self._drain_tasks.discard)

    async def close(self) -> None:
        """Closes all connections at once, those being drained included."""
        for pool in self._pools.values():
            await pool.close()
        self._pools.clear()
        for task in self._drain_tasks:
            task.cancel()
        await asyncio.gather(*self._drain_tasks, return_exceptions=True)
