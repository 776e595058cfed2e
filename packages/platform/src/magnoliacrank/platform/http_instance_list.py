"""HTTP client of the instance list; docs/reference/instance-list.md."""

from __future__ import annotations

import aiohttp
import msgspec

from magnoliacrank.model import instance
from magnoliacrank.platform import instance_list

_TIMEOUT_S = 2.0
_STATUS_OK = 200


class HttpInstanceList:
    """The instance list of a platform that is reached by HTTP."""

    def __init__(self, base_url: str, timeout_s: float = _TIMEOUT_S) -> None:
        self._url = f"{base_url.rstrip('/')}/v1/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client; the first request connects."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(self) -> instance.Listing:
        """See `InstanceList.fetch`."""
        try:
            async with self._opened().get(
                self._url, timeout=self._timeout
            ) as answer:
                data = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            raise instance_list.InstanceListUnavailableError(
                str(error)
            ) from error
        if status != _STATUS_OK:
            raise instance_list.InstanceListUnavailableError(
                f"instance list status {status}"
            )
        return _decode(data)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise instance_list.InstanceListUnavailableError(
                "the client is not started"
            )
        return self._session


def _decode(data: bytes) -> instance.Listing:
    try:
        return msgspec.json.decode(data, type=instance.Listing)
    except ValueError as error:
        raise instance_list.InstanceListUnavailableError(str(error)) from error
