"""CrewRoster: which instances live, and what follows for this one.

Load pattern: an instance is lost, frozen or stopped while requests arrive.
The crew of a data centre changes within a second, and every limit that has
one owner (a cold backend server) moves with it.
"""

from __future__ import annotations

import attrs

from magnoliacrank.policy import peer_fact
from magnoliacrank.policy import site_mesh

CREW_SILENCE_S = 0.7
"""Silence after which a member of the own data centre's mesh is left out; a
little over three heartbeats, so that two may be lost."""

MEMBER_SILENCE_S = 3.5
"""Silence after which a member of the mesh leaves out others; three
heartbeats. A follower allows it to members of the mesh, of which it hears once
a second."""

FOLLOWER_SILENCE_S = 11.0
"""Silence after which a follower leaves out another one; two heartbeats."""

FORGET_S = 60.0
"""Silence after which an instance is no longer sent heartbeats."""

_TOLD_S = 2.5
"""Time for which heartbeats tell of an instance that fell silent; two that go
to a follower."""

_HEARD_S = 1.2
"""Time since a heartbeat beyond which a member believes that its sender is
lost; a follower believes it after `_FOLLOWER_HEARD_S`."""

_FOLLOWER_HEARD_S = 0.3


@attrs.define
class _Member:
    fact: peer_fact.PeerFact
    heard_s: float


class CrewRoster:
    """Instances by name, with the time each was heard last.

    What follows from them is derived once, and kept until a member comes,
    goes, changes or falls silent.

    Args:
        own: Facts about this instance.
    """

    def __init__(self, own: peer_fact.PeerFact) -> None:
        self._own = own
        self._servers: dict[str, int] = {}
        self._members: dict[str, _Member] = {}
        self._addresses: dict[str, float] = {}
        self._mesh: site_mesh.SiteMesh | None = None
        self._left_out: set[str] = set()
        self._lost_s: dict[str, float] = {}
        self._valid_until_s = 0.0
        self._is_follower = False
        self._owners: dict[str, str | None] = {}

    @property
    def own(self) -> peer_fact.PeerFact:
        """Facts about this instance."""
        return self._own

    def set_own(self, own: peer_fact.PeerFact) -> None:
        """Replaces the facts about this instance."""
        if own != self._own:
            self._own = own
            self._mesh = None

    def set_servers(self, counts: dict[str, int]) -> None:
        """Sets the number of backend servers of each data centre.

        All instances know the same servers, so they agree on crew sizes.
        """
        if counts != self._servers:
            self._servers = counts
            self._mesh = None

    def introduce(self, ip: str, now_s: float) -> None:
        """Notes an address at which an instance may listen.

        Args:
            ip: IP address.
            now_s: Monotonic time in seconds.
        """
        if ip != self._own.ip:
            self._addresses[ip] = now_s

    def hear(self, fact: peer_fact.PeerFact, now_s: float) -> None:
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
        self._addresses[fact.ip] = now_s
        if known is not None and known.fact == fact:
            known.heard_s = now_s
            if fact.node not in self._left_out:
                return
        else:
            self._members[fact.node] = _Member(fact, now_s)
        self._mesh = None

    def vouch(self, now_s: float) -> None:
        """A neighbour sees the same mesh: members elsewhere live.

        Args:
            now_s: Monotonic time in seconds.
        """
        for node, fact in self.mesh(now_s).members.items():
            member = self._members.get(node)
            if member is not None and not self._is_local(fact):
                member.heard_s = now_s

    def adopt(
        self, facts: list[peer_fact.PeerFact], data_centre: str, now_s: float
    ) -> None:
        """Takes over another instance's list.

        Whoever was never heard counts as heard now; to one that is held for
        lost, only heartbeats are sent: two that tell each other of a lost one
        would keep it alive. A follower believes its neighbours' lists on
        other data centres, and a member of the mesh believes a list on who is
        lost in the data centre that it comes from.

        Args:
            facts: Neighbours of its sender, and the mesh that it sees.
            data_centre: Data centre of its sender.
            now_s: Monotonic time in seconds.
        """
        is_follower = self.is_follower(now_s)
        is_neighbour = data_centre == self._own.data_centre
        for fact in facts:
            is_believed = (
                is_follower and is_neighbour and not self._is_local(fact)
            )
            if fact.node not in self._members or is_believed:
                self.hear(fact, now_s)
            elif fact.node in self._left_out:
                self._members[fact.node].fact = fact
                self.introduce(fact.ip, now_s)
        listed = {fact.node for fact in facts}
        if is_neighbour and not is_follower:
            return
        for node, member in self._members.items():
            if node in listed or self._is_local(member.fact):
                continue
            is_lost = member.fact.data_centre == data_centre and (
                now_s - member.heard_s > CREW_SILENCE_S
            )
            if is_lost or (is_follower and is_neighbour):
                self._lose(member)

    def on_lost(self, nodes: list[str], now_s: float) -> None:
        """Takes in that a neighbour in the mesh no longer hears some others.

        Args:
            nodes: Names of instances of this data centre.
            now_s: Monotonic time in seconds.
        """
        limit_s = _FOLLOWER_HEARD_S if self.is_follower(now_s) else _HEARD_S
        for node in nodes:
            member = self._members.get(node)
            if member is not None and now_s - member.heard_s > limit_s:
                self._lose(member)

    def lost(self, now_s: float) -> list[str]:
        """Returns neighbours that fell silent a moment ago.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.mesh(now_s)
        return [
            node
            for node, lost_s in self._lost_s.items()
            if now_s - lost_s < _TOLD_S
        ]

    def mesh(self, now_s: float) -> site_mesh.SiteMesh:
        """Returns who carries traffic and duties.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._mesh is None or now_s > self._valid_until_s:
            self._mesh = self._derive(now_s)
        return self._mesh

    def alive(self, now_s: float) -> list[peer_fact.PeerFact]:
        """Returns the instances that can serve, this one included, by rank.

        Args:
            now_s: Monotonic time in seconds.
        """
        return [fact for fact in self.mesh(now_s).present if fact.can_serve]

    def crew(self, data_centre: str, now_s: float) -> list[peer_fact.PeerFact]:
        """Returns the instances that carry a data centre's traffic.

        Args:
            data_centre: Name of the data centre.
            now_s: Monotonic time in seconds.
        """
        return self.mesh(now_s).crew(data_centre)

    def whole_crew(self, now_s: float) -> list[peer_fact.PeerFact]:
        """Returns the crews of all data centres, by rank.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self.mesh(now_s).whole_crew()

    def serving(
        self, data_centre: str, now_s: float
    ) -> list[peer_fact.PeerFact]:
        """Returns the crew that callers of a data centre are sent to.

        One that just took the place of a lost one is named once its own
        heartbeats show that it knows.

        Args:
            data_centre: Name of the data centre.
            now_s: Monotonic time in seconds.
        """
        crew = self.crew(data_centre, now_s) or self.whole_crew(now_s)
        return [fact for fact in crew if fact.is_frequent] or crew

    def is_crew(self, now_s: float) -> bool:
        """Whether this instance carries traffic.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self._own in self.crew(self._own.data_centre, now_s)

    def is_follower(self, now_s: float) -> bool:
        """Whether this instance stands beside the mesh.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.mesh(now_s)
        return self._is_follower

    def is_alone(self, now_s: float) -> bool:
        """Whether no other instance is heard.

        Args:
            now_s: Monotonic time in seconds.
        """
        return all(
            fact.node == self._own.node for fact in self.mesh(now_s).present
        )

    def is_owner(self, server_id: str, data_centre: str, now_s: float) -> bool:
        """Whether this instance is the one that may use a cold server.

        Rendezvous hashing: a change of the crew moves only the servers of
        the instance that came or went.

        Args:
            server_id: Identity of the backend server.
            data_centre: Data centre of the backend server.
            now_s: Monotonic time in seconds.
        """
        mesh = self.mesh(now_s)
        if server_id not in self._owners:
            crew = mesh.crew(data_centre) or mesh.whole_crew()
            owner = max(
                crew,
                key=lambda fact: peer_fact.affinity(fact.node, server_id),
                default=None,
            )
            self._owners[server_id] = None if owner is None else owner.node
        return self._owners[server_id] == self._own.node

    def duty_order(self, now_s: float) -> int:
        """Returns this instance's place in line for singular duties, from 0.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self.mesh(now_s).duty_order(self._own.node)

    def unheard(self, now_s: float) -> list[str]:
        """Returns addresses that may belong to members, but are not heard.

        Args:
            now_s: Monotonic time in seconds.
        """
        for ip in list(self._addresses):
            if now_s - self._addresses[ip] > FORGET_S:
                del self._addresses[ip]
        mesh = self.mesh(now_s)
        heard = {fact.ip for fact in mesh.present}
        beside = {
            member.fact.ip
            for member in self._members.values()
            if not member.fact.is_frequent
        }
        return [
            ip for ip in self._addresses if ip not in heard and ip not in beside
        ]

    def _is_local(self, fact: peer_fact.PeerFact) -> bool:
        return fact.data_centre == self._own.data_centre

    def _lose(self, member: _Member) -> None:
        member.heard_s = float("-inf")
        self._mesh = None

    def _derive(self, now_s: float) -> site_mesh.SiteMesh:
        facts = [] if self._own.is_leaving else [self._own]
        before, self._left_out = self._left_out, set()
        valid_until_s = float("inf")
        for node, member in self._members.items():
            end_s = member.heard_s + self._silence_s(member.fact)
            if now_s > end_s:
                self._left_out.add(node)
                if node not in before and self._is_local(member.fact):
                    self._lost_s[node] = now_s
                continue
            self._lost_s.pop(node, None)
            valid_until_s = min(valid_until_s, end_s)
            if not member.fact.is_leaving:
                facts.append(member.fact)
        self._valid_until_s = valid_until_s
        self._owners = {}
        mesh = site_mesh.build(facts, self._servers)
        self._change_place(mesh, now_s)
        return mesh

    def _change_place(self, mesh: site_mesh.SiteMesh, now_s: float) -> None:
        was_follower = self._is_follower
        self._is_follower = self._own.node not in mesh.members
        if was_follower and not self._is_follower:
            # More of the neighbours' heartbeats arrive only from now on.
            for fact in mesh.present:
                if fact.node in self._members and self._is_local(fact):
                    self._members[fact.node].heard_s = now_s

    def _silence_s(self, fact: peer_fact.PeerFact) -> float:
        is_local = self._is_local(fact)
        return _SILENCE_S[self._is_follower, is_local, fact.is_frequent]


_SILENCE_S = {
    (False, True, True): CREW_SILENCE_S,
    (False, True, False): MEMBER_SILENCE_S,
    (False, False, True): MEMBER_SILENCE_S,
    (False, False, False): MEMBER_SILENCE_S,
    (True, True, True): MEMBER_SILENCE_S,
    (True, True, False): FOLLOWER_SILENCE_S,
    (True, False, True): MEMBER_SILENCE_S,
    (True, False, False): MEMBER_SILENCE_S,
}
"""Silence allowed, by whether the listener is a follower, whether the sender
is a neighbour, and whether the sender counts itself to the mesh."""
