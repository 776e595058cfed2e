"""HTTP client of the log service; docs/reference/log-service.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service
from magnoliacrank.platform import log_wire

if TYPE_CHECKING:
    from collections.abc import Sequence

_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 5.0
_STATUS_OK = 200
_REFUSED_STATUSES = frozenset({400, 404, 413, 429, 503})


class HttpLogService:
    """One stream of a log service that is reached by HTTP."""

    def __init__(
        self,
        base_url: str,
        stream: str,
        answer_timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> None:
        self._url = f"{base_url.rstrip('/')}/v1/streams/{stream}/records"
        self._answer_timeout_s = answer_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client; the first request connects."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(self, records: Sequence[bytes]) -> ids.LogOffset:
        """See `LogService.append`."""
        body = log_wire.encode(log_wire.AppendBody(tuple(records)))
        headers = {"Content-Type": log_wire.CONTENT_TYPE}
        try:
            async with self._opened().post(
                self._url,
                data=body,
                headers=headers,
                timeout=self._timeout(0.0),
            ) as answer:
                data = await answer.read()
                status = answer.status
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise log_service.LogUnavailableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise log_service.AppendUnknownError(str(error)) from error
        return self._appended_offset(status, data)

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> log_service.LogPage:
        """See `LogService.read`."""
        params = {
            "offset": str(offset),
            "limit": str(limit),
            "wait_ms": str(round(wait_s * 1000)),
        }
        try:
            async with self._opened().get(
                self._url, params=params, timeout=self._timeout(wait_s)
            ) as answer:
                data = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            raise log_service.LogUnavailableError(str(error)) from error
        return self._read_page(status, data)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise log_service.LogUnavailableError("the client is not started")
        return self._session

    def _timeout(self, wait_s: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self._answer_timeout_s + wait_s,
            sock_connect=_CONNECT_TIMEOUT_S,
        )

    def _appended_offset(self, status: int, data: bytes) -> ids.LogOffset:
        if status in _REFUSED_STATUSES:
            raise log_service.LogUnavailableError(f"append status {status}")
        if status != _STATUS_OK:
            raise log_service.AppendUnknownError(f"append status {status}")
        try:
            answer = log_wire.decode_append_answer(data)
        except ValueError as error:
            raise log_service.AppendUnknownError(str(error)) from error
        return ids.LogOffset(answer.offset)

    def _read_page(self, status: int, data: bytes) -> log_service.LogPage:
        if status != _STATUS_OK:
            raise log_service.LogUnavailableError(f"read status {status}")
        try:
            answer = log_wire.decode_read_answer(data)
        except ValueError as error:
            raise log_service.LogUnavailableError(str(error)) from error
        records = tuple(
            log_service.LoggedRecord(
                ids.LogOffset(answer.offset + index), record
            )
            for index, record in enumerate(answer.records)
        )
        return log_service.LogPage(
            records=records,
            next_offset=ids.LogOffset(answer.offset + len(records)),
            oldest_offset=ids.LogOffset(answer.oldest_offset),
            end_offset=ids.LogOffset(answer.end_offset),
        )
