"""An older crew record whose owners may still use their slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import crew_trust

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.policy import crew_shares
    from magnoliacrank.policy import slot_messages


class FormerCrew:
    """What is known about the end of one older crew record.

    An owner that lost slots of a backend server is settled there when it
    says that it occupies no more than its newer share. The record as a whole
    is over some time after the newer one has reached so many members that
    the rest can't confirm the older one to each other.
    """

    def __init__(self, shares: crew_shares.CrewShares) -> None:
        """Starts with no member known to know a newer record.

        Args:
            shares: The older record.
        """
        self._shares = shares
        self._unaware = set(shares.members)
        self._quorum = crew_trust.quorum(len(shares.members))
        self._newer_s: float | None = None
        self._successor: ids.LogOffset | None = None
        self._unsettled: dict[ids.ServerId, set[slot_messages.Owner]] = {}

    @property
    def number(self) -> ids.LogOffset:
        """Number of the older record."""
        return self._shares.number

    @property
    def awaited(self) -> set[slot_messages.Owner]:
        """Members whose answer would bring the end nearer."""
        awaited: set[slot_messages.Owner] = set()
        awaited.update(*self._unsettled.values())
        if self._newer_s is None:
            awaited |= self._unaware
        return awaited

    def succeed(self, successor: crew_shares.CrewShares) -> None:
        """Works out who has to give something up under a newer record."""
        self._successor = successor.number
        self._unsettled = {}
        for server_id in self._shares.servers:
            losers = {
                owner
                for owner in self._shares.owners(server_id)
                if self._shares.share(owner, server_id)
                > successor.share(owner, server_id)
            }
            warmer = self._shares.steward(server_id)
            if warmer is not None and warmer != successor.steward(server_id):
                losers.add(warmer)
            if losers:
                self._unsettled[server_id] = losers

    def note_aware(self, owner: slot_messages.Owner, now_s: float) -> None:
        """Notes that a member knows a newer record."""
        self._unaware.discard(owner)
        if self._newer_s is None and len(self._unaware) < self._quorum:
            self._newer_s = now_s

    def note_settled(self, state: slot_messages.CrewState) -> None:
        """Notes where a member occupies no more than its newer share.

        What it says under a still newer record does not count here, since
        its share may have grown again there.
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
        """Returns whether no owner under this record uses its old share.

        Args:
            now_s: Monotonic time in seconds.
            wait_s: Seconds from the last possible confirmation until all
                work under the record has ended.
        """
        if not self._unsettled:
            return True
        if self._newer_s is None:
            return False
        return now_s >= self._newer_s + wait_s

    def is_steward(
        self, owner: slot_messages.Owner, server_id: ids.ServerId
    ) -> bool:
        """Returns whether no one else may still warm a backend server."""
        if server_id not in self._unsettled:
            return True
        return self._shares.steward(server_id) == owner

    def share_limit(
        self, owner: slot_messages.Owner, server_id: ids.ServerId
    ) -> int | None:
        """Returns the share that an owner must keep to, or None for any."""
        if server_id not in self._unsettled:
            return None
        return self._shares.share(owner, server_id)
