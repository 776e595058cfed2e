"""PlatformStore: in-memory stand-in for the platform's store, with faults.

It implements the store's published HTTP protocol for topics with one
partition, keyed or plain: append, long-polling read, and newest value of each
key. It is meant for tests.
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

_READ_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_ITEMS = 50
_DEFAULT_PAGE_KB = "1024"
_BYTES_PER_KB = 1024
_MAX_CALL_BYTES = 2 << 20
_ERA_HEADER = "Store-Era"
_OPERATOR_TOPICS = frozenset({"keyed.op", "keyed.servers"})


class Fault(enum.Enum):
    """Fault of the store."""

    NONE = "none"
    """The store works."""

    BUSY = "busy"
    """The store answers 503 and does nothing else."""

    RESET = "reset"
    """The store resets the connection and does nothing else."""

    SILENT = "silent"
    """The store does nothing and doesn't answer."""

    LOST = "lost"
    """The store carries out the call and then resets the connection."""

    LATE = "late"
    """The store resets the connection and carries out the call later; a late
    append is still refused if its expected offset doesn't match by then."""


@attrs.define
class _Topic:
    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    is_rewound: bool = False
    appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, records: Sequence[bytes]) -> int:
        start = self.end
        self.records += records
        self.notify()
        return start

    def truncate(self, end: int) -> None:
        del self.records[end:]
        self.is_rewound = True
        self.first = min(self.first, self.end)
        self.notify()

    def lacks(self, offset: int) -> bool:
        return self.is_rewound and offset > self.end

    def notify(self) -> None:
        self.appended.set()
        self.appended = asyncio.Event()

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
    """HTTP server on loopback that stands in for the platform's store.

    Args:
        port: TCP port to listen on; 0 picks a free one.

    Attributes:
        fault: Current fault of all calls; tests may change it at any time.
        append_faults: Faults of the next appends, one for each; they take
            precedence over `fault`.
        delay_s: Delay of each call in seconds.
        late_s: Seconds after which a call under `Fault.LATE` is carried out.
        calls: Number of calls received, by name: append, read or newest.
        era: Era that all answers state; None to state none.
    """

    def __init__(self, port: int = 0) -> None:
        self.fault = Fault.NONE
        self.append_faults: list[Fault] = []
        self.delay_s = 0.0
        self.late_s = 0.05
        self.calls: dict[str, int] = {}
        self.era: int | None = 1
        self._topics: dict[str, _Topic] = {}
        self._runner: web.AppRunner | None = None
        self._port = port
        self._late_calls: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Host and TCP port that clients connect to."""
        return "127.0.0.1", self._port

    @property
    def url(self) -> str:
        """Base URL for clients; valid once the store has started."""
        return f"http://127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Starts listening; a restart uses the same port as before."""
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
        """Stops listening and cancels calls under `Fault.LATE`; keeps data."""
        for task in self._late_calls:
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Sets a key as operators and backend servers do, without faults.

        Returns:
            The offset of the record.
        """
        return self._topic(topic).append([_encode_keyed(key, value)])

    def delete(self, topic: str, key: str) -> int:
        """Deletes a key by a tombstone, that is, a record with an empty value.

        Returns:
            The offset of the tombstone.
        """
        return self._topic(topic).append([_encode_keyed(key, b"")])

    def compact(self, topic: str) -> None:
        """Makes all records of a topic so far unavailable to reads.

        The newest value of each key stays available.
        """
        found = self._topic(topic)
        found.first = found.end

    def copy(self) -> dict[str, int]:
        """Returns a copy to pass to `rewind`: the end of each topic."""
        return {name: topic.end for name, topic in self._topics.items()}

    def rewind(self, copy: dict[str, int]) -> None:
        """Returns from an older copy, and raises the era.

        Offsets after the copy are given out again. Reads from an offset
        after the end get 410.

        Args:
            copy: Result of `copy`; topics that it lacks become empty.
        """
        self.era = (self.era or 0) + 1
        for name, topic in self._topics.items():
            topic.truncate(copy.get(name, 0))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key that is not deleted."""
        found = self._topic(topic).newest()
        return {key: value for key, (_, value) in found.items()}

    def history(self, topic: str) -> list[tuple[str, bytes]]:
        """Returns all records ever written to a topic, as keys with values."""
        return self._topic(topic).keyed()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _on_append(self, request: web.Request) -> web.StreamResponse:
        topic = request.query["topic"]
        records = _split_records(await request.read())

        async def write() -> web.StreamResponse:
            if topic in _OPERATOR_TOPICS:
                return web.json_response({}, status=403)
            found = self._topic(topic)
            expected = request.query.get("at")
            if expected is not None and int(expected) != found.end:
                return web.json_response({"end": found.end}, status=412)
            offset = found.append(records)
            return web.json_response({"offset": offset, "end": found.end})

        return await self._answer_with_fault(request, "append", write)

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        async def read() -> web.StreamResponse:
            found = self._topic(request.query["topic"])
            start = int(request.query["from"])
            wait_s = int(request.query.get("wait-ms", "0")) / 1000
            if start < found.first or found.lacks(start):
                return web.json_response({"first": found.first}, status=410)
            if start >= found.end and wait_s:
                appended = found.appended
                try:
                    async with asyncio.timeout(wait_s):
                        await appended.wait()
                except TimeoutError:
                    pass
            if found.lacks(start):
                return web.json_response({"first": found.first}, status=410)
            max_kb = int(request.query.get("max-kb", _DEFAULT_PAGE_KB))
            body = _READ_HEADER.pack(found.end, found.first)
            body += _encode_page(found.records[start:], max_kb * _BYTES_PER_KB)
            return web.Response(body=body)

        return await self._answer_with_fault(request, "read", read)

    async def _on_newest(self, request: web.Request) -> web.StreamResponse:
        async def newest() -> web.StreamResponse:
            found = self._topic(request.query["topic"])
            after = request.query.get("after", "")
            records = found.newest()
            keys = sorted(key for key in records if key > after)
            page = keys[:_PAGE_ITEMS]
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(records[key][1]).decode(),
                    "offset": records[key][0],
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

        return await self._answer_with_fault(request, "newest", newest)

    async def _answer_with_fault(
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
            answer = await serve()
            self._state_era(answer)
            return answer
        if fault is Fault.BUSY:
            answer = web.Response(status=503)
            self._state_era(answer)
            return answer
        if fault is Fault.SILENT:
            await asyncio.sleep(3600)
        if fault is Fault.LOST:
            await serve()
        if fault is Fault.LATE:
            task = asyncio.ensure_future(self._serve_after_delay(serve))
            self._late_calls.add(task)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def _state_era(self, answer: web.StreamResponse) -> None:
        if self.era is not None:
            answer.headers[_ERA_HEADER] = str(self.era)

    async def _serve_after_delay(
        self, serve: Callable[[], Awaitable[web.StreamResponse]]
    ) -> None:
        await asyncio.sleep(self.late_s)
        await serve()


def _encode_keyed(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes((len(name),)) + name + value


def _encode_page(records: Sequence[bytes], max_bytes: int) -> bytes:
    """Returns the first records, at least one, within a number of bytes."""
    body = b""
    for content in records:
        record = _RECORD_LENGTH.pack(len(content)) + content
        if body and len(body) + len(record) > max_bytes:
            break
        body += record
    return body


def _decode_keyed(content: bytes) -> tuple[str, bytes]:
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (size,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
