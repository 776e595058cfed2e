"""Stand-in for a caller: finds entry instances and sends requests to them."""

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

_MAX_SENDS = 4
_RETRY_DELAY_S = 0.1
_STATUS_OK = 200
_IDEMPOTENT = request.RequestClass.IDEMPOTENT
_UNKNOWN = verdict.Outcome.MAY_HAVE_RUN


@attrs.frozen
class Entries:
    """Answer of an entry instance: which instances to use, and a ticket.

    A ticket is a token that names the instance which handles the idempotency
    keys used under it.
    """

    urls: tuple[str, ...]
    """Base URLs of the entry instances, in order of preference."""

    ticket: str
    """Ticket to send with new idempotency keys."""

    expires_s: float
    """Value of `time.monotonic` until which the answer may be cached."""


@attrs.frozen
class Result:
    """Outcome of one request, as its caller saw it."""

    request_class: request.RequestClass
    """Class of the route."""

    outcome: verdict.Outcome
    """Outcome of the last attempt; `MAY_HAVE_RUN` if no answer stated one."""

    reason: str
    """Reason stated for the outcome."""

    status: int
    """HTTP status of the last attempt; 0 if it got no answer."""

    started_s: float
    """Value of `time.monotonic` when the request began."""

    latency_s: float
    """Seconds from `started_s` to the end of the last attempt."""

    sends: int
    """Number of attempts, including those that found no entry instance."""

    is_whole: bool
    """Whether a successful answer was complete and belonged to this request."""

    key: str = ""
    """Idempotency key, or an empty string for none."""


@attrs.frozen
class RequestSpec:
    """A request for a caller to send."""

    method: str
    """HTTP method."""

    target: str
    """Path and query of the URL."""

    request_class: request.RequestClass
    """Class of the route."""

    body: bytes = b""
    """Request body."""

    headers: Mapping[str, str] = attrs.Factory(dict)
    """Additional request headers."""


class Caller:
    """Sends requests of one customer to one service, with retries.

    Args:
        customer: Name of the customer.
        service: Name of the service.
        data_centre: Data centre nearest to the caller.
        seed_urls: Base URLs of entry instances. The caller asks these which
            instances to use when no instance of the previous answer replies.
    """

    def __init__(
        self,
        customer: str,
        service: str,
        data_centre: str,
        seed_urls: Sequence[str],
    ) -> None:
        self._customer = customer
        self._service = service
        self._data_centre = data_centre
        self._seed_urls = tuple(seed_urls)
        self._entries: Entries | None = None
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Creates the HTTP client; connections are opened by requests."""
        timeout = aiohttp.ClientTimeout(total=10.0)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    @property
    def ticket(self) -> str:
        """Newest ticket received from an entry instance, or an empty string."""
        return self._entries.ticket if self._entries else ""

    async def send(
        self, spec: RequestSpec, *, key: str = "", ticket: str = ""
    ) -> Result:
        """Sends one request, and retries it while that is safe and useful.

        Args:
            spec: The request.
            key: Idempotency key; if empty, one is generated for request
                classes that need it.
            ticket: Ticket that the key is used under; if empty, the newest.
        """
        started_s = time.monotonic()
        if not key and spec.request_class is not _IDEMPOTENT:
            key = uuid.uuid4().hex
        attempt = _Attempt()
        sends = 0
        while sends < _MAX_SENDS and not attempt.is_final(spec.request_class):
            if sends:
                await asyncio.sleep(_RETRY_DELAY_S)
            entries = await self._find_entries()
            if entries is None:
                sends += 1
                continue
            ticket = ticket or entries.ticket
            url = entries.urls[sends % len(entries.urls)]
            sends += 1
            attempt = await self._send_once(url, spec, key, ticket)
        return Result(
            request_class=spec.request_class,
            outcome=attempt.outcome,
            reason=attempt.reason,
            status=attempt.status,
            started_s=started_s,
            latency_s=time.monotonic() - started_s,
            sends=sends,
            is_whole=attempt.is_whole,
            key=key,
        )

    async def _send_once(
        self, url: str, spec: RequestSpec, key: str, ticket: str
    ) -> _Attempt:
        assert self._session is not None
        fields = {headers.CUSTOMER: self._customer, **spec.headers}
        fields[headers.SERVICE] = self._service
        if key:
            fields[headers.KEY] = key
        if spec.request_class is request.RequestClass.AT_MOST_ONCE:
            fields[headers.TICKET] = ticket
        try:
            async with self._session.request(
                spec.method,
                url + spec.target,
                data=spec.body or None,
                headers=fields,
            ) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            self._entries = None
            return _Attempt()
        return _parse_answer(answer, content, spec)

    async def _find_entries(self) -> Entries | None:
        now_s = time.monotonic()
        if self._entries is None or now_s >= self._entries.expires_s:
            self._entries = await self._fetch_entries(now_s) or self._entries
        return self._entries

    async def _fetch_entries(self, now_s: float) -> Entries | None:
        assert self._session is not None
        query = {"service": self._service, "data_centre": self._data_centre}
        known = self._entries.urls if self._entries else ()
        for url in (*known, *self._seed_urls):
            try:
                async with self._session.get(
                    url + headers.ENTRIES_PATH, params=query
                ) as answer:
                    if answer.status == _STATUS_OK:
                        return _parse_entries(await answer.json(), now_s)
            except (aiohttp.ClientError, TimeoutError):
                continue
        return None


@attrs.frozen
class _Attempt:
    """Outcome of one attempt to send a request."""

    outcome: verdict.Outcome = _UNKNOWN
    reason: str = "no-answer"
    status: int = 0
    is_whole: bool = False

    def is_final(self, request_class: request.RequestClass) -> bool:
        """Returns whether the request must not, or need not, be sent again."""
        if self.status == 0:
            return False
        if self.outcome is verdict.Outcome.DONE:
            return True
        if request_class is request.RequestClass.AT_MOST_ONCE:
            return True
        return self.status in (400, 403, 404, 422, 429)


def _parse_answer(
    answer: aiohttp.ClientResponse, content: bytes, spec: RequestSpec
) -> _Attempt:
    stated = answer.headers.get(headers.VERDICT, "")
    outcomes = {one.value: one for one in verdict.Outcome}
    outcome = outcomes.get(stated, _UNKNOWN)
    is_whole = True
    if outcome is verdict.Outcome.DONE and answer.status == _STATUS_OK:
        digest = hashlib.sha256(spec.body).hexdigest()
        is_own = spec.target.encode() in content
        is_whole = is_own and digest.encode() in content
    return _Attempt(
        outcome=outcome,
        reason=answer.headers.get(headers.REASON, ""),
        status=answer.status,
        is_whole=is_whole,
    )


def _parse_entries(document: Any, now_s: float) -> Entries:
    urls = tuple(
        f"http://{row['host']}:{row['port']}" for row in document["entries"]
    )
    return Entries(urls, document["ticket"], now_s + document["ttl_s"])
