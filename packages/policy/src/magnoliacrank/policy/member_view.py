"""What one entry instance believes about all members, itself included."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import member
from magnoliacrank.policy import member_table
from magnoliacrank.policy import update_queue

if TYPE_CHECKING:
    from magnoliacrank.model import ids

_SUSPICION_S = 2.0


class MemberView:
    """Merges statements about members, and removes those that stay suspect.

    Statements about this instance that are not true are refuted. A removal
    that another member states is only noted, to be verified: each instance
    removes others on its own evidence, or after a suspicion that was not
    refuted.
    """

    def __init__(self, own: instance.EntryInstance, now_s: float) -> None:
        self._own_id = own.instance_id
        self._table = member_table.MemberTable()
        self._queue = update_queue.UpdateQueue()
        self._listed: dict[ids.InstanceId, instance.EntryInstance] = {}
        self._suspicion_ends_s: dict[ids.InstanceId, float] = {}
        self._unverified: dict[ids.InstanceId, member.MemberUpdate] = {}
        self._changed_s = now_s
        self._generation = 0
        self._is_changed = True
        self._is_push_wanted = False
        self._is_superseded = False
        self._put(_to_update(own), now_s)

    @property
    def own(self) -> member.MemberUpdate:
        """The statement of this instance about itself."""
        own = self._table.find(self._own_id)
        assert own is not None
        return own

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live members, this instance included, in order of name."""
        present = self.list_present()
        present.sort(key=lambda one: one.instance_id)
        return tuple(self._to_instance(one) for one in present)

    @property
    def digest(self) -> int:
        """Hash of the live members; equal views have equal digests."""
        return self._table.digest

    @property
    def changed_s(self) -> float:
        """Monotonic time in seconds of the last change of the members."""
        return self._changed_s

    @property
    def generation(self) -> int:
        """Counts the changes of who is live and no suspect."""
        return self._generation

    @property
    def is_superseded(self) -> bool:
        """Whether a later life under the same name is running."""
        return self._is_superseded

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns a live member, or None."""
        held = self._table.find(instance_id)
        if held is None or not held.is_present:
            return None
        return self._to_instance(held)

    def find_update(
        self, instance_id: ids.InstanceId
    ) -> member.MemberUpdate | None:
        """Returns the newest statement about a member, or None."""
        return self._table.find(instance_id)

    def find_address(
        self, instance_id: ids.InstanceId
    ) -> member.MemberAddress | None:
        """Returns where an instance is reached, member or not, or None."""
        held = self._table.find(instance_id)
        if held is not None and held.is_present:
            return held.address
        listed = self._listed.get(instance_id)
        if listed is not None:
            return _to_update(listed).address
        return held.address if held is not None else None

    def list_present(self) -> list[member.MemberUpdate]:
        """Returns the statements about the live members."""
        return self._table.list_present()

    def list_alive(self) -> list[member.MemberUpdate]:
        """Returns the statements about the live members, without suspects."""
        alive = member.MemberState.ALIVE
        return [one for one in self.list_present() if one.state is alive]

    def list_all(self) -> tuple[member.MemberUpdate, ...]:
        """Returns the statements about all members, removed ones too."""
        return tuple(self._table.list_all())

    def list_unheard(self) -> list[ids.InstanceId]:
        """Returns the listed instances that are no live members."""
        return [one for one in self._listed if not self.is_present(one)]

    def list_unverified(self) -> list[ids.InstanceId]:
        """Returns the live members that others have removed."""
        return list(self._unverified)

    def is_present(self, instance_id: ids.InstanceId) -> bool:
        """Returns whether an instance is a live member."""
        held = self._table.find(instance_id)
        return held is not None and held.is_present

    def is_alive(self, instance_id: ids.InstanceId) -> bool:
        """Returns whether an instance is a live member and no suspect."""
        held = self._table.find(instance_id)
        return held is not None and held.state is member.MemberState.ALIVE

    def is_known(
        self, instance_id: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether that life or a later one is a live member."""
        held = self._table.find(instance_id)
        if held is None or not held.is_present:
            return False
        return held.incarnation >= incarnation

    def update_listing(self, listing: instance.Listing) -> None:
        """Takes the platform's list; it adds hints, and removes nobody."""
        self._listed = {
            one.instance_id: one
            for one in listing.instances
            if one.instance_id != self._own_id
        }
        self._is_changed = True

    def apply(self, update: member.MemberUpdate, now_s: float) -> None:
        """Takes a statement of another member."""
        if update.instance_id == self._own_id:
            self._refute(update, now_s)
            return
        if not self._table.accepts(update):
            return
        is_removal = update.state is member.MemberState.REMOVED
        if is_removal and self.is_present(update.instance_id):
            self._unverified[update.instance_id] = update
            return
        self._put(update, now_s)

    def restate(
        self,
        now_s: float,
        *,
        state: member.MemberState = member.MemberState.ALIVE,
        is_leaving: bool = False,
    ) -> None:
        """Changes the statement of this instance about itself."""
        own = attrs.evolve(
            self.own,
            revision=self.own.revision + 1,
            state=state,
            is_leaving=is_leaving or self.own.is_leaving,
        )
        self._put(own, now_s)

    def suspect(self, instance_id: ids.InstanceId, now_s: float) -> None:
        """Begins the suspicion of a member that does not answer."""
        held = self._table.find(instance_id)
        if held is not None and held.state is member.MemberState.ALIVE:
            suspect = member.MemberState.SUSPECT
            self._put(attrs.evolve(held, state=suspect), now_s)

    def expire_suspicions(self, now_s: float) -> None:
        """Removes the members that stayed suspect for too long."""
        for instance_id, end_s in list(self._suspicion_ends_s.items()):
            held = self._table.find(instance_id)
            if now_s >= end_s and held is not None:
                removed = member.MemberState.REMOVED
                self._put(attrs.evolve(held, state=removed), now_s)

    def extend_suspicions(self, pause_s: float) -> None:
        """Gives suspects as much longer as this process was paused."""
        for instance_id in self._suspicion_ends_s:
            self._suspicion_ends_s[instance_id] += pause_s

    def take_updates(
        self, recipient: ids.InstanceId
    ) -> tuple[member.MemberUpdate, ...]:
        """Returns the statements to send along with a heartbeat.

        The first is the one about the recipient where it is not plainly
        alive, so that it has the chance to refute it.
        """
        updates = self._queue.take(self._table.present_count)
        about = self._unverified.get(recipient) or self._table.find(recipient)
        if about is not None and about.state is not member.MemberState.ALIVE:
            updates.insert(0, about)
        return tuple(updates)

    def take_push_wanted(self) -> bool:
        """Returns once after each news whether it shall be sent at once."""
        is_push_wanted = self._is_push_wanted
        self._is_push_wanted = False
        return is_push_wanted

    def take_changed(self) -> bool:
        """Returns once after each change whether the members changed."""
        is_changed = self._is_changed
        self._is_changed = False
        return is_changed

    def _refute(self, update: member.MemberUpdate, now_s: float) -> None:
        own = self.own
        if update.incarnation > own.incarnation:
            self._is_superseded = True
        elif update.incarnation < own.incarnation:
            self._queue.add(own)
        elif update.precedence > own.precedence:
            self._put(attrs.evolve(own, revision=update.revision + 1), now_s)

    def _put(self, update: member.MemberUpdate, now_s: float) -> None:
        was_present = self.is_present(update.instance_id)
        was_alive = self.is_alive(update.instance_id)
        kept = self._table.put(update)
        self._unverified.pop(kept.instance_id, None)
        if kept.state is not member.MemberState.REMOVED:
            # A removal is passed on in a SYNC only.
            self._queue.add(kept)
            self._is_push_wanted = True
        self._suspicion_ends_s.pop(kept.instance_id, None)
        if kept.state is member.MemberState.SUSPECT:
            self._suspicion_ends_s[kept.instance_id] = now_s + _SUSPICION_S
        if kept.is_present or was_present:
            self._changed_s = now_s
            self._is_changed = True
        self._generation += self.is_alive(kept.instance_id) != was_alive

    def _to_instance(
        self, update: member.MemberUpdate
    ) -> instance.EntryInstance:
        address = update.address
        assert address is not None
        state = server.ListedState.LIVE
        if update.is_leaving or self._is_listed_leaving(update):
            state = server.ListedState.LEAVING
        return instance.EntryInstance(
            update.instance_id,
            address.data_centre,
            address.host,
            address.http_port,
            address.peer_port,
            update.incarnation,
            state,
        )

    def _is_listed_leaving(self, update: member.MemberUpdate) -> bool:
        listed = self._listed.get(update.instance_id)
        return (
            listed is not None
            and listed.incarnation == update.incarnation
            and listed.state is server.ListedState.LEAVING
        )


def _to_update(one: instance.EntryInstance) -> member.MemberUpdate:
    address = member.MemberAddress(
        one.data_centre, one.host, one.http_port, one.peer_port
    )
    is_leaving = one.state is server.ListedState.LEAVING
    return member.MemberUpdate(
        one.instance_id,
        one.incarnation,
        0,
        member.MemberState.ALIVE,
        is_leaving,
        address,
    )
