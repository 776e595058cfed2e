"""SiteReader: keeps the view of operators and servers up to date.

One instance at a time reads the store; the others hear from its heartbeats
whether they lack anything, and fetch it from an instance in their own data
centre or from the store. Whoever hears nothing for a while reads itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import owned_task
from magnoliacrank.entry import peer_records
from magnoliacrank.platform import store_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import heartbeat
    from magnoliacrank.entry import keyed_view
    from magnoliacrank.entry import peer_fetcher
    from magnoliacrank.entry import site_view
    from magnoliacrank.platform import store_records
    from magnoliacrank.policy import crew_roster

READ_INTERVAL_S = 0.7
"""Time between two reads by the instance whose duty they are.

A third of the shortest bound on leaving servers and configurations (2 s)."""

STEP_IN_S = 0.5
"""Further wait of each next instance in line before it reads itself."""

MAX_STEPS = 4
"""Places in line that are told apart."""

FRESH_S = 1.3
"""Age up to which the view may be used without asking."""

_TICK_S = 0.1
"""Interval at which an instance checks whether it has to read."""

_CALL_TIMEOUT_S = 1.0
"""Longest time for one answer of the store."""

_FAILURE_PAUSE_S = 0.5
"""Pause after a read that failed; doubled up to `_MAX_PAUSE_S`."""

_MAX_PAUSE_S = 2.0
"""Longest pause between reads that fail."""

_REQUEST_WAIT_S = 0.25
"""Longest time for which a request waits for a read."""


@attrs.frozen
class _PeerMarks:
    data_centre: str
    ip: str
    operators: int
    servers: int
    verified_s: float


class SiteReader:
    """Reads the store, or other instances, into the view.

    Args:
        view: What is kept up to date.
        store: Client of the store.
        peers: Fetches records from other instances.
        roster: Who is alive, and whose duty reading is.
        log: Where lost and regained dependencies are logged.
        clock: Seconds that go on while the machine is suspended.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        store: store_client.StoreClient,
        peers: peer_fetcher.PeerFetcher,
        roster: crew_roster.CrewRoster,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._store = store
        self._peers = peers
        self._roster = roster
        self._log = log
        self._clock = clock
        self._marks: dict[str, _PeerMarks] = {}
        self._verified_s: float | None = None
        self._failures = 0
        self._next_try_s = 0.0
        self._reading: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._on_news: Callable[[], None] = lambda: None

    @property
    def verified_s(self) -> float | None:
        """Latest time at which the view was known to be complete."""
        return self._verified_s

    @property
    def is_store_away(self) -> bool:
        """Whether the latest read of the store failed."""
        return self._failures > 0

    def set_news_handler(self, handler: Callable[[], None]) -> None:
        """Sets what is called after a read brought changes."""
        self._on_news = handler

    async def start(self) -> None:
        """Begins to read."""
        self._task = owned_task.spawn_loop(self._run, "site reader", self._log)

    async def close(self) -> None:
        """Stops reading."""
        await owned_task.stop(self._task, self._reading)

    def on_heartbeat(
        self, sender: crew_roster.PeerFact, beat: heartbeat.Heartbeat
    ) -> None:
        """Takes in how much another instance knows."""
        if beat.verified_age_ms < 0:
            return
        now_s = self._clock()
        verified_s = now_s - beat.verified_age_ms / 1000
        self._marks[sender.node] = _PeerMarks(
            sender.data_centre,
            sender.ip,
            beat.operators_mark,
            beat.servers_mark,
            verified_s,
        )
        self._take_proofs()

    def is_fresh(self) -> bool:
        """Whether the view may be used as it is."""
        verified_s = self._verified_s
        if verified_s is None or self._clock() - verified_s > FRESH_S:
            return False
        return not self._is_behind()

    async def refresh_for_request(self) -> None:
        """Brings the view up to date, as far as a request can wait for it."""
        if self.is_fresh() or self._clock() < self._next_try_s:
            return
        await asyncio.wait({self._start_reading()}, timeout=_REQUEST_WAIT_S)

    async def refresh(self, max_age_s: float) -> None:
        """Reads once more, unless the view is younger than an age.

        Args:
            max_age_s: Age in seconds up to which nothing is read.
        """
        now_s = self._clock()
        if now_s < self._next_try_s:
            return
        if self._verified_s is not None and (
            now_s - self._verified_s <= max_age_s and not self._is_behind()
        ):
            return
        await asyncio.wait({self._start_reading()}, timeout=_REQUEST_WAIT_S)

    async def _run(self) -> None:
        while True:
            now_s = self._clock()
            if self._is_due(now_s):
                await asyncio.wait({self._start_reading()})
            await asyncio.sleep(_TICK_S)

    def _is_due(self, now_s: float) -> bool:
        if now_s < self._next_try_s:
            return False
        if self._verified_s is None:
            return True
        if self._is_behind() and self._roster.is_crew(now_s):
            return True
        place = min(self._roster.duty_order(now_s), MAX_STEPS)
        limit_s = READ_INTERVAL_S - _TICK_S / 2 + STEP_IN_S * place
        return now_s - self._verified_s >= limit_s

    def _is_behind(self) -> bool:
        view = self._view
        return any(
            marks.operators > view.operators.seen
            or marks.servers > view.servers.seen
            for marks in self._marks.values()
        )

    def _take_proofs(self) -> None:
        """Whoever knows no more than this instance proves its view."""
        view = self._view
        for marks in self._marks.values():
            if (
                marks.operators <= view.operators.seen
                and marks.servers <= view.servers.seen
                and view.plan is not None
            ):
                self._verify(marks.verified_s)

    def _verify(self, at_s: float) -> None:
        if self._verified_s is None or at_s > self._verified_s:
            self._verified_s = at_s

    def _start_reading(self) -> asyncio.Task[None]:
        if self._reading is None or self._reading.done():
            self._reading = owned_task.spawn(
                self._read(), "site read", self._log
            )
        return self._reading

    async def _read(self) -> None:
        before = (self._view.operators.mark, self._view.servers.mark)
        if not (self._is_behind() and await self._read_peer()):
            is_read = await self._read_store()
            if not is_read:
                await self._read_peer()
        if before != (self._view.operators.mark, self._view.servers.mark):
            self._on_news()
        self._take_proofs()

    async def _read_peer(self) -> bool:
        """Fetches what is missing from the best instance; True if it had it.

        Of those that know all, one in the own data centre is preferred.
        """
        own = self._roster.own
        now_s = self._clock()
        known = [
            marks
            for marks in self._marks.values()
            if now_s - marks.verified_s < FRESH_S
        ]
        if not known:
            return False
        best = max(
            known,
            key=lambda marks: (
                marks.operators,
                marks.servers,
                marks.data_centre == own.data_centre,
                marks.verified_s,
            ),
        )
        view = self._view
        found = await self._peers.fetch(
            best.ip, view.operators.seen, view.servers.seen
        )
        if found is None:
            return False
        asked_s = now_s
        self._apply(view.operators, peer_records.from_rows(found.operators))
        self._apply(view.servers, peer_records.from_rows(found.servers))
        view.operators.note_seen(found.operators_mark)
        view.servers.note_seen(found.servers_mark)
        if found.verified_age_ms >= 0:
            self._verify(asked_s - found.verified_age_ms / 1000)
        return not self._is_behind()

    async def _read_store(self) -> bool:
        started_s = self._clock()
        view = self._view
        failures = await asyncio.gather(
            self._read_topic(store_client.OPERATOR_TOPIC, view.operators),
            self._read_topic(store_client.SERVERS_TOPIC, view.servers),
        )
        failure = next((item for item in failures if item is not None), None)
        self._note(failure)
        if failure is None:
            self._verify(started_s)
        return failure is None

    async def _read_topic(
        self, topic: str, view: keyed_view.KeyedView
    ) -> store_client.StoreFailure | None:
        if view.next_offset:
            page = await self._store.read(
                topic, view.next_offset, 0.0, _CALL_TIMEOUT_S
            )
            if not isinstance(page, store_client.StoreFailure):
                self._apply(view, list(page.records))
                view.advance(page.next_offset)
                return None
            if page.kind is not store_client.StoreFailureKind.EXPIRED:
                return page
            self._log.event("store history expired", topic=topic)
        newest = await self._store.newest(topic, _CALL_TIMEOUT_S)
        if isinstance(newest, store_client.StoreFailure):
            return newest
        changed = view.replace(newest)
        self._apply_changes(view, changed)
        return None

    def _apply(
        self,
        view: keyed_view.KeyedView,
        records: list[store_records.KeyedRecord],
    ) -> None:
        self._apply_changes(view, view.apply(records))

    def _apply_changes(
        self,
        view: keyed_view.KeyedView,
        changed: list[store_records.KeyedRecord],
    ) -> None:
        if not changed:
            return
        if view is self._view.operators:
            self._view.apply_operators(changed)
        else:
            self._view.apply_servers(changed)

    def _note(self, failure: store_client.StoreFailure | None) -> None:
        now_s = self._clock()
        if failure is None:
            if self._failures:
                self._log.event("store regained", failures=self._failures)
            self._failures = 0
            self._next_try_s = 0.0
        else:
            if not self._failures:
                self._log.warning(
                    "store lost",
                    reason=failure.kind.value,
                    detail=failure.detail,
                )
            pause_s = _FAILURE_PAUSE_S * 2 ** min(self._failures, 4)
            self._failures += 1
            self._next_try_s = now_s + min(pause_s, _MAX_PAUSE_S)
        self._view.on_store(answers=failure is None)
