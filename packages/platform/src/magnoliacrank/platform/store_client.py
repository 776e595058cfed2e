"""StoreClient: client of the platform's store, which has topics of records."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import aiohttp
import attrs

from magnoliacrank.platform import _newest_page
from magnoliacrank.platform import store_records
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

OPERATOR_TOPIC = "keyed.op"
"""Topic of the records that operators write; see `operator_wire`."""

SERVERS_TOPIC = "keyed.servers"
"""Topic of the entries that backend servers write about themselves."""

STATUS_TOPIC = "keyed.status"
"""Topic of the status records that this system writes for operators."""

MEMBERS_TOPIC = "keyed.magnoliacrank"
"""Topic with the addresses of instances run by `magnoliacrank instance`."""

DUTY_TOPIC = "keyed.usage-duty"
"""Topic of the holder of the usage duty, and of the reports to send."""

ERA_HEADER = "Store-Era"
"""Response: number that rises by one when the store returns from an older
copy, which lacks the newest writes."""

INSTANCES_TOPIC = "keyed.entry-instances"
"""Topic with the announcements of instances run by `magnoliacrank serve`."""

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_MAX_PAGES = 1000

_MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is read; the store's own limits are below 2 MB."""

_PAGE_KB = 256
"""Size of a page of changes: the largest record, or the renewals of hundreds of
servers. A reader that lacks more gets it sooner as the newest records."""


class StoreFailureKind(enum.Enum):
    """Why a call to the store failed."""

    NO_ANSWER = "no-answer"
    """No complete response arrived; a write may have run or may yet run."""

    REFUSED = "refused"
    """The call was not executed."""

    EXPIRED = "expired"
    """The store no longer retains the requested records."""

    CONFLICT = "conflict"
    """The topic did not end at the expected offset; nothing was written."""

    MALFORMED = "malformed"
    """The response can't be decoded."""

    OTHER_ERA = "other-era"
    """The response is of another era of the store than the call is about. A
    write is lost, or was executed under a condition of another era."""


@attrs.frozen
class StoreFailure:
    """Failure of a call, returned in place of its result."""

    kind: StoreFailureKind
    """Why the call failed."""

    detail: str
    """Description of the failure, for log lines and error messages."""

    first_offset: int | None = None
    """Offset of the oldest record that the store retains.

    Set only if the requested records have expired and the store states it.
    """

    @property
    def may_have_run(self) -> bool:
        """Whether a write may have been executed, or may yet be executed."""
        return self.kind in (
            StoreFailureKind.NO_ANSWER,
            StoreFailureKind.MALFORMED,
            StoreFailureKind.OTHER_ERA,
        )


@attrs.frozen
class NewestRecords:
    """Result of reading the newest record of each key of a topic."""

    records: tuple[store_records.KeyedRecord, ...]
    """Newest record of each key."""

    end: int
    """Offset from which to read on without missing a later change."""

    era: int = 0
    """Era of the store that all pages state; 0 if they state none."""


@attrs.frozen
class _Answer:
    """Successful response to one call."""

    data: bytes
    """Body of the response."""

    era: int
    """Era that the response states; 0 if none was ever stated."""


class StoreClient:
    """Client of the store's HTTP interface.

    Calls return a `StoreFailure` instead of raising an exception. A response
    of an older era than the newest known one, such as a late response to a
    call that was sent before the store came back, is a failure too.

    Args:
        url: Base URL of the store, without a final slash.
    """

    def __init__(self, url: str) -> None:
        self._url = f"{url}/api/"
        self._session: aiohttp.ClientSession | None = None
        self._calls = 0
        self._era: int | None = None
        self._on_era: list[Callable[[int], None]] = []

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._calls

    @property
    def era(self) -> int | None:
        """Newest era that the store stated; None before the first answer."""
        return self._era

    def add_era_listener(self, listener: Callable[[int], None]) -> None:
        """Adds a callback for answers that state a newer era than before.

        It is also called if another instance was the first to see the era.
        """
        self._on_era.append(listener)

    def note_era(self, era: int) -> None:
        """Records an era that another instance knows of.

        Args:
            era: The era; ignored unless it is newer than the known one.
        """
        if self._era is not None and era <= self._era:
            return
        is_newer = self._era is not None
        self._era = era
        if is_newer:
            for listener in self._on_era:
                listener(era)

    async def start(self) -> None:
        """Opens the client; connections are made by the calls."""
        # Each call opens a new connection: a reused one may have broken
        # unnoticed, and aiohttp would then send a GET call a second time.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=16),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes the client and its connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> store_records.RecordPage | StoreFailure:
        """Reads one page of a topic with keys, from an offset on.

        The page may end before the topic; see `RecordPage.is_complete`.

        Args:
            topic: Name of the topic.
            start: Offset of the first record.
            wait_s: Longest time for which the store waits for a record if
                there is none yet, in seconds.
            timeout_s: Longest time for the response in addition to `wait_s`,
                in seconds.
        """
        answer = await self._read(topic, start, wait_s, timeout_s, _PAGE_KB)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return store_records.decode_keyed_page(
                answer.data, start, answer.era
            )
        except store_records.RecordFormatError as error:
            return StoreFailure(StoreFailureKind.MALFORMED, str(error))

    async def read_plain(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> store_records.PlainPage | StoreFailure:
        """Reads records of a topic without keys, from an offset on.

        Args:
            topic: Name of the topic.
            start: Offset of the first record.
            wait_s: Longest time for which the store waits for a record if
                there is none yet, in seconds.
            timeout_s: Longest time for the response in addition to `wait_s`,
                in seconds.
        """
        answer = await self._read(topic, start, wait_s, timeout_s)
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return store_records.decode_plain_page(answer.data, answer.era)
        except store_records.RecordFormatError as error:
            return StoreFailure(StoreFailureKind.MALFORMED, str(error))

    async def newest(
        self, topic: str, timeout_s: float
    ) -> NewestRecords | StoreFailure:
        """Reads the newest record of each key, page by page.

        The pages are not one consistent snapshot. The returned end is that of
        the first page: reading on from there may repeat changes that later
        pages show, but misses none.

        Args:
            topic: Name of the topic.
            timeout_s: Longest time for the response of each page, in seconds.
        """
        records: list[store_records.KeyedRecord] = []
        first_end: int | None = None
        era: int | None = None
        query = {"topic": topic, "part": "0"}
        for _ in range(_MAX_PAGES):
            answer = await self._call(
                "GET", "log-newest", query, b"", timeout_s, era
            )
            if isinstance(answer, StoreFailure):
                return answer
            era = answer.era
            try:
                page = _newest_page.decode(answer.data, answer.era)
            except wire_values.WireValueError as error:
                return StoreFailure(StoreFailureKind.MALFORMED, str(error))
            records += page.records
            if first_end is None:
                first_end = page.end
            if not page.has_more:
                return NewestRecords(tuple(records), first_end, era)
            if not page.records:
                break
            query["after"] = page.records[-1].key
        return StoreFailure(StoreFailureKind.MALFORMED, "pages without an end")

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        timeout_s: float,
        expected_end: int | None = None,
        era: int | None = None,
    ) -> int | StoreFailure:
        """Appends one record to a topic with keys.

        Args:
            topic: Name of the topic.
            key: Key of the record.
            value: Value of the record.
            timeout_s: Longest time for the response, in seconds.
            expected_end: Offset at which the topic must end for the record to
                be written, or None to write it in any case.
            era: Era in which the expected offset was read, or None. The store
                doesn't check it: a response of another era is a failure, and
                the record may have been written.

        Returns:
            The offset of the record.
        """
        body = store_records.encode(key, value)
        return await self._append(topic, body, timeout_s, expected_end, era)

    async def append_plain(
        self,
        topic: str,
        contents: Sequence[bytes],
        timeout_s: float,
        era: int | None = None,
    ) -> int | StoreFailure:
        """Appends records to a topic without keys, either all or none.

        Args:
            topic: Name of the topic.
            contents: Contents of the records, at least one.
            timeout_s: Longest time for the response, in seconds.
            era: See `append`.

        Returns:
            The offset of the first record; the others follow it.
        """
        body = b"".join(map(store_records.encode_plain, contents))
        return await self._append(topic, body, timeout_s, None, era)

    async def _read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        timeout_s: float,
        max_kb: int | None = None,
    ) -> _Answer | StoreFailure:
        query = {"topic": topic, "part": "0", "from": str(start)}
        if max_kb is not None:
            query["max-kb"] = str(max_kb)
        if wait_s > 0:
            query["wait-ms"] = str(round(wait_s * 1000))
        return await self._call(
            "GET", "log-read", query, b"", wait_s + timeout_s
        )

    async def _append(
        self,
        topic: str,
        body: bytes,
        timeout_s: float,
        expected_end: int | None,
        era: int | None = None,
    ) -> int | StoreFailure:
        query = {"topic": topic, "part": "0"}
        if expected_end is not None:
            query["at"] = str(expected_end)
        answer = await self._call(
            "POST", "log-append", query, body, timeout_s, era
        )
        if isinstance(answer, StoreFailure):
            return answer
        try:
            return wire_values.read_integer(
                wire_values.decode_json(answer.data), "offset"
            )
        except wire_values.WireValueError as error:
            return StoreFailure(StoreFailureKind.MALFORMED, str(error))

    async def _call(
        self,
        method: str,
        name: str,
        query: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        expected_era: int | None = None,
    ) -> _Answer | StoreFailure:
        if self._session is None:
            return StoreFailure(StoreFailureKind.REFUSED, "client not started")
        self._calls += 1
        known_era = self._era or 0
        try:
            async with self._session.request(
                method,
                self._url + name,
                params=query,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                data = await _read_body(answer)
                status = answer.status
                stated = answer.headers.get(ERA_HEADER, "")
        except aiohttp.ClientConnectorError as error:
            return StoreFailure(StoreFailureKind.REFUSED, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return StoreFailure(StoreFailureKind.NO_ANSWER, repr(error))
        if data is None:
            return StoreFailure(
                StoreFailureKind.MALFORMED,
                f"{name} answered more than {_MAX_ANSWER_BYTES} bytes",
            )
        stated_era = wire_values.parse_count(stated.strip())
        if stated_era is not None:
            self.note_era(stated_era)
        era = known_era if stated_era is None else stated_era
        if era < (self._era or 0) or expected_era not in (None, era):
            return StoreFailure(
                StoreFailureKind.OTHER_ERA, f"{name} answered in era {era}"
            )
        if status == _OK:
            return _Answer(data, era)
        kind = _FAILURE_KINDS.get(status, StoreFailureKind.REFUSED)
        first_offset = _decode_first_offset(data) if status == _GONE else None
        return StoreFailure(kind, f"{name} status {status}", first_offset)


_FAILURE_KINDS = {
    _GONE: StoreFailureKind.EXPIRED,
    _PRECONDITION_FAILED: StoreFailureKind.CONFLICT,
}


async def _read_body(answer: aiohttp.ClientResponse) -> bytes | None:
    """Returns the body of an answer, or None if it is too large."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _decode_first_offset(data: bytes) -> int | None:
    """Returns the oldest retained offset that a response states, or None."""
    try:
        return wire_values.read_integer(wire_values.decode_json(data), "first")
    except wire_values.WireValueError:
        return None
