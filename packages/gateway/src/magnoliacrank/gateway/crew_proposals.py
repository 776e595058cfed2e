"""CrewProposals: determines which services need a new crew record now.

The crew of a service is the set of instances that own its slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import crew_planner
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import service_directory
    from magnoliacrank.gateway import service_runtime
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


class CrewProposals:
    """Compares each service's crew with the live instances and servers.

    Args:
        own_id: Name of this instance.
        services: Services in the configuration, with their crews and servers.
        peers: Directory of the live instances.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own_id: ids.InstanceId,
        services: service_directory.ServiceDirectory,
        peers: peer_directory.PeerDirectory,
        clock: Callable[[], float],
    ) -> None:
        self._planner = crew_planner.CrewPlanner(own_id)
        self._services = services
        self._peers = peers
        self._clock = clock
        self._listed_count = 0

    def on_listing(self, listing: instance.LiveListing) -> None:
        """Updates the number of instances in the platform's instance list.

        Args:
            listing: Newest content of the instance list.
        """
        self._listed_count = len(listing.instances)

    def due_records(self) -> Sequence[records.CrewRecord]:
        """Returns the crew records that this instance should append now."""
        is_data_centre_in = (
            self._services.active_configuration.is_data_centre_in
        )
        live = [
            one
            for one in self._peers.members
            if is_data_centre_in(one.data_centre)
        ]
        out_count = len(self._peers.members) - len(live)
        candidates = crew_planner.Candidates(
            live=tuple(live), listed=max(0, self._listed_count - out_count)
        )
        found = (
            self._propose(one, candidates) for one in self._services.services
        )
        return [record for record in found if record is not None]

    def _propose(
        self,
        runtime: service_runtime.ServiceRuntime,
        candidates: crew_planner.Candidates,
    ) -> records.CrewRecord | None:
        need = crew_planner.CrewNeed(
            service=runtime.name,
            servers=self._services.active_servers_of(runtime.name),
            current=runtime.crew,
        )
        proposal = self._planner.propose(need, candidates, self._clock())
        if proposal is None:
            return None
        return records.CrewRecord(
            service=proposal.service,
            based_on=proposal.based_on,
            members=proposal.members,
            shares=proposal.shares,
        )
