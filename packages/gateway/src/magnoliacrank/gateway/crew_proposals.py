"""CrewProposals: which crew records this instance would append now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import crew
from magnoliacrank.model import server
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import service_directory
    from magnoliacrank.gateway import service_runtime
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance

_NO_CREW = -1


class CrewProposals:
    """Compares the crews in force with those that the members allow.

    Args:
        services: Services of this instance.
        peers: Live instances.
    """

    def __init__(
        self,
        services: service_directory.ServiceDirectory,
        peers: peer_directory.PeerDirectory,
    ) -> None:
        self._services = services
        self._peers = peers

    def due(self) -> Sequence[records.CrewRecord]:
        """Returns the records that are due."""
        live = [
            one
            for one in self._peers.members
            if one.state is server.ListedState.LIVE
            and self._services.lists.is_in(one.data_centre)
        ]
        found = (self._propose(one, live) for one in self._services.services)
        return [record for record in found if record is not None]

    def _propose(
        self,
        runtime: service_runtime.ServiceRuntime,
        live: Sequence[instance.EntryInstance],
    ) -> records.CrewRecord | None:
        servers = self._services.servers_of(runtime.name)
        members = tuple(
            crew.CrewMember(one.instance_id, one.incarnation, one.data_centre)
            for one in sorted(live, key=lambda each: each.instance_id)
        )
        if not members or not servers:
            return None
        shares = {one.server_id: _share(one, members) for one in servers}
        current = runtime.crew
        if current is not None and (
            current.members == members and current.shares == shares
        ):
            return None
        number = _NO_CREW if current is None else current.number
        return records.CrewRecord(runtime.name, number, members, shares)


def _share(
    backend: server.BackendServer, members: Sequence[crew.CrewMember]
) -> Mapping[ids.InstanceId, int]:
    near = [m for m in members if m.data_centre == backend.data_centre]
    owners = near or list(members)
    shares = {one.instance_id: 0 for one in owners}
    for index in range(backend.slots):
        shares[owners[index % len(owners)].instance_id] += 1
    return {name: count for name, count in shares.items() if count}
