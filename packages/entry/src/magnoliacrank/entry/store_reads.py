"""StoreReads: reads the operators' and the servers' topic from the store.

Load pattern: a burst of large configurations. Of these only the newest counts,
so a reader that lacks more than a page reads the newest record of each key
instead of all that lie in between.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.platform import store_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import keyed_view
    from magnoliacrank.entry import site_view
    from magnoliacrank.entry import view_updater

_CALL_TIMEOUT_S = 1.0
"""Timeout of one call to the store."""

_INITIAL_BACKOFF_S = 0.5
"""Delay after a failed read of the store; doubles up to `_MAX_BACKOFF_S`."""

_MAX_BACKOFF_S = 2.0
"""Longest delay between failed reads of the store."""


class StoreReads:
    """Reads changes, or complete listings where offsets mean nothing anymore.

    Args:
        view: View with the positions up to which the topics were read.
        store: Client of the store.
        updater: Merges what is read into the view.
        log: Log for the loss and return of the store.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        store: store_client.StoreClient,
        updater: view_updater.ViewUpdater,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._store = store
        self._updater = updater
        self._log = log
        self._clock = clock
        self._failures = 0
        self._next_read_s = 0.0
        self._rewinds = 0
        self._era_source = "store"
        store.add_era_listener(self._on_era)

    @property
    def rewinds(self) -> int:
        """Number of times that the store came back from an older copy."""
        return self._rewinds

    @property
    def is_unavailable(self) -> bool:
        """Whether the latest read failed."""
        return self._failures > 0

    @property
    def next_read_s(self) -> float:
        """Clock time in seconds before which the store isn't read again."""
        return self._next_read_s

    def on_error(self) -> None:
        """Delays the next read after an unexpected exception."""
        self._next_read_s = self._clock() + _INITIAL_BACKOFF_S

    def note_peer_era(self, peer: str, era: int) -> None:
        """Passes on an era in which another instance has read the store.

        Args:
            peer: The other instance, for the log.
            era: The era; 0 for none.
        """
        if era:
            self._era_source = peer
            self._store.note_era(era)
            self._era_source = "store"

    async def read(self) -> bool:
        """Reads both topics.

        Returns:
            Whether both were read to their ends at the time of the call, in
            the same era of the store.
        """
        failure = await self._read_topics()
        if failure is None and self._view.is_between_eras:
            failure = await self._read_topics()
        self._record_result(failure)
        return failure is None and not self._view.is_between_eras

    def _on_era(self, era: int) -> None:
        self._rewinds += 1
        self._log.warning(
            "store came back from an older copy",
            era=era,
            known_by=self._era_source,
        )

    async def _read_topics(self) -> store_client.StoreFailure | None:
        failures = await asyncio.gather(
            self._read_topic(store_client.OPERATOR_TOPIC, self._view.operators),
            self._read_topic(store_client.SERVERS_TOPIC, self._view.servers),
        )
        return next((item for item in failures if item is not None), None)

    async def _read_topic(
        self, topic: str, view: keyed_view.KeyedView
    ) -> store_client.StoreFailure | None:
        if view.next_offset and not self._is_older_era(view):
            page = await self._store.read(
                topic, view.next_offset, 0.0, _CALL_TIMEOUT_S
            )
            if not isinstance(page, store_client.StoreFailure):
                if page.era == view.era:
                    await self._updater.merge_page(view, page)
                    if page.is_complete:
                        return None
                    self._log.event(
                        "store backlog skipped",
                        topic=topic,
                        records=page.end - page.next_offset,
                    )
            elif not self._is_older_era(view):
                if page.kind is not store_client.StoreFailureKind.EXPIRED:
                    return page
                self._log.event("store history expired", topic=topic)
        newest = await self._store.newest(topic, _CALL_TIMEOUT_S)
        if isinstance(newest, store_client.StoreFailure):
            return newest
        await self._updater.merge_listing(view, newest)
        return None

    def _is_older_era(self, view: keyed_view.KeyedView) -> bool:
        """Whether the store is known to have started a newer era."""
        return view.era < (self._store.era or 0)

    def _record_result(self, failure: store_client.StoreFailure | None) -> None:
        now_s = self._clock()
        if failure is not None and (
            failure.kind is store_client.StoreFailureKind.OTHER_ERA
        ):
            # The store works, and the next read starts in the newer era.
            self._next_read_s = 0.0
        elif failure is None:
            if self._failures:
                self._log.event("store regained", failures=self._failures)
            self._failures = 0
            self._next_read_s = 0.0
        else:
            if not self._failures:
                self._log.warning(
                    "store lost",
                    reason=failure.kind.value,
                    detail=failure.detail,
                )
            backoff_s = _INITIAL_BACKOFF_S * 2 ** min(self._failures, 4)
            self._failures += 1
            self._next_read_s = now_s + min(backoff_s, _MAX_BACKOFF_S)
            self._view.on_store_failure()
