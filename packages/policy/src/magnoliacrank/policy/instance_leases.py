"""InstanceLeases: which announced instances still renew their announcement.

Load pattern: an instance is lost for good, and its announcement stays in the
store. If it stayed in the instance list, it would count as a member that never
answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.model import instance

LEASE_S = 30.0
"""Time for which an instance stays listed after its last renewal."""

RENEWAL_S = 8.0
"""Interval of renewals; a lease spans three, so that two may be lost. For 112
instances this makes 14 writes a second, out of several hundred."""


@attrs.frozen
class _Renewal:
    position: tuple[int, ids.LogOffset]
    seen_s: float


class InstanceLeases:
    """Tracks the leases of announced instances by the reader's own clock.

    The clocks of instances differ, so a lease runs from the moment at which
    its renewal is first read here. After a start of the reader, every
    announcement gets a full lease.
    """

    def __init__(self) -> None:
        self._renewals: dict[ids.InstanceId, _Renewal] = {}

    def current(
        self, announced: Sequence[instance.Announcement], now_s: float
    ) -> tuple[instance.EntryInstance, ...]:
        """Returns the instances whose lease has not expired.

        Args:
            announced: All announcements in the store, as just read.
            now_s: Current monotonic time, in seconds.
        """
        renewals = {
            one.entry.instance_id: self._latest_renewal(one, now_s)
            for one in announced
        }
        self._renewals = renewals
        return tuple(
            one.entry
            for one in announced
            if now_s - renewals[one.entry.instance_id].seen_s <= LEASE_S
        )

    def _latest_renewal(
        self, one: instance.Announcement, now_s: float
    ) -> _Renewal:
        known = self._renewals.get(one.entry.instance_id)
        position = (one.era, one.renewal_offset)
        if known is not None and known.position >= position:
            return known
        return _Renewal(position, now_s)
