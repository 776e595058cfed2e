"""SiteMesh: crews, stewards and duties, derived from who is alive.

The mesh is the crew of each data centre and one steward beside it. Members of
the mesh know each other by their own heartbeats; all other instances, the
followers, beat to their data centre's mesh, so that no heartbeat goes from all
to all.

Load pattern: a few large instances stand beside many small ones, and an upload
on a small one's link delays every request behind it. Callers spread evenly
over the crew, so it is made of the largest instances, as many as can each
carry an even share.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import xxhash

from magnoliacrank.policy import peer_fact

MIN_CREW_SIZE = 2
"""Least instances that carry a data centre's traffic; one loss leaves one."""

SERVERS_PER_CORE = 20.0
"""Backend servers that one core's worth of crew serves. At 4 to 5 ms for each
request a core carries 200 to 250 requests a second, and twenty servers answer
about 200 at their usual load."""

GUARDIANS = 2
"""Members of a crew that send an instance of their data centre the list of the
others; one loss leaves one."""


@attrs.frozen
class SiteMesh:
    """Who carries traffic and duties, as one instance sees it."""

    present: tuple[peer_fact.PeerFact, ...]
    """Instances that are heard and not leaving, by rank."""

    crews: Mapping[str, tuple[peer_fact.PeerFact, ...]]
    """Instances that carry the traffic of each data centre, by rank; those
    that are not ready yet stand last."""

    members: Mapping[str, peer_fact.PeerFact]
    """Members of the mesh by name."""

    duty_line: tuple[str, ...]
    """Names of the members in line for singular duties; stewards first, so
    that a lost holder cuts no request."""

    mark: int
    """Digest of the members; equal for instances that see the same mesh."""

    def crew(self, data_centre: str) -> list[peer_fact.PeerFact]:
        """Returns the crew of a data centre that is ready, by rank."""
        return [
            fact for fact in self.crews.get(data_centre, ()) if fact.is_ready
        ]

    def whole_crew(self) -> list[peer_fact.PeerFact]:
        """Returns the crews of all data centres that are ready, by rank."""
        found = [fact for place in self.crews for fact in self.crew(place)]
        return sorted(found, key=_rank)

    def guardians(self, fact: peer_fact.PeerFact) -> list[peer_fact.PeerFact]:
        """Returns the members of its crew that tell an instance of others.

        Args:
            fact: The instance.
        """
        crew = [
            member
            for member in self.crews.get(fact.data_centre, ())
            if member.node != fact.node
        ]
        crew.sort(
            key=lambda member: peer_fact.affinity(member.node, fact.node),
            reverse=True,
        )
        return crew[:GUARDIANS]

    def duty_order(self, node: str) -> int:
        """Returns an instance's place in line for duties, from 0.

        An instance beside the mesh comes after all members.

        Args:
            node: Name of the instance.
        """
        if node not in self.members:
            return len(self.duty_line)
        return self.duty_line.index(node)


def build(
    facts: list[peer_fact.PeerFact], servers: Mapping[str, int]
) -> SiteMesh:
    """Derives the mesh.

    Args:
        facts: Instances that are heard and not leaving.
        servers: Number of backend servers of each data centre.
    """
    present = sorted(facts, key=_rank)
    local: dict[str, list[peer_fact.PeerFact]] = {}
    for fact in present:
        local.setdefault(fact.data_centre, []).append(fact)
    crews: dict[str, tuple[peer_fact.PeerFact, ...]] = {}
    stewards = []
    for place, found in local.items():
        needed = servers.get(place, 0) / SERVERS_PER_CORE
        size = _crew_size(found, needed)
        crews[place] = tuple(found[:size])
        stewards += [fact for fact in found[size:] if fact.is_ready][-1:]
    carriers = [fact for crew in crews.values() for fact in crew]
    line = sorted(stewards, key=_rank, reverse=True)
    line += sorted(carriers, key=_rank, reverse=True)
    return SiteMesh(
        present=tuple(present),
        crews=crews,
        members={fact.node: fact for fact in line},
        duty_line=tuple(fact.node for fact in line),
        mark=_digest(line),
    )


def _crew_size(local: list[peer_fact.PeerFact], needed: float) -> int:
    for size in range(MIN_CREW_SIZE, len(local)):
        if size * local[size - 1].capacity >= needed:
            return size
    return len(local)


def _rank(fact: peer_fact.PeerFact) -> tuple[bool, float, int]:
    return fact.rank


def _digest(members: list[peer_fact.PeerFact]) -> int:
    rows = sorted(
        f"{fact.node}/{fact.incarnation}/{fact.is_ready:d}{fact.is_frequent:d}"
        for fact in members
    )
    return xxhash.xxh64_intdigest("\n".join(rows).encode()) >> 1
