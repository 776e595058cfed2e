"""An older crew record whose slot owners may still be dispatching."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import crew_lease

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.policy import crew_shares
    from magnoliacrank.policy import slot_messages


class FormerCrew:
    """Tracks when the owners under one older crew record stop using it.

    An owner that lost slots of a backend server is settled there once it
    states that it occupies no more than its new share. The record as a whole
    is over a fixed time after the newer one has reached so many members that
    the rest are too few to confirm the older one (`crew_lease.quorum`).
    """

    def __init__(self, shares: crew_shares.CrewShares) -> None:
        """Starts with all members unaware of a newer record.

        Args:
            shares: Slot owners under the older record.
        """
        self._shares = shares
        self._unaware = set(shares.members)
        self._quorum = crew_lease.quorum(len(shares.members))
        self._superseded_s: float | None = None
        self._successor: ids.LogOffset | None = None
        self._unsettled: dict[
            ids.ServerId, set[slot_messages.InstanceIncarnation]
        ] = {}

    @property
    def number(self) -> ids.LogOffset:
        """Log offset of the older record."""
        return self._shares.number

    @property
    def pending_members(self) -> set[slot_messages.InstanceIncarnation]:
        """Members whose answer to a check would help to end the record.

        These are the owners that aren't settled and, while the members unaware
        of a newer record are a quorum, those members.
        """
        pending_members: set[slot_messages.InstanceIncarnation] = set()
        pending_members.update(*self._unsettled.values())
        if self._superseded_s is None:
            pending_members |= self._unaware
        return pending_members

    def set_successor(self, successor: crew_shares.CrewShares) -> None:
        """Determines the owners that must give up slots under a newer record.

        Args:
            successor: Slot owners under the newest record.
        """
        self._successor = successor.number
        self._unsettled = {}
        for server_id in self._shares.servers:
            losers = {
                owner
                for owner in self._shares.owners(server_id)
                if self._shares.share(owner, server_id)
                > successor.share(owner, server_id)
            }
            former_warmup_owner = self._shares.warmup_owner(server_id)
            if (
                former_warmup_owner is not None
                and former_warmup_owner != successor.warmup_owner(server_id)
            ):
                losers.add(former_warmup_owner)
            if losers:
                self._unsettled[server_id] = losers

    def note_aware(
        self, owner: slot_messages.InstanceIncarnation, now_s: float
    ) -> None:
        """Records that a member knows a newer crew record."""
        self._unaware.discard(owner)
        if self._superseded_s is None and len(self._unaware) < self._quorum:
            self._superseded_s = now_s

    def note_settled(self, state: slot_messages.CrewState) -> None:
        """Records at which servers a member occupies no more than its share.

        A statement under another record than the newest one known here is
        ignored, since the member's share may have grown again under it.

        Args:
            state: The member's answer to a check.
        """
        if state.crew_number != self._successor:
            return
        over = set(state.over_share)
        for server_id in list(self._unsettled):
            if server_id in over:
                continue
            self._unsettled[server_id].discard(state.sender)
            if not self._unsettled[server_id]:
                del self._unsettled[server_id]

    def is_over(self, now_s: float, wait_s: float) -> bool:
        """Returns whether no owner can still use its share of this record.

        Args:
            now_s: Current monotonic time, in seconds.
            wait_s: Seconds from the last possible confirmation of the record
                until all work dispatched under it has ended.
        """
        if not self._unsettled:
            return True
        if self._superseded_s is None:
            return False
        return now_s >= self._superseded_s + wait_s

    def is_warmup_owner(
        self, owner: slot_messages.InstanceIncarnation, server_id: ids.ServerId
    ) -> bool:
        """Returns whether no other member may still use a cold server."""
        if server_id not in self._unsettled:
            return True
        return self._shares.warmup_owner(server_id) == owner

    def share_limit(
        self, owner: slot_messages.InstanceIncarnation, server_id: ids.ServerId
    ) -> int | None:
        """Returns the most slots that an owner may use until the record ends.

        Returns None if the record no longer restricts the backend server.
        """
        if server_id not in self._unsettled:
            return None
        return self._shares.share(owner, server_id)
