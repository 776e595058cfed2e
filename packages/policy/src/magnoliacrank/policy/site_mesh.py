"""SiteMesh: crews, standbys and the duty order, derived from live instances.

The crew of a data centre is the set of instances that carry its traffic. The
mesh consists of the crew of each data centre and one further instance there,
the standby, which takes duties first. Members of the mesh exchange heartbeats
with each other. All other instances, the followers, exchange them mainly with
the mesh of their data centre, which avoids all-to-all heartbeats.

Load pattern: a site has a few large instances and many small ones, and an
upload on a small one's link delays every request behind it. Callers spread
their requests evenly over the crew. So the crew consists of the largest
instances, as few as can carry the load in equal shares.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import xxhash

from magnoliacrank.policy import peer_status

MIN_CREW_SIZE = 2
"""Minimum size of a crew; after one loss, one member remains."""

SERVERS_PER_CORE = 20.0
"""Backend servers per core of crew capacity. At 4 to 5 ms per request a core
carries 200 to 250 requests a second, and twenty servers answer about 200 at
their usual load."""

LIST_SENDERS_PER_INSTANCE = 2
"""Crew members that send an instance of their data centre the list of live
instances; after one loss, one remains."""


@attrs.frozen
class SiteMesh:
    """Crews, mesh members and duty order as one instance sees them."""

    present: tuple[peer_status.PeerStatus, ...]
    """Live instances that are not leaving, by rank."""

    crews: Mapping[str, tuple[peer_status.PeerStatus, ...]]
    """Instances that carry the traffic of each data centre, by rank; those
    that are not ready yet come last."""

    members: Mapping[str, peer_status.PeerStatus]
    """Members of the mesh by name."""

    duty_ranking: tuple[str, ...]
    """Names of the mesh members in the order in which they take duties (tasks
    that one instance does for all). Standbys come first, since the loss of one
    interrupts no requests."""

    mark: int
    """Hash of the mesh members; equal for instances that see the same mesh."""

    def crew(self, data_centre: str) -> list[peer_status.PeerStatus]:
        """Returns the ready members of a data centre's crew, by rank."""
        return [
            fact for fact in self.crews.get(data_centre, ()) if fact.is_ready
        ]

    def all_crews(self) -> list[peer_status.PeerStatus]:
        """Returns the ready members of all data centres' crews, by rank."""
        found = [fact for place in self.crews for fact in self.crew(place)]
        return sorted(found, key=_rank)

    def list_senders(
        self, fact: peer_status.PeerStatus
    ) -> list[peer_status.PeerStatus]:
        """Returns the crew members that send an instance the list of others.

        Args:
            fact: The instance that gets the list; the senders are in its data
                centre.
        """
        crew = [
            member
            for member in self.crews.get(fact.data_centre, ())
            if member.node != fact.node
        ]
        crew.sort(
            key=lambda member: peer_status.rendezvous_weight(
                member.node, fact.node
            ),
            reverse=True,
        )
        return crew[:LIST_SENDERS_PER_INSTANCE]

    def duty_order(self, node: str) -> int:
        """Returns an instance's position in the duty order, from 0.

        A follower gets the position after all mesh members.

        Args:
            node: Name of the instance.
        """
        if node not in self.members:
            return len(self.duty_ranking)
        return self.duty_ranking.index(node)


def build(
    facts: list[peer_status.PeerStatus], servers: Mapping[str, int]
) -> SiteMesh:
    """Returns the mesh that a set of live instances forms.

    Args:
        facts: Live instances that are not leaving.
        servers: Number of backend servers by data centre.
    """
    present = sorted(facts, key=_rank)
    local: dict[str, list[peer_status.PeerStatus]] = {}
    for fact in present:
        local.setdefault(fact.data_centre, []).append(fact)
    crews: dict[str, tuple[peer_status.PeerStatus, ...]] = {}
    standbys = []
    for place, found in local.items():
        needed = servers.get(place, 0) / SERVERS_PER_CORE
        size = _crew_size(found, needed)
        crews[place] = tuple(found[:size])
        standbys += [fact for fact in found[size:] if fact.is_ready][-1:]
    crew_members = [fact for crew in crews.values() for fact in crew]
    ranking = sorted(standbys, key=_rank, reverse=True)
    ranking += sorted(crew_members, key=_rank, reverse=True)
    return SiteMesh(
        present=tuple(present),
        crews=crews,
        members={fact.node: fact for fact in ranking},
        duty_ranking=tuple(fact.node for fact in ranking),
        mark=_digest(ranking),
    )


def _crew_size(local: list[peer_status.PeerStatus], needed: float) -> int:
    for size in range(MIN_CREW_SIZE, len(local)):
        if size * local[size - 1].capacity >= needed:
            return size
    return len(local)


def _rank(fact: peer_status.PeerStatus) -> tuple[bool, float, int]:
    return fact.rank


def _digest(members: list[peer_status.PeerStatus]) -> int:
    rows = sorted(
        f"{fact.node}/{fact.incarnation}/{fact.is_ready:d}{fact.is_mesh_member:d}"
        for fact in members
    )
    return xxhash.xxh64_intdigest("\n".join(rows).encode()) >> 1
