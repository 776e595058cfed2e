"""HTTP stand-in for the platform's lagging instance list."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

from aiohttp import web
import attrs
import msgspec

from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.platform import instance_list

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.model import ids

_SHUTDOWN_TIMEOUT_S = 0.1


@attrs.frozen
class _Change:
    """A listing and the time from which it was true."""

    since_s: float
    listing: instance.Listing


class MemoryInstanceList:
    """Instance list in memory whose answers lag behind the truth."""

    def __init__(
        self,
        lag_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._truth = instance.Listing()
        self._shown = instance.Listing()
        self._changes: collections.deque[_Change] = collections.deque()
        self.lag_s = lag_s
        self.is_down = False

    @property
    def truth(self) -> instance.Listing:
        """The list without its lag."""
        return self._truth

    def put_instance(self, entry: instance.EntryInstance) -> None:
        """Lists an entry instance, replacing one of the same name."""
        others = _without_instance(self._truth, entry.instance_id)
        self._set(attrs.evolve(self._truth, instances=(*others, entry)))

    def remove_instance(self, instance_id: ids.InstanceId) -> None:
        """Takes an entry instance off the list."""
        others = _without_instance(self._truth, instance_id)
        self._set(attrs.evolve(self._truth, instances=others))

    def put_server(self, entry: server.BackendServer) -> None:
        """Lists a backend server, replacing one of the same name."""
        others = _without_server(self._truth, entry.server_id)
        self._set(attrs.evolve(self._truth, servers=(*others, entry)))

    def remove_server(self, server_id: ids.ServerId) -> None:
        """Takes a backend server off the list."""
        others = _without_server(self._truth, server_id)
        self._set(attrs.evolve(self._truth, servers=others))

    async def fetch(self) -> instance.Listing:
        """See `InstanceList.fetch`."""
        if self.is_down:
            raise instance_list.InstanceListUnavailableError("list is down")
        limit_s = self._clock() - self.lag_s
        while self._changes and self._changes[0].since_s <= limit_s:
            self._shown = self._changes.popleft().listing
        return self._shown

    async def close(self) -> None:
        """See `InstanceList.close`; the list stays."""

    def _set(self, listing: instance.Listing) -> None:
        self._truth = listing
        self._changes.append(_Change(self._clock(), listing))


class InstanceListStandIn:
    """Serves a `MemoryInstanceList` by HTTP."""

    def __init__(
        self,
        listing: MemoryInstanceList,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._listing = listing
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL for clients; complete once started."""
        return f"http://{self._host}:{self._port}"

    @property
    def listing(self) -> MemoryInstanceList:
        """The list that is served."""
        return self._listing

    async def start(self) -> None:
        """Binds the port and serves; port 0 takes a free one."""
        app = web.Application()
        app.add_routes([web.get("/v1/instances", self._on_fetch)])
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops serving."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _on_fetch(self, request: web.Request) -> web.Response:
        del request
        try:
            listing = await self._listing.fetch()
        except instance_list.InstanceListUnavailableError as error:
            raise web.HTTPServiceUnavailable from error
        return web.Response(
            body=msgspec.json.encode(listing),
            content_type="application/json",
        )


def _without_instance(
    listing: instance.Listing, instance_id: ids.InstanceId
) -> tuple[instance.EntryInstance, ...]:
    return tuple(
        each for each in listing.instances if each.instance_id != instance_id
    )


def _without_server(
    listing: instance.Listing, server_id: ids.ServerId
) -> tuple[server.BackendServer, ...]:
    return tuple(
        each for each in listing.servers if each.server_id != server_id
    )
