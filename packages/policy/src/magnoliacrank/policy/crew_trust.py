"""How long an owner may go on dispatching under its crew record.

A record is confirmed by the log, or by more than half of its members (the
owner included) that knew no newer one when they were asked. Each confirmation
counts from the moment of asking. A successor that knows that the newer record
has reached half of the older crew can therefore work out when the last owner
under the older record has stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliacrank.policy import slot_messages

_NEVER_S = float("-inf")
_LEAST_QUORUM = 2


def quorum(member_count: int) -> int:
    """Returns how many members, the owner included, confirm a record."""
    return max(_LEAST_QUORUM, member_count // 2 + 1)


class CrewTrust:
    """Confirmations of the newest crew record that an instance knows."""

    def __init__(self, own: slot_messages.Owner, silence_s: float) -> None:
        """Starts without confirmation.

        Args:
            own: Own life.
            silence_s: Seconds that one confirmation lasts.
        """
        self._own = own
        self._silence_s = silence_s
        self._others: frozenset[slot_messages.Owner] = frozenset()
        self._heard_s: dict[slot_messages.Owner, float] = {}
        self._log_s = _NEVER_S
        self._until_s = _NEVER_S

    @property
    def until_s(self) -> float:
        """Monotonic time in seconds from which on nothing is dispatched."""
        return self._until_s

    def set_members(self, members: Collection[slot_messages.Owner]) -> None:
        """Changes to a newer record; what was heard of its members stays."""
        self._others = frozenset(members) - {self._own}
        self._heard_s = {
            owner: heard_s
            for owner, heard_s in self._heard_s.items()
            if owner in self._others
        }
        self._update()

    def heard_log(self, asked_s: float) -> None:
        """Notes that the log held no newer record when it was asked."""
        self._log_s = max(self._log_s, asked_s)
        self._update()

    def heard_member(self, sender: slot_messages.Owner, asked_s: float) -> None:
        """Notes that a member knew no newer record when it was asked."""
        if sender not in self._others:
            return
        earlier_s = self._heard_s.get(sender, _NEVER_S)
        self._heard_s[sender] = max(earlier_s, asked_s)
        self._update()

    def _update(self) -> None:
        """Works out when the confirmations end."""
        confirmed_s = max(self._log_s, self._quorum_heard_s())
        self._until_s = confirmed_s + self._silence_s

    def _quorum_heard_s(self) -> float:
        """Returns since when a quorum is known to know no newer record."""
        others_needed = quorum(len(self._others) + 1) - 1
        heard_s = sorted(self._heard_s.values(), reverse=True)
        if len(heard_s) < others_needed:
            return _NEVER_S
        return heard_s[others_needed - 1]
