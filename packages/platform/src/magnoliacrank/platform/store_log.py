"""StoreLog: log service on one topic of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeGuard

from magnoliacrank.model import ids
from magnoliacrank.platform import log_service
from magnoliacrank.platform import store_client

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.platform import store_records

_ANSWER_TIMEOUT_S = 5.0
"""Longest time for a response of the store.

The store itself rejects a call that has waited for more than 2 s.
"""


class StoreLog:
    """Log service that keeps its records, without keys, in one topic.

    The topic has a single partition. All offsets are of the era of the store
    that the first response states; in a later one, reads and appends fail.

    Args:
        store: Client of the store; its creator starts and closes it.
        topic: Name of the topic.
        answer_timeout_s: Longest time for a response, in seconds.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        topic: str,
        answer_timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> None:
        self._store = store
        self._topic = topic
        self._answer_timeout_s = answer_timeout_s
        self._era: int | None = None

    async def append(self, records: Sequence[bytes]) -> ids.LogOffset:
        """See `LogService.append`."""
        self._check_era()
        result = await self._store.append_plain(
            self._topic, records, self._answer_timeout_s, self._era
        )
        if not isinstance(result, store_client.StoreFailure):
            if self._era is None:
                self._era = self._store.era
            return ids.LogOffset(result)
        if result.may_have_run:
            raise log_service.AppendOutcomeUnknownError(result.detail)
        raise log_service.LogUnavailableError(result.detail)

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> log_service.LogPage:
        """See `LogService.read`."""
        self._check_era()
        start: int = offset
        page = await self._read(start, wait_s)
        if _has_expired(page) and page.first_offset is not None:
            start = page.first_offset
            page = await self._read(start, 0.0)
        self._check_era()
        if isinstance(page, store_client.StoreFailure):
            raise log_service.LogUnavailableError(page.detail)
        if self._era is None:
            self._era = page.era or None
        start = min(start, page.end)
        records = tuple(
            log_service.LoggedRecord(ids.LogOffset(start + index), content)
            for index, content in enumerate(page.contents[:limit])
        )
        return log_service.LogPage(
            records=records,
            next_offset=ids.LogOffset(start + len(records)),
            oldest_offset=ids.LogOffset(page.first),
            end_offset=ids.LogOffset(page.end),
        )

    def _check_era(self) -> None:
        """Raises an error if the store has come back from an older copy."""
        era = self._store.era
        if self._era is not None and era is not None and era > self._era:
            raise log_service.LogRewoundError(
                f"the log came back from an older copy (era {era} after "
                f"{self._era}); restart the instance to read it anew"
            )

    async def _read(
        self, start: int, wait_s: float
    ) -> store_records.PlainPage | store_client.StoreFailure:
        return await self._store.read_plain(
            self._topic, start, wait_s, self._answer_timeout_s
        )


def _has_expired(
    page: store_records.PlainPage | store_client.StoreFailure,
) -> TypeGuard[store_client.StoreFailure]:
    return (
        isinstance(page, store_client.StoreFailure)
        and page.kind is store_client.StoreFailureKind.EXPIRED
    )
