"""Membership view of one entry instance: all members, itself included."""

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

_SUSPICION_TIMEOUT_S = 2.0


class MemberView:
    """Merges gossiped updates and removes members that stay suspect.

    Untrue updates about this instance are refuted by an update with a higher
    revision. A removal by another instance is not applied but marked for
    verification by a probe: an instance removes a member only after a
    suspicion that was not refuted in time.
    """

    def __init__(self, own: instance.EntryInstance, now_s: float) -> None:
        self._own_id = own.instance_id
        self._table = member_table.MemberTable()
        self._queue = update_queue.UpdateQueue()
        self._listed: dict[ids.InstanceId, instance.EntryInstance] = {}
        self._suspicion_deadlines_s: dict[ids.InstanceId, float] = {}
        self._unverified: dict[ids.InstanceId, member.MemberUpdate] = {}
        self._changed_s = now_s
        self._generation = 0
        self._is_changed = True
        self._is_push_wanted = False
        self._is_superseded = False
        self._put(_to_update(own), now_s)

    @property
    def own(self) -> member.MemberUpdate:
        """This instance's update about itself."""
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
        """Hash of the live members, to compare the views of two instances."""
        return self._table.digest

    @property
    def changed_s(self) -> float:
        """Monotonic time in seconds of the last change of the live members."""
        return self._changed_s

    @property
    def generation(self) -> int:
        """Number of changes so far of the set of live, unsuspected members."""
        return self._generation

    @property
    def is_superseded(self) -> bool:
        """Whether a later incarnation of this instance is running."""
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
        """Returns the newest update about a member, live or not, or None."""
        return self._table.find(instance_id)

    def find_address(
        self, instance_id: ids.InstanceId
    ) -> member.MemberAddress | None:
        """Returns the address of an instance, or None if it is unknown.

        For an instance that is no live member, it is the address in the
        platform's list, else the last one it had as a member.
        """
        held = self._table.find(instance_id)
        if held is not None and held.is_present:
            return held.address
        listed = self._listed.get(instance_id)
        if listed is not None:
            return _to_update(listed).address
        return held.address if held is not None else None

    def list_present(self) -> list[member.MemberUpdate]:
        """Returns the newest updates about the live members."""
        return self._table.list_present()

    def list_alive(self) -> list[member.MemberUpdate]:
        """Returns the newest updates about live members that aren't suspect."""
        alive = member.MemberState.ALIVE
        return [one for one in self.list_present() if one.state is alive]

    def list_all(self) -> tuple[member.MemberUpdate, ...]:
        """Returns the newest updates about all members, removed ones too."""
        return tuple(self._table.list_all())

    def list_missing(self) -> list[ids.InstanceId]:
        """Returns instances of the platform's list that aren't live members."""
        return [one for one in self._listed if not self.is_present(one)]

    def list_unverified(self) -> list[ids.InstanceId]:
        """Returns members that are live here but that others have removed."""
        return list(self._unverified)

    def is_present(self, instance_id: ids.InstanceId) -> bool:
        """Returns whether an instance is a live member."""
        held = self._table.find(instance_id)
        return held is not None and held.is_present

    def is_alive(self, instance_id: ids.InstanceId) -> bool:
        """Returns whether an instance is a live member and not suspect."""
        held = self._table.find(instance_id)
        return held is not None and held.state is member.MemberState.ALIVE

    def is_known(
        self, instance_id: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether an incarnation, or a later one, is a live member."""
        held = self._table.find(instance_id)
        if held is None or not held.is_present:
            return False
        return held.incarnation >= incarnation

    def update_listing(self, listing: instance.LiveListing) -> None:
        """Replaces the platform's list of instances.

        The list adds addresses to probe and marks members as leaving. It
        neither adds nor removes members.
        """
        self._listed = {
            one.instance_id: one
            for one in listing.instances
            if one.instance_id != self._own_id
        }
        self._is_changed = True

    def apply(self, update: member.MemberUpdate, now_s: float) -> None:
        """Merges an update received from another instance."""
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

    def update_own(
        self,
        now_s: float,
        *,
        state: member.MemberState = member.MemberState.ALIVE,
        is_leaving: bool = False,
    ) -> None:
        """Replaces this instance's update about itself.

        Args:
            now_s: Current monotonic time, in seconds.
            state: New state of this instance.
            is_leaving: Whether it takes no new work; once set, it stays set.
        """
        own = attrs.evolve(
            self.own,
            revision=self.own.revision + 1,
            state=state,
            is_leaving=is_leaving or self.own.is_leaving,
        )
        self._put(own, now_s)

    def suspect(self, instance_id: ids.InstanceId, now_s: float) -> None:
        """Marks a live member that does not answer probes as suspect."""
        held = self._table.find(instance_id)
        if held is not None and held.state is member.MemberState.ALIVE:
            suspect = member.MemberState.SUSPECT
            self._put(attrs.evolve(held, state=suspect), now_s)

    def expire_suspicions(self, now_s: float) -> None:
        """Removes the members that did not refute a suspicion in time."""
        for instance_id, end_s in list(self._suspicion_deadlines_s.items()):
            held = self._table.find(instance_id)
            if now_s >= end_s and held is not None:
                removed = member.MemberState.REMOVED
                self._put(attrs.evolve(held, state=removed), now_s)

    def extend_suspicions(self, pause_s: float) -> None:
        """Extends the deadlines of all suspicions after a pause.

        Args:
            pause_s: Seconds for which this process was paused, in which it
                could receive no refutation.
        """
        for instance_id in self._suspicion_deadlines_s:
            self._suspicion_deadlines_s[instance_id] += pause_s

    def take_updates(
        self, recipient: ids.InstanceId
    ) -> tuple[member.MemberUpdate, ...]:
        """Returns the updates to send along with a heartbeat.

        An update that states that the recipient is suspect or not live comes
        first, so that the recipient can refute it.
        """
        updates = self._queue.take(self._table.present_count)
        about = self._unverified.get(recipient) or self._table.find(recipient)
        if about is not None and about.state is not member.MemberState.ALIVE:
            updates.insert(0, about)
        return tuple(updates)

    def take_push_wanted(self) -> bool:
        """Returns whether there are updates to push, and clears the flag."""
        is_push_wanted = self._is_push_wanted
        self._is_push_wanted = False
        return is_push_wanted

    def take_changed(self) -> bool:
        """Returns whether the members have changed, and clears the flag."""
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
            # Other instances verify a removal by probes of their own, so it is
            # sent in a SYNC only.
            self._queue.add(kept)
            self._is_push_wanted = True
        self._suspicion_deadlines_s.pop(kept.instance_id, None)
        if kept.state is member.MemberState.SUSPECT:
            self._suspicion_deadlines_s[kept.instance_id] = (
                now_s + _SUSPICION_TIMEOUT_S
            )
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
