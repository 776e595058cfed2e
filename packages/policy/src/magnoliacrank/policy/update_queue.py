"""Queue of member updates to gossip with heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import member

if TYPE_CHECKING:
    from magnoliacrank.model import ids

_MAX_UPDATES = 16
_TRANSMISSIONS_PER_DOUBLING = 3


@attrs.define
class _Queued:
    update: member.MemberUpdate
    transmissions: int = 0


class UpdateQueue:
    """Returns each update a bounded number of times, least often sent first."""

    def __init__(self) -> None:
        self._queued: dict[ids.InstanceId, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: member.MemberUpdate) -> None:
        """Queues an update; it replaces a queued one about the same member."""
        self._queued[update.instance_id] = _Queued(update)

    def take(self, member_count: int) -> list[member.MemberUpdate]:
        """Returns the updates to send in one message.

        Args:
            member_count: Number of live members. Each update is sent a number
                of times that grows with the logarithm of this number.
        """
        if not self._queued:
            return []
        chosen = sorted(
            self._queued.values(), key=lambda one: one.transmissions
        )
        limit = _TRANSMISSIONS_PER_DOUBLING * math.ceil(
            math.log2(member_count + 1)
        )
        updates = []
        for queued in chosen[:_MAX_UPDATES]:
            updates.append(queued.update)
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self._queued[queued.update.instance_id]
        return updates
