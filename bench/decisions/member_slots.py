"""One crew member's slot ledger with its messages, on virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.policy import crew_plan
from magnoliacrank.policy import crew_shares
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import slot_timing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from bench.decisions import clock
    from bench.decisions import size
    from magnoliacrank.model import server
    from magnoliacrank.policy import slot_hold

_INCARNATION = ids.Incarnation(1)
_PORT = 1
_TIMING = slot_timing.SlotTiming(longest_work_s=3.2)


def name_of(entry: int) -> ids.InstanceId:
    """Returns the name of an entry instance by its index."""
    return ids.InstanceId(f"e{entry:02d}")


def index_of(name: ids.InstanceId) -> int:
    """Returns the index of an entry instance by its name."""
    return int(name[1:])


def preferred(record: crew.Crew) -> frozenset[int]:
    """Returns the entry instances that callers are told to use."""
    return frozenset(
        index_of(one.instance_id) for one in crew_plan.preferred_members(record)
    )


def make_record(
    dimension: size.Size,
    servers: list[server.BackendServer],
    members: int,
) -> crew.Crew:
    """Returns a crew of the first entry instances, evenly spread."""
    centres = dimension.data_centres
    instances = [
        instance.EntryInstance(
            name_of(index),
            ids.DataCentre(centres[index % len(centres)]),
            "127.0.0.1",
            _PORT,
            _PORT,
            _INCARNATION,
        )
        for index in range(members)
    ]
    service = ids.ServiceName(dimension.name)
    chosen = crew_plan.pick_members(service, instances, members)
    shares = crew_plan.share_slots(servers, chosen)
    return crew.Crew(service, ids.LogOffset(0), chosen, shares)


class MemberSlots:
    """Takes, releases and borrows slots; sends what the ledger says."""

    def __init__(
        self,
        own: ids.InstanceId,
        record: crew.Crew,
        send: Callable[[str, object], None],
        time: clock.Clock,
    ) -> None:
        self._own = own
        self._send = send
        self._time = time
        self._record = record
        self._ledger = slot_ledger.SlotLedger(own, _INCARNATION, _TIMING)
        self._ledger.set_crew(record, time.now_s)
        self._ledger.heard_log(time.now_s)

    def drop_member(
        self, name: ids.InstanceId, servers: list[server.BackendServer]
    ) -> None:
        """Changes to a record without a member."""
        left = [o for o in self._record.members if o.instance_id != name]
        self._record = attrs.evolve(
            self._record,
            number=ids.LogOffset(self._record.number + 1),
            based_on=self._record.number,
            members=tuple(left),
            shares=crew_plan.share_slots(servers, left),
        )
        self._ledger.set_crew(self._record, self._time.now_s)
        self._ledger.heard_log(self._time.now_s)

    @property
    def preferred(self) -> frozenset[int]:
        """Entry instances that callers are told to use."""
        return preferred(self._record)

    @property
    def entry(self) -> int:
        """Index of the entry instance."""
        return index_of(self._own)

    @property
    def owner_names(self) -> Collection[ids.InstanceId]:
        """Names of the members that own slots."""
        owners = crew_plan.preferred_members(self._record)
        return [one.instance_id for one in owners]

    def forward_to(self, out: frozenset[str]) -> ids.InstanceId | None:
        """Returns who carries this member's calls, None for itself.

        Args:
            out: Data centres whose members carry none.
        """
        owners = [
            one
            for one in crew_plan.preferred_members(self._record)
            if one.data_centre not in out
        ]
        names = [one.instance_id for one in owners]
        if self._own in names or not owners:
            return None
        own = self._centre()
        near = [one.instance_id for one in owners if one.data_centre == own]
        return (near or names)[self.entry % len(near or names)]

    def _centre(self) -> ids.DataCentre:
        return next(
            one.data_centre
            for one in self._record.members
            if one.instance_id == self._own
        )

    @property
    def stewarded(self) -> list[ids.ServerId]:
        """Servers that this member warms and measures."""
        shares = crew_shares.CrewShares(self._record)
        own = slot_messages.Owner(self._own, _INCARNATION)
        return [one for one in shares.servers if shares.steward(one) == own]

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests a server can be given now."""
        return self._ledger.free(server_id, now_s)

    def take(
        self, server_id: ids.ServerId
    ) -> slot_hold.SlotHold | slot_hold.NoSlot:
        """Occupies a slot."""
        return self._ledger.take(server_id, self._time.now_s)

    def release(self, hold: slot_hold.SlotHold) -> None:
        """Frees a slot."""
        self._ledger.release(hold, self._time.now_s)

    def abandon(self, hold: slot_hold.SlotHold, until_s: float) -> None:
        """Keeps a slot until the server has stopped the work."""
        self._ledger.abandon(hold, self._time.now_s, until_s)

    def set_limit(
        self, server_id: ids.ServerId, limit: int, *, is_cold: bool
    ) -> None:
        """Changes what a server bears."""
        now_s = self._time.now_s
        self._ledger.set_limit(server_id, limit, is_cold=is_cold, now_s=now_s)

    def ask(
        self, wanted: tuple[slot_messages.SlotCount, ...], most: int
    ) -> None:
        """Asks other members for slots, no more than so many in sum."""
        server_ids = [slots.server_id for slots in wanted]
        now_s = self._time.now_s
        self._send_all(self._ledger.ask_loans(server_ids, most, now_s))

    def tick(self) -> None:
        """Does what is due; the log is read all the time."""
        now_s = self._time.now_s
        self._ledger.heard_log(now_s)
        self._send_all(self._ledger.tick(now_s))

    def on_message(self, message: object) -> None:
        """Takes in a message of another member's ledger."""
        now_s = self._time.now_s
        self._send_all(self._ledger.on_message(message, now_s))

    def _send_all(self, outgoing: list[slot_messages.Outgoing]) -> None:
        for one in outgoing:
            self._send(one.to, one.message)
