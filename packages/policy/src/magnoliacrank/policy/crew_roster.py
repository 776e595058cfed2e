"""CrewRoster: which instances live, and which of them carry the traffic.

Load pattern: an instance is lost, frozen or stopped while requests arrive.
The crew of a data centre changes within a second, and every limit that has
one owner (a cold backend server) moves with it.

Load pattern: a few large instances stand beside many small ones, and an upload
on a small one's link delays every request behind it. Callers spread evenly
over the crew, so it is made of the largest instances, as many as can each
carry an even share.
"""

from __future__ import annotations

import functools

import attrs
import xxhash

CREW_SILENCE_S = 0.7
"""Silence after which a member of a crew is left out; a little over three
heartbeats, so that two may be lost."""

MEMBER_SILENCE_S = 3.5
"""Silence after which another instance is left out; three heartbeats. It also
holds for crews of other data centres, which are heard more seldom."""

REMOTE_SILENCE_S = 7.0
"""Silence after which an instance beside the crew of another data centre is
left out; three heartbeats."""

FORGET_S = 60.0
"""Silence after which an instance is no longer sent heartbeats."""

MIN_CREW_SIZE = 2
"""Least instances that carry a data centre's traffic; one loss leaves one."""

SERVERS_PER_CORE = 20.0
"""Backend servers that one core's worth of crew serves. At 4 to 5 ms for each
request a core carries 200 to 250 requests a second, and twenty servers answer
about 200 at their usual load."""

LINK_MBPS_PER_CORE = 20.0
"""Link in Mbit/s that goes with a core's worth of requests. Of 200 requests a
second one in eleven is an upload of 60 KB: 9 Mbit/s each way, and as much
again so that uploads seldom wait for each other."""


@attrs.frozen
class PeerFact:
    """What one heartbeat says of its sender."""

    node: str
    """Name of the instance."""

    data_centre: str
    """Data centre in which it stands."""

    ip: str
    """IP address of the instance."""

    incarnation: int
    """Unix millisecond of its start."""

    is_ready: bool
    """Whether it can serve."""

    is_leaving: bool
    """Whether it is shutting down."""

    is_frequent: bool
    """Whether it sends heartbeats at the crew's rate."""

    capacity: float
    """Cores' worth of requests that it can carry."""


@attrs.define
class _Member:
    fact: PeerFact
    heard_s: float


def capacity(cores: float, link_mbps: float) -> float:
    """Returns the cores' worth of requests that an instance can carry.

    Args:
        cores: Processor, in cores of usual speed.
        link_mbps: Bandwidth of its link.
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


@functools.cache
def _hash(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode())


def _rank(fact: PeerFact) -> tuple[float, int]:
    return (-fact.capacity, _hash(fact.node))


def _weight(node: str, server_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}/{server_id}".encode())


class CrewRoster:
    """Instances by name, with the time each was heard last.

    Args:
        own: Facts about this instance.
    """

    def __init__(self, own: PeerFact) -> None:
        self._own = own
        self._servers: dict[str, int] = {}
        self._members: dict[str, _Member] = {}
        self._addresses: dict[str, float] = {}

    @property
    def own(self) -> PeerFact:
        """Facts about this instance."""
        return self._own

    def set_own(self, own: PeerFact) -> None:
        """Replaces the facts about this instance."""
        self._own = own

    def set_servers(self, counts: dict[str, int]) -> None:
        """Sets the number of backend servers of each data centre.

        All instances know the same servers, so they agree on crew sizes.
        """
        self._servers = counts

    def introduce(self, ip: str, now_s: float) -> None:
        """Notes an address at which an instance may listen.

        Args:
            ip: IP address.
            now_s: Monotonic time in seconds.
        """
        if ip != self._own.ip:
            self._addresses[ip] = now_s

    def hear(self, fact: PeerFact, now_s: float) -> None:
        """Takes in a heartbeat; one of an older incarnation is ignored.

        Args:
            fact: What it says of its sender.
            now_s: Monotonic time in seconds.
        """
        if fact.node == self._own.node:
            return
        known = self._members.get(fact.node)
        if (
            known
            and known.fact.incarnation > fact.incarnation
            and now_s - known.heard_s <= MEMBER_SILENCE_S
        ):
            # Beyond that time its clock was set back before it started anew.
            return
        self._members[fact.node] = _Member(fact, now_s)
        self._addresses[fact.ip] = now_s

    def recipients(self, number: int, now_s: float) -> list[str]:
        """Returns the addresses that a heartbeat goes to.

        Args:
            number: Number of the heartbeat; 0 goes to all.
            now_s: Monotonic time in seconds.
        """
        old = [
            ip
            for ip, heard_s in self._addresses.items()
            if now_s - heard_s > FORGET_S
        ]
        for ip in old:
            del self._addresses[ip]
        facts = {
            member.fact.ip: member.fact for member in self._members.values()
        }
        return [
            ip
            for ip in self._addresses
            if number % self._every(facts.get(ip)) == 0
        ]

    def alive(self, now_s: float) -> list[PeerFact]:
        """Returns the instances that can serve, this one included, by rank.

        Args:
            now_s: Monotonic time in seconds.
        """
        facts = [
            member.fact
            for member in self._members.values()
            if self._is_heard(member, now_s)
        ]
        facts.append(self._own)
        usable = [
            fact for fact in facts if fact.is_ready and not fact.is_leaving
        ]
        return sorted(usable, key=_rank)

    def crew(self, data_centre: str, now_s: float) -> list[PeerFact]:
        """Returns the instances that carry a data centre's traffic.

        Args:
            data_centre: Name of the data centre.
            now_s: Monotonic time in seconds.
        """
        return self._crew_of(self.alive(now_s), data_centre)

    def whole_crew(self, now_s: float) -> list[PeerFact]:
        """Returns the crews of all data centres, by rank.

        Args:
            now_s: Monotonic time in seconds.
        """
        alive = self.alive(now_s)
        places = {fact.data_centre for fact in alive}
        crew = [
            fact for place in places for fact in self._crew_of(alive, place)
        ]
        return sorted(crew, key=_rank)

    def is_crew(self, now_s: float) -> bool:
        """Whether this instance carries traffic.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self._own in self.crew(self._own.data_centre, now_s)

    def is_owner(self, server_id: str, data_centre: str, now_s: float) -> bool:
        """Whether this instance is the one that may use a cold server.

        Rendezvous hashing: a change of the crew moves only the servers of
        the instance that came or went.

        Args:
            server_id: Identity of the backend server.
            data_centre: Data centre of the backend server.
            now_s: Monotonic time in seconds.
        """
        alive = self.alive(now_s)
        crew = self._crew_of(alive, data_centre) or alive
        if not crew:
            return False
        owner = max(
            crew,
            key=lambda fact: _weight(fact.node, server_id),
        )
        return owner.node == self._own.node

    def duty_order(self, now_s: float) -> int:
        """Returns this instance's place in line for singular duties, from 0.

        The line runs against the ranks of the crews, so that an instance
        without traffic holds the duties where there is one.

        Args:
            now_s: Monotonic time in seconds.
        """
        own = _rank(self._own)
        return sum(_rank(fact) > own for fact in self.alive(now_s))

    def _is_heard(self, member: _Member, now_s: float) -> bool:
        is_local = member.fact.data_centre == self._own.data_centre
        limit_s = _SILENCE_S[is_local, member.fact.is_frequent]
        return now_s - member.heard_s <= limit_s

    def _every(self, fact: PeerFact | None) -> int:
        is_often = self._own.is_frequent
        if fact is None:
            return _EVERY[is_often, False, False]
        is_local = fact.data_centre == self._own.data_centre
        return _EVERY[is_often, is_local, fact.is_frequent]

    def _crew_of(
        self, alive: list[PeerFact], data_centre: str
    ) -> list[PeerFact]:
        local = [fact for fact in alive if fact.data_centre == data_centre]
        needed = self._servers.get(data_centre, 0) / SERVERS_PER_CORE
        for size in range(MIN_CREW_SIZE, len(local)):
            if size * local[size - 1].capacity >= needed:
                return local[:size]
        return local


_SILENCE_S = {
    (True, True): CREW_SILENCE_S,
    (True, False): MEMBER_SILENCE_S,
    (False, True): MEMBER_SILENCE_S,
    (False, False): REMOTE_SILENCE_S,
}
"""Silence allowed, by whether the sender is local and whether it is often."""

_EVERY = {
    (True, True, True): 1,
    (True, True, False): 1,
    (True, False, True): 2,
    (True, False, False): 5,
    (False, True, True): 1,
    (False, True, False): 1,
    (False, False, True): 2,
    (False, False, False): 2,
}
"""Which of an instance's heartbeats go to another, by whether its own are
often, whether the other is local, and whether the other's are often. Bytes
within a data centre are free; only directories there need to know at once."""
