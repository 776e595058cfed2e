"""Slots of one crew member, on virtual time.

The crew of a service is the set of entry instances that own the slots of its
backend servers. A slot is the right to run one request on a server at a time.
"""

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
    """Returns the name of an entry instance, given its index."""
    return ids.InstanceId(f"e{entry:02d}")


def index_of(name: ids.InstanceId) -> int:
    """Returns the index of an entry instance, given its name."""
    return int(name[1:])


def preferred_entries(record: crew.Crew) -> frozenset[int]:
    """Returns the entry instances that callers should use: the slot owners."""
    return frozenset(
        index_of(one.instance_id) for one in crew_plan.preferred_members(record)
    )


def make_record(
    service_size: size.Size,
    servers: list[server.BackendServer],
    members: int,
) -> crew.Crew:
    """Returns a crew of the first entry instances.

    Args:
        service_size: Service with its data centres.
        servers: Backend servers of the service.
        members: Number of entry instances, spread evenly over the data
            centres.
    """
    centres = service_size.data_centres
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
    service = ids.ServiceName(service_size.name)
    chosen = crew_plan.pick_members(service, instances, members)
    shares = crew_plan.assign_slots(servers, chosen)
    return crew.Crew(service, ids.LogOffset(0), chosen, shares)


class MemberSlots:
    """Slot ledger of one crew member, with the sending of its messages."""

    def __init__(
        self,
        own_id: ids.InstanceId,
        record: crew.Crew,
        send: Callable[[str, object], None],
        time: clock.Clock,
    ) -> None:
        self._own_id = own_id
        self._send = send
        self._time = time
        self._record = record
        self._ledger = slot_ledger.SlotLedger(own_id, _INCARNATION, _TIMING)
        self._ledger.set_crew(record, time.now_s)
        self._ledger.confirm_by_log(time.now_s)

    def drop_member(
        self, name: ids.InstanceId, servers: list[server.BackendServer]
    ) -> None:
        """Replaces the crew record by one without a lost member.

        Args:
            name: The lost member.
            servers: Backend servers whose slots are shared out anew.
        """
        left = [o for o in self._record.members if o.instance_id != name]
        self._record = attrs.evolve(
            self._record,
            number=ids.LogOffset(self._record.number + 1),
            based_on=self._record.number,
            members=tuple(left),
            shares=crew_plan.assign_slots(servers, left),
        )
        self._ledger.set_crew(self._record, self._time.now_s)
        self._ledger.confirm_by_log(self._time.now_s)

    @property
    def preferred_entries(self) -> frozenset[int]:
        """Entry instances that callers should use: the slot owners."""
        return preferred_entries(self._record)

    @property
    def entry(self) -> int:
        """Index of this member's entry instance."""
        return index_of(self._own_id)

    @property
    def owner_names(self) -> Collection[ids.InstanceId]:
        """Names of the members that own slots."""
        owners = crew_plan.preferred_members(self._record)
        return [one.instance_id for one in owners]

    def choose_forward_target(
        self, out: frozenset[str]
    ) -> ids.InstanceId | None:
        """Returns the slot owner to forward calls to, or None to keep them.

        A member that owns slots keeps its calls, and so does any member when
        there is no owner to forward to. Otherwise an owner in the member's own
        data centre is preferred.

        Args:
            out: Data centres whose members must not be forwarded to.
        """
        owners = [
            one
            for one in crew_plan.preferred_members(self._record)
            if one.data_centre not in out
        ]
        names = [one.instance_id for one in owners]
        if self._own_id in names or not owners:
            return None
        own = self._own_data_centre()
        near = [one.instance_id for one in owners if one.data_centre == own]
        return (near or names)[self.entry % len(near or names)]

    def _own_data_centre(self) -> ids.DataCentre:
        return next(
            one.data_centre
            for one in self._record.members
            if one.instance_id == self._own_id
        )

    @property
    def warmup_owned(self) -> list[ids.ServerId]:
        """Servers that this member probes and that only it uses while cold."""
        shares = crew_shares.CrewShares(self._record)
        own = slot_messages.InstanceIncarnation(self._own_id, _INCARNATION)
        return [
            one for one in shares.servers if shares.warmup_owner(one) == own
        ]

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests may be dispatched to a server now."""
        return self._ledger.free(server_id, now_s)

    def acquire(
        self, server_id: ids.ServerId
    ) -> slot_hold.SlotHold | slot_hold.NoSlot:
        """Takes a slot of a server; returns the reason if there is none."""
        return self._ledger.acquire(server_id, self._time.now_s)

    def release(self, hold: slot_hold.SlotHold) -> None:
        """Frees a slot whose request has ended."""
        self._ledger.release(hold, self._time.now_s)

    def abandon(self, hold: slot_hold.SlotHold, until_s: float) -> None:
        """Keeps the slot of an abandoned request while the server may run it.

        Args:
            hold: The slot.
            until_s: Virtual time in seconds by which the server has stopped
                the request.
        """
        self._ledger.abandon(hold, self._time.now_s, until_s)

    def set_limit(
        self, server_id: ids.ServerId, limit: int, *, is_cold: bool
    ) -> None:
        """Sets the concurrency limit of a server over all members."""
        now_s = self._time.now_s
        self._ledger.set_limit(server_id, limit, is_cold=is_cold, now_s=now_s)

    def request_loans(
        self, slots_to_borrow: tuple[slot_messages.SlotCount, ...], most: int
    ) -> None:
        """Asks another member to lend slots.

        Args:
            slots_to_borrow: Slots that would be useful, by backend server.
            most: Largest number of slots to borrow in total.
        """
        server_ids = [slots.server_id for slots in slots_to_borrow]
        now_s = self._time.now_s
        self._send_all(self._ledger.ask_loans(server_ids, most, now_s))

    def tick(self) -> None:
        """Does periodic work; the log counts as read up to now."""
        now_s = self._time.now_s
        self._ledger.confirm_by_log(now_s)
        self._send_all(self._ledger.tick(now_s))

    def on_message(self, message: object) -> None:
        """Handles a message from the ledger of another member."""
        now_s = self._time.now_s
        self._send_all(self._ledger.on_message(message, now_s))

    def _send_all(self, outgoing: list[slot_messages.Outgoing]) -> None:
        for one in outgoing:
            self._send(one.to, one.message)
