"""An older crew record whose owners may still use their slots."""

from __future__ import annotations

from magnoliacrank.model import crew as crew_model
from magnoliacrank.model import ids
from magnoliacrank.policy import crew_trust
from magnoliacrank.policy import slot_messages


def owners_of(
    crew: crew_model.Crew,
) -> dict[ids.InstanceId, slot_messages.Owner]:
    """Returns the members of a crew by name, as owners."""
    return {
        member.instance_id: slot_messages.Owner(
            member.instance_id, member.incarnation
        )
        for member in crew.members
    }


def share_of(
    crew: crew_model.Crew,
    owner: slot_messages.Owner,
    server_id: ids.ServerId,
) -> int:
    """Returns how many slots of a backend server a life owns."""
    if owners_of(crew).get(owner.instance_id) != owner:
        return 0
    return crew.shares.get(server_id, {}).get(owner.instance_id, 0)


class FormerCrew:
    """What is known about the end of one older crew record.

    An owner that lost slots of a backend server is settled there when it
    says that it occupies no more than its newer share. The record as a whole
    is over some time after the newer one has reached so many members that
    the rest can't confirm the older one to each other.
    """

    def __init__(self, crew: crew_model.Crew) -> None:
        """Starts with no member known to know a newer record.

        Args:
            crew: The older record.
        """
        self._crew = crew
        self._unaware = set(owners_of(crew).values())
        self._quorum = crew_trust.quorum(len(self._unaware))
        self._over_quorum_s: float | None = None
        self._successor = ids.LogOffset(-1)
        self._unsettled: dict[ids.ServerId, set[slot_messages.Owner]] = {}

    @property
    def number(self) -> ids.LogOffset:
        """Number of the older record."""
        return self._crew.number

    @property
    def awaited(self) -> set[slot_messages.Owner]:
        """Members whose answer would bring the end nearer."""
        unsettled = set[slot_messages.Owner]().union(*self._unsettled.values())
        if self._over_quorum_s is not None:
            return unsettled
        return unsettled | self._unaware

    def succeed(self, successor: crew_model.Crew) -> None:
        """Works out whose share fell under a newer record."""
        self._successor = successor.number
        self._unsettled = {}
        owners = owners_of(self._crew)
        for server_id, shares in self._crew.shares.items():
            losers = {
                owners[name]
                for name, count in shares.items()
                if name in owners
                and count > share_of(successor, owners[name], server_id)
            }
            if losers:
                self._unsettled[server_id] = losers

    def note_aware(self, owner: slot_messages.Owner, now_s: float) -> None:
        """Notes that a member knows a newer record."""
        self._unaware.discard(owner)
        if self._over_quorum_s is None and len(self._unaware) < self._quorum:
            self._over_quorum_s = now_s

    def note_settled(self, state: slot_messages.CrewState) -> None:
        """Notes where a member occupies no more than its newer share."""
        if state.crew_number < self._successor:
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
        if self._over_quorum_s is None:
            return False
        return now_s >= self._over_quorum_s + wait_s

    def share_limit(
        self, owner: slot_messages.Owner, server_id: ids.ServerId
    ) -> int | None:
        """Returns the share that an owner must keep to, or None for any."""
        if server_id not in self._unsettled:
            return None
        return share_of(self._crew, owner, server_id)
