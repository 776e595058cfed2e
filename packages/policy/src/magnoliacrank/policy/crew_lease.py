"""Lease under which a slot owner may dispatch, renewed by log or quorum.

A crew record says which crew members own which slots. An owner dispatches only
while its newest record is confirmed: by the log, or by more than half of the
members (itself included) that knew no newer record when they were asked. A
confirmation is valid for a fixed time from the moment of the request. Once a
newer record has reached so many members of the older crew that the rest are no
quorum, a new owner can therefore compute when the last owner under the older
record has stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliacrank.policy import slot_messages

_NEVER_S = float("-inf")
_MIN_QUORUM = 2


def quorum(member_count: int) -> int:
    """Returns how many members, the owner included, must confirm a record."""
    return max(_MIN_QUORUM, member_count // 2 + 1)


class CrewLease:
    """Lease of one instance on the newest crew record that it knows."""

    def __init__(
        self, own: slot_messages.InstanceIncarnation, confirmation_ttl_s: float
    ) -> None:
        """Starts with an expired lease.

        Args:
            own: This instance and its incarnation.
            confirmation_ttl_s: Seconds from a request for which the answer
                confirms the record.
        """
        self._own = own
        self._confirmation_ttl_s = confirmation_ttl_s
        self._others: frozenset[slot_messages.InstanceIncarnation] = frozenset()
        self._member_confirmed_s: dict[
            slot_messages.InstanceIncarnation, float
        ] = {}
        self._log_confirmed_s = _NEVER_S
        self._until_s = _NEVER_S

    @property
    def expires_s(self) -> float:
        """Monotonic time in seconds at which the lease ends.

        From then on the owner must not dispatch, until a new confirmation.
        """
        return self._until_s

    def set_members(
        self, members: Collection[slot_messages.InstanceIncarnation]
    ) -> None:
        """Changes to the members of a newer record.

        Confirmations from instances that remain members stay valid.
        """
        self._others = frozenset(members) - {self._own}
        self._member_confirmed_s = {
            owner: confirmed_s
            for owner, confirmed_s in self._member_confirmed_s.items()
            if owner in self._others
        }
        self._update_expiry()

    def confirm_by_log(self, asked_s: float) -> None:
        """Records that the log held no newer crew record.

        Args:
            asked_s: Monotonic time in seconds at which the log was asked.
        """
        self._log_confirmed_s = max(self._log_confirmed_s, asked_s)
        self._update_expiry()

    def confirm_by_member(
        self, sender: slot_messages.InstanceIncarnation, asked_s: float
    ) -> None:
        """Records that a member knew no newer crew record.

        Args:
            sender: The member; answers of other instances are ignored.
            asked_s: Monotonic time in seconds at which the member was asked.
        """
        if sender not in self._others:
            return
        earlier_s = self._member_confirmed_s.get(sender, _NEVER_S)
        self._member_confirmed_s[sender] = max(earlier_s, asked_s)
        self._update_expiry()

    def _update_expiry(self) -> None:
        """Recomputes the end of the lease."""
        confirmed_s = max(self._log_confirmed_s, self._quorum_confirmed_s())
        self._until_s = confirmed_s + self._confirmation_ttl_s

    def _quorum_confirmed_s(self) -> float:
        """Returns the latest time at which a quorum had no newer record."""
        others_needed = quorum(len(self._others) + 1) - 1
        confirmed_times_s = sorted(
            self._member_confirmed_s.values(), reverse=True
        )
        if len(confirmed_times_s) < others_needed:
            return _NEVER_S
        return confirmed_times_s[others_needed - 1]
