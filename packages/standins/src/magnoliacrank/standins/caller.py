"""Stand-in for a caller: asks for entries and sends requests there."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import hashlib
import time
from typing import TYPE_CHECKING
from typing import Any
import uuid

import aiohttp
import attrs

from magnoliacrank.model import headers
from magnoliacrank.model import request
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

_SENDS = 4
_PAUSE_S = 0.1
_STATUS_OK = 200
_UNKNOWN = verdict.Outcome.MAY_HAVE_RUN


@attrs.frozen
class Entries:
    """Answer to the question which entry instances to use."""

    urls: tuple[str, ...]
    """Base URLs in order of preference."""

    ticket: str
    """Ticket for new keys."""

    until_s: float
    """Monotonic time in seconds until which the answer may be kept."""


@attrs.frozen
class Result:
    """What became of one request, as its caller saw it."""

    request_class: request.RequestClass
    """Class of the route."""

    outcome: verdict.Outcome
    """Last verdict."""

    reason: str
    """Reason of the verdict."""

    status: int
    """HTTP status of the last answer; 0 for none."""

    started_s: float
    """Monotonic time in seconds of the first send."""

    latency_s: float
    """Seconds from the first send to the end."""

    sends: int
    """How often the caller sent it."""

    is_whole: bool
    """Whether a done answer belonged to the request and came whole."""

    key: str = ""
    """Idempotency key, if it had one."""


@attrs.frozen
class Wanted:
    """One request that a caller wants carried."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    request_class: request.RequestClass
    """Class of the route."""

    body: bytes = b""
    """Body."""

    headers: Mapping[str, str] = attrs.Factory(dict)
    """Further headers."""


class Caller:
    """Sends requests of one customer for one service.

    Args:
        customer: The customer.
        service: The service.
        data_centre: Data centre that the caller is next to.
        known_urls: Base URLs of some entry instances.
    """

    def __init__(
        self,
        customer: str,
        service: str,
        data_centre: str,
        known_urls: Sequence[str],
    ) -> None:
        self._customer = customer
        self._service = service
        self._data_centre = data_centre
        self._known_urls = tuple(known_urls)
        self._entries: Entries | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client; the first request connects."""
        timeout = aiohttp.ClientTimeout(total=10.0)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(self, wanted: Wanted) -> Result:
        """Sends one request until it is done or must not be sent again."""
        started_s = time.monotonic()
        key = ""
        if wanted.request_class is not request.RequestClass.IDEMPOTENT:
            key = uuid.uuid4().hex
        ticket = ""
        seen = _Seen()
        sends = 0
        while sends < _SENDS and not seen.is_final(wanted.request_class):
            if sends:
                await asyncio.sleep(_PAUSE_S)
            entries = await self._find_entries()
            if entries is None:
                sends += 1
                continue
            ticket = ticket or entries.ticket
            url = entries.urls[sends % len(entries.urls)]
            sends += 1
            seen = await self._send_once(url, wanted, key, ticket)
        return Result(
            request_class=wanted.request_class,
            outcome=seen.outcome,
            reason=seen.reason,
            status=seen.status,
            started_s=started_s,
            latency_s=time.monotonic() - started_s,
            sends=sends,
            is_whole=seen.is_whole,
            key=key,
        )

    async def _send_once(
        self, url: str, wanted: Wanted, key: str, ticket: str
    ) -> _Seen:
        assert self._session is not None
        fields = {headers.CUSTOMER: self._customer, **wanted.headers}
        fields[headers.SERVICE] = self._service
        if key:
            fields[headers.KEY] = key
        if wanted.request_class is request.RequestClass.AT_MOST_ONCE:
            fields[headers.TICKET] = ticket
        try:
            async with self._session.request(
                wanted.method,
                url + wanted.target,
                data=wanted.body or None,
                headers=fields,
            ) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            self._entries = None
            return _Seen()
        return _read_answer(answer, content, wanted)

    async def _find_entries(self) -> Entries | None:
        now_s = time.monotonic()
        if self._entries is None or now_s >= self._entries.until_s:
            self._entries = await self._ask_entries(now_s) or self._entries
        return self._entries

    async def _ask_entries(self, now_s: float) -> Entries | None:
        assert self._session is not None
        query = {"service": self._service, "data_centre": self._data_centre}
        known = self._entries.urls if self._entries else ()
        for url in (*known, *self._known_urls):
            try:
                async with self._session.get(
                    url + headers.ENTRIES_PATH, params=query
                ) as answer:
                    if answer.status == _STATUS_OK:
                        return _read_entries(await answer.json(), now_s)
            except (aiohttp.ClientError, TimeoutError):
                continue
        return None


@attrs.frozen
class _Seen:
    """What one send came to."""

    outcome: verdict.Outcome = _UNKNOWN
    reason: str = "no-answer"
    status: int = 0
    is_whole: bool = False

    def is_final(self, request_class: request.RequestClass) -> bool:
        """Returns whether sending again is of no use."""
        if self.status == 0:
            return False
        if self.outcome is verdict.Outcome.DONE:
            return True
        if request_class is request.RequestClass.AT_MOST_ONCE:
            return True
        return self.status in (400, 403, 404, 422, 429)


def _read_answer(
    answer: aiohttp.ClientResponse, content: bytes, wanted: Wanted
) -> _Seen:
    stated = answer.headers.get(headers.VERDICT, "")
    outcomes = {one.value: one for one in verdict.Outcome}
    outcome = outcomes.get(stated, _UNKNOWN)
    is_whole = True
    if outcome is verdict.Outcome.DONE and answer.status == _STATUS_OK:
        digest = hashlib.sha256(wanted.body).hexdigest()
        is_own = wanted.target.encode() in content
        is_whole = is_own and digest.encode() in content
    return _Seen(
        outcome=outcome,
        reason=answer.headers.get(headers.REASON, ""),
        status=answer.status,
        is_whole=is_whole,
    )


def _read_entries(document: Any, now_s: float) -> Entries:
    urls = tuple(
        f"http://{row['host']}:{row['port']}" for row in document["entries"]
    )
    return Entries(urls, document["ticket"], now_s + document["ttl_s"])
