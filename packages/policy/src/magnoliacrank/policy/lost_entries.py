"""LostEntries: entries that the instance list lacks in a new era of the store.

Failure: the store comes back from an older copy. Until instances and servers
have written their entries again, the list lacks some, and shows servers as live
that had announced their shutdown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import server
from magnoliacrank.policy import instance_leases
from magnoliacrank.policy import rewound_records

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance

_INSTANCE_WINDOW_S = 1.5 * instance_leases.RENEWAL_S
"""Seconds for which an instance stays listed without an entry."""

_SERVER_WINDOW_S = rewound_records.REWRITE_WINDOW_S["servers"]
"""Seconds for which a server stays listed as it was."""


class LostEntries:
    """Completes listings by what was known in the previous era."""

    def __init__(self) -> None:
        self._last: instance.Announcements | None = None
        self._instances: dict[ids.InstanceId, instance.Announcement] = {}
        self._servers: dict[ids.ServerId, server.BackendServer] = {}
        self._started_s = float("-inf")

    def complete(
        self, listed: instance.Announcements, now_s: float
    ) -> instance.Announcements:
        """Returns a listing with the entries that the store may have lost.

        Args:
            listed: Listing of the store.
            now_s: Current monotonic time, in seconds.
        """
        last = self._last
        if last is not None and listed.era > last.era:
            self._started_s = now_s
            self._instances = {
                one.entry.instance_id: one for one in last.instances
            }
            self._servers = {one.server_id: one for one in last.servers}
        if now_s >= self._started_s + _INSTANCE_WINDOW_S:
            self._instances = {}
        if now_s >= self._started_s + _SERVER_WINDOW_S:
            self._servers = {}
        found = self._merge(listed)
        self._last = found
        return found

    def _merge(self, listed: instance.Announcements) -> instance.Announcements:
        if not self._instances and not self._servers:
            return listed
        instances = {
            **self._instances,
            **{one.entry.instance_id: one for one in listed.instances},
        }
        servers = {
            **self._servers,
            **{one.server_id: self._later(one) for one in listed.servers},
        }
        return attrs.evolve(
            listed,
            instances=tuple(instances[key] for key in sorted(instances)),
            servers=tuple(servers[key] for key in sorted(servers)),
        )

    def _later(self, listed: server.BackendServer) -> server.BackendServer:
        """Returns the known entry of a server if it was leaving already."""
        known = self._servers.get(listed.server_id)
        if known is None or known.state is server.ListedState.LIVE:
            return listed
        return known
