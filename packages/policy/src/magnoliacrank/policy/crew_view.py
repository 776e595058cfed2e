"""One instance's view of a service's crew: newest record and older ones.

A crew record names the instances that own the slots of a service's backend
servers. After a change, slots that an owner gains are usable only once their
former owners have stopped using them.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from magnoliacrank.model import ids
from magnoliacrank.policy import crew_lease
from magnoliacrank.policy import crew_shares
from magnoliacrank.policy import former_crew
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.policy import slot_timing

_NO_RECORD = ids.LogOffset(-1)
_NEVER_S = float("-inf")
_NOT_YET_S = float("inf")


class CrewView:
    """Crew records of one service as one incarnation of an instance knows them.

    There is a gap when the record before the newest one is unknown here, so
    that owners under unknown records may still be using slots. During a gap no
    slot is usable.
    """

    def __init__(
        self,
        own: slot_messages.InstanceIncarnation,
        timing: slot_timing.SlotTiming,
    ) -> None:
        """Starts without a record.

        Args:
            own: This instance and its incarnation.
            timing: Timeouts that all members share.
        """
        self._own = own
        self._timing = timing
        self._lease = crew_lease.CrewLease(own, timing.confirmation_ttl_s)
        self._shares: crew_shares.CrewShares | None = None
        self._former_crews: list[former_crew.FormerCrew] = []
        self._gap_until_s = _NEVER_S
        self._gap_number = _NO_RECORD
        self._gap_aware: set[slot_messages.InstanceIncarnation] = set()
        self._check_ids = itertools.count(1)
        self._check_sent_s: dict[int, float] = {}
        self._next_check_s = _NEVER_S

    @property
    def shares(self) -> crew_shares.CrewShares | None:
        """Slot owners under the newest record, or None before the first."""
        return self._shares

    @property
    def number(self) -> ids.LogOffset:
        """Log offset of the newest record, or -1 if there is none."""
        return _NO_RECORD if self._shares is None else self._shares.number

    @property
    def lease(self) -> crew_lease.CrewLease:
        """Lease on the newest record."""
        return self._lease

    @property
    def is_member(self) -> bool:
        """Whether the newest record names this incarnation as a member."""
        return self._shares is not None and self._own in self._shares.members

    def set_crew(self, crew: crew_model.Crew, now_s: float) -> bool:
        """Changes to a newer record.

        If the record that it replaced is unknown here, a gap begins. It ends a
        takeover time after a quorum of members knows the new record, or once a
        member states that no owner under an older record is left.

        Args:
            crew: The crew as read from the log.
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether the record is newer than the known ones.
        """
        if crew.number <= self.number:
            return False
        if crew.based_on != self.number:
            self._gap_until_s = _NOT_YET_S
            self._gap_number = crew.number
            self._gap_aware = set()
        if self._shares is not None:
            former = former_crew.FormerCrew(self._shares)
            former.note_aware(self._own, now_s)
            self._former_crews.append(former)
        self._shares = crew_shares.CrewShares(crew)
        for former in self._former_crews:
            former.set_successor(self._shares)
        self._lease.set_members(self._shares.members)
        self._start_gap_wait(now_s)
        return True

    def usable_share(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many of its slots this instance may use.

        These are the slots that it owns and no former owner can still use.
        """
        if self._shares is None or now_s < self._gap_until_s:
            return 0
        usable = self._shares.share(self._own, server_id)
        for former in self._former_crews:
            limit = former.share_limit(self._own, server_id)
            if limit is not None:
                usable = min(usable, limit)
        return usable

    def is_warmup_owner(self, server_id: ids.ServerId, now_s: float) -> bool:
        """Returns whether only this instance may use a cold backend server."""
        if self._shares is None or now_s < self._gap_until_s:
            return False
        if self._shares.warmup_owner(server_id) != self._own:
            return False
        return all(
            former.is_warmup_owner(self._own, server_id)
            for former in self._former_crews
        )

    def drop_expired(self, now_s: float) -> bool:
        """Drops older records that no owner uses any more, and ends a gap.

        Args:
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether more slots may have become usable.
        """
        wait_s = self._timing.takeover_wait_s
        former_crews = [
            f for f in self._former_crews if not f.is_over(now_s, wait_s)
        ]
        gap_ended = now_s >= self._gap_until_s > _NEVER_S
        is_changed = gap_ended or len(former_crews) < len(self._former_crews)
        self._former_crews = former_crews
        if gap_ended:
            self._gap_until_s = _NEVER_S
        return is_changed

    def on_crew_check(
        self,
        message: slot_messages.CrewCheck,
        over_share: tuple[ids.ServerId, ...],
        now_s: float,
    ) -> slot_messages.Outgoing:
        """Returns the answer to a member's check of the crew record.

        Args:
            message: The check.
            over_share: Backend servers of which this instance occupies more
                slots than its share.
            now_s: Current monotonic time, in seconds.
        """
        self._note_aware(message.sender, message.crew_number, now_s)
        state = slot_messages.CrewState(
            message.service,
            self._own,
            message.check_id,
            self.number,
            over_share,
            is_settled=not self._former_crews and now_s >= self._gap_until_s,
        )
        return slot_messages.Outgoing(message.sender.instance_id, state)

    def on_crew_state(
        self, message: slot_messages.CrewState, now_s: float
    ) -> None:
        """Processes the answer to a check that this instance sent."""
        asked_s = self._check_sent_s.get(message.check_id)
        if asked_s is not None and message.crew_number <= self.number:
            self._lease.confirm_by_member(message.sender, asked_s)
        self._note_aware(message.sender, message.crew_number, now_s)
        for former in self._former_crews:
            former.note_settled(message)
        is_known = self._gap_number <= message.crew_number <= self.number
        if message.is_settled and is_known:
            self._gap_until_s = min(self._gap_until_s, now_s)

    def due_checks(self, now_s: float) -> list[slot_messages.Outgoing]:
        """Returns the checks of the crew record that are due to be sent."""
        if self._shares is None or now_s < self._next_check_s:
            return []
        targets = self._check_targets(self._shares, now_s)
        if not targets:
            return []
        self._next_check_s = now_s + self._timing.check_interval_s
        check = slot_messages.CrewCheck(
            self._shares.service,
            self._own,
            next(self._check_ids),
            self._shares.number,
        )
        oldest_s = now_s - self._timing.confirmation_ttl_s
        self._check_sent_s = {
            check_id: asked_s
            for check_id, asked_s in self._check_sent_s.items()
            if asked_s >= oldest_s
        }
        self._check_sent_s[check.check_id] = now_s
        return [slot_messages.Outgoing(name, check) for name in targets]

    def _note_aware(
        self,
        sender: slot_messages.InstanceIncarnation,
        crew_number: ids.LogOffset,
        now_s: float,
    ) -> None:
        """Records the newest crew record that a member knows."""
        for former in self._former_crews:
            if crew_number > former.number:
                former.note_aware(sender, now_s)
        if crew_number >= self._gap_number:
            self._gap_aware.add(sender)
            self._start_gap_wait(now_s)

    def _start_gap_wait(self, now_s: float) -> None:
        """Sets the end of a gap once a quorum knows the newest record.

        By the end, the leases and all work of unknown owners have expired.
        """
        if self._gap_until_s != _NOT_YET_S or self._shares is None:
            return
        members = self._shares.members
        aware = members & (self._gap_aware | {self._own})
        needed = min(crew_lease.quorum(len(members)), len(members))
        if len(aware) >= needed:
            self._gap_until_s = now_s + self._timing.takeover_wait_s

    def _check_targets(
        self, shares: crew_shares.CrewShares, now_s: float
    ) -> list[ids.InstanceId]:
        """Returns the members to send a check to.

        These are members whose answer helps to end an older record. If this
        instance is a member, they are all members during a gap, or when the
        lease ends within half the time for which a confirmation is valid.
        """
        targets = {
            owner.instance_id
            for former in self._former_crews
            for owner in former.pending_members
        }
        left_s = self._lease.expires_s - now_s
        is_unconfirmed = left_s < self._timing.confirmation_ttl_s / 2
        is_in_gap = now_s < self._gap_until_s
        if self.is_member and (is_unconfirmed or is_in_gap):
            targets.update(owner.instance_id for owner in shares.members)
        targets.discard(self._own.instance_id)
        return sorted(targets)
