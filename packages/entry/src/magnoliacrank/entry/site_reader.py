"""SiteReader: keeps the view of configuration and servers up to date.

One instance at a time polls the store. The others learn from its heartbeats
whether they lack changes, and fetch these from an instance in their own data
centre if possible. An instance whose view was not verified for some time reads
the store itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import owned_task
from magnoliacrank.entry import store_reads
from magnoliacrank.entry import view_updater
from magnoliacrank.policy import record_sources

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import heartbeat
    from magnoliacrank.entry import keyed_view
    from magnoliacrank.entry import peer_fetcher
    from magnoliacrank.entry import site_view
    from magnoliacrank.platform import store_client
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import peer_status

READ_INTERVAL_S = 0.7
"""Interval at which the instance on duty polls the store.

A third of the shortest bound on leaving servers and configurations (2 s)."""

TAKEOVER_STEP_S = 0.5
"""Further delay per position in the duty order, after which an instance reads
the store itself because no instance before it seems to."""

MAX_TAKEOVER_STEPS = 4
"""Number of `TAKEOVER_STEP_S` after which the takeover delay stops growing, so
that it is the same from this position in the duty order on. The duty order is
the order in which instances take over tasks such as polling the store."""

_FOLLOWER_MAX_AGE_S = 3.0
"""Age of a follower's view at which the follower reads from another instance or
else the store. The mesh consists of the crews, which carry the traffic, and
one standby per data centre. All other instances are followers; they get
changes from members of the mesh in their data centre."""

_MAX_PEERS_ASKED = 2
"""Maximum number of instances that are asked for records in one read."""

_TICK_S = 0.1
"""Interval at which an instance checks whether a read is due."""

_BATCH_DELAY_S = 0.005
"""Delay after a heartbeat that announces changes, so that the heartbeats of
several instances trigger one read."""

_REQUEST_WAIT_S = 0.25
"""Longest time for which a caller's request waits for a read."""


class SiteReader:
    """Replicates the store's records into the view of one instance.

    Reads from the store or from other instances, in the background and before
    requests that meet a stale view. The view is verified when it is known to
    contain all changes: after a read of the store, or when a verified instance
    has no newer changes.

    Args:
        view: View into which the records are merged.
        store: Client of the store.
        peers: Fetches records from other instances.
        roster: Membership, which determines the instance on duty.
        sources: Decides when to read from where.
        states: Recorded states of rollouts; loaded, if possible, before a
            rollout order is applied.
        log: Log for the loss and return of the store.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        store: store_client.StoreClient,
        peers: peer_fetcher.PeerFetcher,
        roster: instance_roster.InstanceRoster,
        sources: record_sources.RecordSources,
        states: view_updater.RolloutStateStore,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._peers = peers
        self._roster = roster
        self._log = log
        self._clock = clock
        self._sources = sources
        self._updater = view_updater.ViewUpdater(view, states, log, clock)
        self._store_reads = store_reads.StoreReads(
            view, store, self._updater, log, clock
        )
        self._verified_s: float | None = None
        self._read_errors = 0
        self._retaining_ip: str | None = None
        self._has_retained = False
        self._reading: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._on_change: Callable[[], None] = lambda: None
        self._on_store_read: Callable[[], None] = lambda: None
        self._wake = asyncio.Event()
        store.add_era_listener(lambda _: self._wake.set())

    @property
    def verified_s(self) -> float | None:
        """Clock time in seconds of the latest verification; None for never."""
        return self._verified_s

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the latest read of the store failed."""
        return self._store_reads.is_unavailable

    @property
    def read_errors(self) -> int:
        """Number of reads that ended by an unexpected exception."""
        return self._read_errors

    @property
    def rewinds(self) -> int:
        """Number of times that the store came back from an older copy."""
        return self._store_reads.rewinds

    @property
    def is_between_eras(self) -> bool:
        """See `SiteView.is_between_eras`."""
        return self._view.is_between_eras

    def set_change_handler(self, handler: Callable[[], None]) -> None:
        """Sets the callback for reads that changed the view."""
        self._on_change = handler

    def set_store_read_handler(self, handler: Callable[[], None]) -> None:
        """Sets the callback for successful reads of the store."""
        self._on_store_read = handler

    async def start(self) -> None:
        """Starts the background task."""
        self._task = owned_task.spawn_loop(self._run, "site reader", self._log)

    async def close(self) -> None:
        """Stops the background task and a read in progress."""
        await owned_task.stop(self._task, self._reading)

    def on_heartbeat(
        self, sender: peer_status.PeerStatus, beat: heartbeat.Heartbeat
    ) -> None:
        """Processes the offsets up to which another instance has records.

        They either verify this instance's view or show that it lacks changes.

        Args:
            sender: Identity of the other instance.
            beat: Heartbeat of the other instance.
        """
        if beat.verified_age_ms < 0:
            return
        now_s = self._clock()
        marks = record_sources.RecordOffsets(
            node=sender.node,
            data_centre=sender.data_centre,
            ip=sender.ip,
            operators=beat.operators_mark,
            servers=beat.servers_mark,
            verified_s=now_s - beat.verified_age_ms / 1000,
            era=beat.store_era,
        )
        self._view.on_store_answer(marks.verified_s)
        self._sources.on_offsets(marks, self._seen, now_s, self._view.era)
        self._verify_from_peer(marks)
        if beat.held and beat.store_era == self._view.era:
            self._ask_for_retained(sender.ip)
        if self._verified_s is None or self._is_behind():
            self._wake.set()

    def _ask_for_retained(self, ip: str) -> None:
        """Asks another instance once for what the store may have lost.

        Only an instance that started in this era of the store lacks it.
        """
        if self._view.operators.is_first_era and not self._has_retained:
            self._retaining_ip = ip
            self._wake.set()

    def is_fresh(self) -> bool:
        """Whether the view was verified recently and lacks no known change."""
        verified_s = self._verified_s
        if verified_s is None:
            return False
        if self._clock() - verified_s > record_sources.MAX_PROOF_AGE_S:
            return False
        return not self._is_behind()

    async def refresh_for_request(self) -> None:
        """Refreshes a stale view, within the time that a request can wait."""
        if self.is_fresh() or self._clock() < self._store_reads.next_read_s:
            return
        reading = self._start_reading(record_sources.Source.STORE)
        await asyncio.wait({reading}, timeout=_REQUEST_WAIT_S)

    async def refresh(self, max_age_s: float) -> None:
        """Refreshes the view unless it was verified recently.

        Does nothing during the backoff after a failed read of the store.

        Args:
            max_age_s: Age in seconds of the latest verification up to which
                the view is not refreshed.
        """
        now_s = self._clock()
        if now_s < self._store_reads.next_read_s:
            return
        if self._verified_s is not None and (
            now_s - self._verified_s <= max_age_s and not self._is_behind()
        ):
            return
        reading = self._start_reading(record_sources.Source.STORE)
        await asyncio.wait({reading}, timeout=_REQUEST_WAIT_S)

    @property
    def _seen(self) -> tuple[int, int]:
        return (self._view.operators.seen[1], self._view.servers.seen[1])

    @property
    def _marks(self) -> tuple[keyed_view.Position, keyed_view.Position]:
        return (self._view.operators.mark, self._view.servers.mark)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            source = self._next_source(self._clock())
            if self._retaining_ip and source is record_sources.Source.NONE:
                source = record_sources.Source.PEER
            if source is not record_sources.Source.NONE:
                await asyncio.wait({self._start_reading(source)})
            self._settle()
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            # Heartbeats of several instances arrive at nearly the same time.
            await asyncio.sleep(_BATCH_DELAY_S)

    def _settle(self) -> None:
        before = self._marks
        self._updater.settle()
        if before != self._marks:
            self._on_change()

    def _next_source(self, now_s: float) -> record_sources.Source:
        verified_s = self._verified_s
        may_read_store = now_s >= self._store_reads.next_read_s
        source = self._sources.next_source(
            self._place(now_s),
            now_s,
            is_empty=verified_s is None,
            may_read_store=may_read_store,
        )
        if verified_s is None or source is not record_sources.Source.NONE:
            return source
        is_old = now_s - verified_s >= self._max_age_s(now_s)
        if is_old and may_read_store:
            return record_sources.Source.STORE
        return record_sources.Source.NONE

    def _max_age_s(self, now_s: float) -> float:
        if self._roster.is_follower(now_s):
            return _FOLLOWER_MAX_AGE_S
        place = min(self._roster.duty_order(now_s), MAX_TAKEOVER_STEPS)
        return READ_INTERVAL_S - _TICK_S / 2 + TAKEOVER_STEP_S * place

    def _place(self, now_s: float) -> record_sources.MeshPosition:
        return record_sources.mesh_position(
            self._roster.own, self._roster.mesh(now_s).members.values()
        )

    def _is_behind(self) -> bool:
        return self._sources.is_behind(self._seen, self._view.era)

    def _verify_from_peer(self, marks: record_sources.RecordOffsets) -> None:
        """Verifies the view by an instance that has no newer changes."""
        operators_seen, servers_seen = self._seen
        if (
            marks.era == self._view.era
            and not self._view.is_between_eras
            and marks.operators <= operators_seen
            and marks.servers <= servers_seen
            and self._view.plan is not None
        ):
            self._verify(marks.verified_s)

    def _verify(self, at_s: float) -> None:
        if self._verified_s is None or at_s > self._verified_s:
            self._verified_s = at_s

    def _start_reading(
        self, source: record_sources.Source
    ) -> asyncio.Task[None]:
        if self._reading is None or self._reading.done():
            self._reading = owned_task.spawn(
                self._read(source), "site read", self._log
            )
        return self._reading

    async def _read(self, source: record_sources.Source) -> None:
        try:
            await self._read_from(source)
        except Exception:
            # The records count as unread; the next read brings them again.
            self._read_errors += 1
            self._store_reads.on_error()
            raise

    async def _read_from(self, source: record_sources.Source) -> None:
        before = self._marks
        if self._retaining_ip is not None:
            ip, self._retaining_ip = self._retaining_ip, None
            self._has_retained = await self._read_peer(ip, era=0)
        asks_peers_first = self._asks_peers_first()
        is_done = asks_peers_first and await self._read_peers()
        if not is_done and source is record_sources.Source.STORE:
            is_done = await self._read_store()
            if not is_done and not asks_peers_first:
                await self._read_peers()
        if before != self._marks:
            self._on_change()
        for marks in self._sources.marks:
            self._verify_from_peer(marks)

    def _asks_peers_first(self) -> bool:
        """Whether to ask other instances before the store.

        A member of the mesh that lacks no change reads the store at once: the
        instances whose heartbeats it receives were not verified later.
        """
        return (
            self._verified_s is None
            or self._is_behind()
            or self._roster.is_follower(self._clock())
        )

    async def _read_peers(self) -> bool:
        """Fetches changes from instances until the view is fresh.

        Returns:
            Whether the view is fresh now.
        """
        now_s = self._clock()
        found = self._sources.candidates(
            self._place(now_s), now_s, _MAX_PEERS_ASKED
        )
        for marks in found:
            if await self._read_peer(marks.ip) and self.is_fresh():
                return True
        return False

    async def _read_peer(self, ip: str, era: int | None = None) -> bool:
        view = self._view
        requested_s = self._clock()
        found = await self._peers.fetch(
            ip, view.era if era is None else era, *self._seen
        )
        if found is None or not await self._updater.merge_peer_records(
            found, requested_s
        ):
            return False
        self._store_reads.note_peer_era(ip, found.era)
        self._sources.on_read(
            self._seen, self._clock(), view.era, is_complete=False
        )
        self._verify(requested_s - found.verified_age_ms / 1000)
        return not self._is_behind()

    async def _read_store(self) -> bool:
        started_s = self._clock()
        if not await self._store_reads.read():
            return False
        self._verify(started_s)
        self._sources.on_read(
            self._seen, self._clock(), self._view.era, is_complete=True
        )
        self._on_store_read()
        return True
