"""EntryProcess: starts and stops the components of one entry instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.cli import entry_parts
from magnoliacrank.cli import starting_handler
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.gateway import instance_status
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.peers import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.cli import settings

_PEER_SHUTDOWN_GRACE_S = 1.0


class EntryProcess:
    """One entry instance with its two listening ports.

    Args:
        options: Settings of the instance.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        options: settings.Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._options = options
        self._clock = clock
        self._peer_handlers = server.PeerHandlers()
        self._peer_server = server.PeerServer(
            options.instance_id,
            options.host,
            options.peer_port,
            self._peer_handlers,
        )
        self._handler = starting_handler.StartingHandler()
        self._front = front_server.FrontServer(
            self._handler, front_limits.FrontLimits()
        )
        self._components: entry_parts.EntryParts | None = None
        self._is_closed = False

    @property
    def components(self) -> entry_parts.EntryParts:
        """Components of the instance; available once `start` has built them."""
        assert self._components is not None
        return self._components

    @property
    def own(self) -> instance.EntryInstance:
        """This instance, with the ports on which it listens."""
        return self.components.own

    async def start(self) -> None:
        """Binds both ports, then starts all components.

        Requests that arrive before all components run are refused as not
        ready.

        Raises:
            OSError: The HTTP port can't be bound.
            errors.PeerBindError: The port for other instances can't be bound.
        """
        await self._peer_server.start()
        try:
            await self._front.start(self._options.host, self._options.http_port)
        except OSError:
            await self._peer_server.close()
            raise
        own = instance.EntryInstance(
            instance_id=self._options.instance_id,
            data_centre=self._options.data_centre,
            host=self._options.host,
            http_port=self._front.port,
            peer_port=self._peer_server.port,
            incarnation=ids.Incarnation(time.time_ns()),
        )
        components = entry_parts.assemble(self._options, own, self._clock)
        self._components = components
        self._peer_handlers.exchange = components.membership.on_exchange
        self._peer_handlers.deliver = components.messages.on_delivery
        self._peer_handlers.hand_over = components.key_transfers.on_hand_over
        self._peer_handlers.records = components.relay.on_request
        for part in components.in_start_order:
            await part.start()
        components.status.phase = instance_status.Phase.SERVING
        self._handler.target = components.handler
        logging.info(
            "serve: %s listens on %s:%d.",
            own.instance_id,
            own.host,
            own.http_port,
        )

    async def leave(self) -> None:
        """Announces that the instance is leaving, then waits `entry_ttl_s`.

        Callers may cache an answer that names this instance for that long, so
        requests are still served meanwhile.
        """
        self.components.status.phase = instance_status.Phase.LEAVING
        self.components.membership.leave()
        self.components.announcements.leave()
        logging.info(
            "serve: Leaving; callers are no longer directed to this instance."
        )
        await asyncio.sleep(self._options.entry_ttl_s)

    async def close(self, grace_s: float) -> None:
        """Finishes the requests in flight, then closes all components.

        Idempotency keys are handed over to other instances in between. Further
        calls do nothing.

        Args:
            grace_s: Longest time for the requests in flight, in seconds.
        """
        if self._is_closed:
            return
        self._is_closed = True
        await self._front.close(grace_s)
        if self._components is not None:
            await self._components.key_transfers.hand_over()
            for part in reversed(self._components.in_start_order):
                await part.close()
        await self._peer_server.close(_PEER_SHUTDOWN_GRACE_S)
        logging.info("serve: Closed.")
