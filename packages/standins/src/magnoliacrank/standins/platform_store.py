"""PlatformStore: stand-in for the platform's store, with its failures.

Speaks the published protocol for topics with one partition, keyed or plain:
append, read with waiting, and newest. It is for tests and keeps all in memory.
"""

from __future__ import annotations

import asyncio
import base64
import enum
import struct
from typing import TYPE_CHECKING

from aiohttp import web
import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_POSITIONS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_PAGE_ITEMS = 50
_MAX_CALL_BYTES = 2 << 20
_OPERATORS_ONLY = frozenset({"keyed.op", "keyed.servers"})


class Fault(enum.Enum):
    """How the store misbehaves."""

    NONE = "none"
    """It serves."""

    BUSY = "busy"
    """It answers 503 and does nothing."""

    RESET = "reset"
    """It resets the connection and does nothing."""

    SILENT = "silent"
    """It does nothing and never answers."""

    LOST = "lost"
    """It does what is asked and resets the connection."""

    LATE = "late"
    """It resets the connection and writes later, if the condition holds."""


@attrs.define
class _Topic:
    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, records: Sequence[bytes]) -> int:
        start = self.end
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return start

    def keyed(self) -> list[tuple[str, bytes]]:
        return [_decode_keyed(content) for content in self.records]

    def newest(self) -> dict[str, tuple[int, bytes]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.keyed()):
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found


class PlatformStore:
    """The store on a loopback port, by default of its own choice.

    Attributes:
        fault: How it misbehaves from now on.
        append_faults: How it misbehaves at the next appends, one for each.
        delay_s: Time that each answer takes longer, in seconds.
        late_s: Time after which a late write has its effect, in seconds.
        calls: Calls by name.
    """

    def __init__(self, port: int = 0) -> None:
        self.fault = Fault.NONE
        self.append_faults: list[Fault] = []
        self.delay_s = 0.0
        self.late_s = 0.05
        self.calls: dict[str, int] = {}
        self._topics: dict[str, _Topic] = {}
        self._runner: web.AppRunner | None = None
        self._port = port
        self._late: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return "127.0.0.1", self._port

    @property
    def url(self) -> str:
        """Base URL for clients; complete once started."""
        return f"http://127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Begins to listen."""
        application = web.Application(client_max_size=_MAX_CALL_BYTES)
        application.router.add_post("/api/log-append", self._on_append)
        application.router.add_get("/api/log-read", self._on_read)
        application.router.add_get("/api/log-newest", self._on_newest)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening."""
        for task in self._late:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Writes as operators and backend servers do; returns the offset."""
        return self._topic(topic).append([_encode_keyed(key, value)])

    def drop(self, topic: str, key: str) -> int:
        """Drops a key; returns the offset of the record that does."""
        return self._topic(topic).append([_encode_keyed(key, b"")])

    def compact(self, topic: str) -> None:
        """Forgets the history of a topic; the newest records stay."""
        found = self._topic(topic)
        found.first = found.end

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        found = self._topic(topic).newest()
        return {key: value for key, (_, value) in found.items()}

    def history(self, topic: str) -> list[tuple[str, bytes]]:
        """Returns all records ever written to a topic."""
        return self._topic(topic).keyed()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _on_append(self, request: web.Request) -> web.StreamResponse:
        topic = request.query["topic"]
        records = _split(await request.read())

        async def write() -> web.StreamResponse:
            if topic in _OPERATORS_ONLY:
                return web.json_response({}, status=403)
            found = self._topic(topic)
            expected = request.query.get("at")
            if expected is not None and int(expected) != found.end:
                return web.json_response({"end": found.end}, status=412)
            offset = found.append(records)
            return web.json_response({"offset": offset, "end": found.end})

        return await self._misbehave(request, "append", write)

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        async def read() -> web.StreamResponse:
            found = self._topic(request.query["topic"])
            start = int(request.query["from"])
            wait_s = int(request.query.get("wait-ms", "0")) / 1000
            if start < found.first:
                return web.json_response({"first": found.first}, status=410)
            if start >= found.end and wait_s:
                appended = found.appended
                try:
                    async with asyncio.timeout(wait_s):
                        await appended.wait()
                except TimeoutError:
                    pass
            body = _POSITIONS.pack(found.end, found.first)
            for content in found.records[start:]:
                body += _LENGTH.pack(len(content)) + content
            return web.Response(body=body)

        return await self._misbehave(request, "read", read)

    async def _on_newest(self, request: web.Request) -> web.StreamResponse:
        async def newest() -> web.StreamResponse:
            found = self._topic(request.query["topic"])
            after = request.query.get("after", "")
            keys = sorted(key for key in found.newest() if key > after)
            page = keys[:_PAGE_ITEMS]
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(found.newest()[key][1]).decode(),
                    "offset": found.newest()[key][0],
                }
                for key in page
            ]
            return web.json_response(
                {
                    "items": items,
                    "has-more": len(keys) > len(page),
                    "end": found.end,
                }
            )

        return await self._misbehave(request, "newest", newest)

    async def _misbehave(
        self,
        request: web.Request,
        name: str,
        serve: Callable[[], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        fault = self.fault
        if name == "append" and self.append_faults:
            fault = self.append_faults.pop(0)
        if fault is Fault.NONE:
            return await serve()
        if fault is Fault.BUSY:
            return web.Response(status=503)
        if fault is Fault.SILENT:
            await asyncio.sleep(3600)
        if fault is Fault.LOST:
            await serve()
        if fault is Fault.LATE:
            task = asyncio.ensure_future(self._serve_late(serve))
            self._late.add(task)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def _serve_late(
        self, serve: Callable[[], Awaitable[web.StreamResponse]]
    ) -> None:
        await asyncio.sleep(self.late_s)
        await serve()


def _encode_keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes((len(name),)) + name + value


def _decode_keyed(content: bytes) -> tuple[str, bytes]:
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
