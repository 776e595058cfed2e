"""ViewUpdater: merges records into the view of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from magnoliacrank.entry import keyed_view
from magnoliacrank.entry import peer_records
from magnoliacrank.platform import operator_wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import site_view
    from magnoliacrank.platform import store_client
    from magnoliacrank.platform import store_records

_MAX_KEYS = 10
"""Longest list of keys in a log line."""


class RolloutStateStore(Protocol):
    """Holds the recorded states of rollouts."""

    async def load_states(self) -> bool:
        """Reads the states from the store, unless they are loaded.

        Returns:
            Whether the states are loaded now.
        """

    def adopt_states(self, rows: list[peer_records.StateRow]) -> None:
        """Uses the states that another instance has read, if none are loaded.

        Args:
            rows: Service, target version and state of each rollout.
        """


class ViewUpdater:
    """Merges what the store or other instances list, and starts eras.

    Args:
        view: View into which the records are merged.
        states: Recorded states of rollouts; loaded, if possible, before a
            rollout order is applied.
        log: Log for new eras of the store.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        states: RolloutStateStore,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._states = states
        self._log = log
        self._clock = clock

    async def merge_page(
        self, view: keyed_view.KeyedView, page: store_records.RecordPage
    ) -> None:
        """Merges records that the store returned in the view's era."""
        await self._prepare(view, page.records)
        self._apply(view, page.records)
        view.advance(page.next_offset)

    async def merge_listing(
        self, view: keyed_view.KeyedView, newest: store_client.NewestRecords
    ) -> None:
        """Merges a complete listing of a topic, and starts its era if new."""
        await self._prepare(view, newest.records)
        if newest.era == view.era:
            # A listing lacks values in between, which another instance may
            # know. Servers renew their entries too often to pass all on.
            self._apply(
                view,
                view.expand_listing(newest),
                are_changes=view is self._view.operators,
            )
        else:
            self._start_era(
                view,
                keyed_view.EraListing(newest.era, newest.records, newest.end),
            )
        view.advance(newest.end)

    async def merge_peer_records(
        self, found: peer_records.PeerRecords, asked_s: float
    ) -> bool:
        """Merges what another instance sent.

        Args:
            found: Its answer, which states when its view was verified.
            asked_s: Clock time of the request, in seconds.

        Returns:
            Whether the records were merged. They aren't if they are of an
            older era or malformed, or if the states of rollouts are unknown.
        """
        changes = peer_records.decode_changes(found.content)
        view = self._view
        if (
            changes is None
            or found.verified_age_ms < 0
            or found.era < max(view.operators.era, view.servers.era)
        ):
            return False
        operators = peer_records.from_rows(changes.operators, found.era)
        servers = peer_records.from_rows(changes.servers, found.era)
        topics = (
            (view.operators, operators, changes.operators_era),
            (view.servers, servers, changes.servers_era),
        )
        if any(
            topic.era < found.era and rows is None for topic, _, rows in topics
        ):
            return False
        if changes.states is not None:
            self._states.adopt_states(changes.states)
        if not await self._ensure_rollout_states(operators):
            return False
        await view.prepare_operators(operators)
        view.on_store_answer(asked_s - found.verified_age_ms / 1000)
        for topic, records, rows in topics:
            if rows is not None:
                self._start_era(
                    topic, peer_records.to_listing(records, rows, found.era)
                )
            else:
                self._apply(topic, records, are_changes=True)
        view.operators.note_seen(found.operators_mark)
        view.servers.note_seen(found.servers_mark)
        return True

    def settle(self) -> None:
        """Puts listed records in force whose keys weren't written again."""
        now_s = self._clock()
        for view in (self._view.operators, self._view.servers):
            due = view.due(now_s)
            if due:
                self._log.event(
                    "records not written again",
                    keys=sorted(record.key for record in due)[:_MAX_KEYS],
                    count=len(due),
                )
                self._apply(view, due)

    async def _prepare(
        self,
        view: keyed_view.KeyedView,
        records: Sequence[store_records.KeyedRecord],
    ) -> None:
        self._view.on_store_answer(self._clock())
        if view is self._view.operators:
            await self._ensure_rollout_states(records)
            await self._view.prepare_operators(records)

    async def _ensure_rollout_states(
        self, records: Iterable[store_records.KeyedRecord]
    ) -> bool:
        """Loads the recorded rollout states if records contain an order.

        An earlier process may have recorded the outcome of the order.

        Returns:
            False if the states are needed but can't be loaded.
        """
        has_order = any(
            record.value is not None
            and operator_wire.rollout_service(record.key) is not None
            for record in records
        )
        return not has_order or await self._states.load_states()

    def _start_era(
        self, view: keyed_view.KeyedView, listing: keyed_view.EraListing
    ) -> None:
        before = view.era
        is_rewound = before != listing.era and bool(view.values())
        if is_rewound:
            self._view.on_store_rewound()
        with view.starting_era(listing, self._clock()) as changed:
            self._apply_changed(view, changed)
        if is_rewound:
            self._log.event(
                "store read anew",
                era=listing.era,
                before=before,
                topic=self._name(view),
                changed=len(changed),
                held=len(view.held),
            )

    def _name(self, view: keyed_view.KeyedView) -> str:
        return "operators" if view is self._view.operators else "servers"

    def _apply(
        self,
        view: keyed_view.KeyedView,
        records: Iterable[store_records.KeyedRecord],
        *,
        are_changes: bool = False,
    ) -> None:
        with view.merging(records, are_changes=are_changes) as changed:
            self._apply_changed(view, changed)

    def _apply_changed(
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
