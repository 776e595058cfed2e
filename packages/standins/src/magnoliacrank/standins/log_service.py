"""HTTP stand-in for the platform's log service."""

from __future__ import annotations

from aiohttp import web

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service
from magnoliacrank.platform import log_wire
from magnoliacrank.standins import memory_log

_MAX_LIMIT = 5000
_MAX_WAIT_S = 30.0
_MAX_BODY_BYTES = 16 << 20
_SHUTDOWN_TIMEOUT_S = 0.1


class LogServiceStandIn:
    """Serves streams of records that live in memory."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._host = host
        self._port = port
        self._streams: dict[str, memory_log.MemoryLog] = {}
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL for clients; complete once started."""
        return f"http://{self._host}:{self._port}"

    def stream(self, name: str) -> memory_log.MemoryLog:
        """Returns a stream, made when first named; it holds the faults."""
        return self._streams.setdefault(name, memory_log.MemoryLog())

    def use_stream(self, name: str, log: memory_log.MemoryLog) -> None:
        """Serves a given log under a stream's name."""
        self._streams[name] = log

    async def start(self) -> None:
        """Binds the port and serves; port 0 takes a free one."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        path = "/v1/streams/{name}/records"
        app.add_routes(
            [web.post(path, self._on_append), web.get(path, self._on_read)]
        )
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops serving; the records are lost with the object."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _on_append(self, request: web.Request) -> web.Response:
        try:
            body = log_wire.decode_append(await request.read())
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if not body.records:
            raise web.HTTPBadRequest(text="no records")
        log = self.stream(request.match_info["name"])
        try:
            offset = await log.append(body.records)
        except log_service.LogUnavailableError as error:
            raise web.HTTPServiceUnavailable from error
        except log_service.AppendUnknownError:
            return _dropped(request)
        return _answer(log_wire.AppendAnswer(offset))

    async def _on_read(self, request: web.Request) -> web.Response:
        try:
            offset = int(request.query.get("offset", "0"))
            limit = int(request.query.get("limit", "1000"))
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        log = self.stream(request.match_info["name"])
        try:
            page = await log.read(
                ids.LogOffset(max(offset, 0)),
                max(1, min(limit, _MAX_LIMIT)),
                min(wait_s, _MAX_WAIT_S),
            )
        except log_service.LogUnavailableError as error:
            raise web.HTTPServiceUnavailable from error
        return _answer(_read_answer(page))


def _read_answer(page: log_service.LogPage) -> log_wire.ReadAnswer:
    return log_wire.ReadAnswer(
        offset=page.next_offset - len(page.records),
        records=tuple(record.data for record in page.records),
        oldest_offset=page.oldest_offset,
        end_offset=page.end_offset,
    )


def _answer(
    body: log_wire.AppendAnswer | log_wire.ReadAnswer,
) -> web.Response:
    return web.Response(
        body=log_wire.encode(body), content_type=log_wire.CONTENT_TYPE
    )


def _dropped(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
