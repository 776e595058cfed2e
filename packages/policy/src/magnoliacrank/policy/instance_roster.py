"""InstanceRoster: which instances are alive, and the mesh that they form.

The crew of a data centre is the set of instances that carry its traffic. The
mesh consists of all crews and a standby in each data centre (`site_mesh`);
instances outside the mesh are its followers.

Load pattern: an instance is lost, frozen or stopped while requests arrive.
The crew of its data centre changes within a second. Every limit that a single
instance enforces, such as that of a cold backend server, moves to another one
at the same time.
"""

from __future__ import annotations

import attrs

from magnoliacrank.policy import peer_status
from magnoliacrank.policy import site_mesh

CREW_TIMEOUT_S = 0.7
"""Heartbeat timeout between mesh members of one data centre; a little over
three heartbeats, so that two may be lost."""

MEMBER_TIMEOUT_S = 3.5
"""Heartbeat timeout that mesh members apply to followers and to other data
centres; three heartbeats. Followers apply it to mesh members, which send them
one heartbeat a second, and to other data centres."""

FOLLOWER_TIMEOUT_S = 11.0
"""Heartbeat timeout between followers of one data centre; two heartbeats."""

ADDRESS_TTL_S = 60.0
"""Time without a sign of an instance after which no heartbeats are sent to its
address any more."""

_LOST_REPORT_S = 2.5
"""Time for which heartbeats report a lost instance; within it, two heartbeats
go to each follower."""

_LOST_CONFIRM_S = 1.2
"""Time without a heartbeat of an instance after which a mesh member accepts
another instance's report that it is lost."""

_FOLLOWER_LOST_CONFIRM_S = 0.3
"""Like `_LOST_CONFIRM_S`, for a follower."""


@attrs.define
class _Member:
    fact: peer_status.PeerStatus
    last_heard_s: float


class InstanceRoster:
    """Failure detector and membership view of one instance.

    Keeps the newest facts about each instance and the time of its last
    heartbeat. The mesh is derived from these and cached until an instance
    joins, leaves, changes or exceeds its heartbeat timeout.

    "Local" instances and "neighbours" are those of this instance's data
    centre.

    Args:
        own: Facts about this instance, as its heartbeats state them.
    """

    def __init__(self, own: peer_status.PeerStatus) -> None:
        self._own = own
        self._servers: dict[str, int] = {}
        self._members: dict[str, _Member] = {}
        self._addresses: dict[str, float] = {}
        self._mesh: site_mesh.SiteMesh | None = None
        self._expired: set[str] = set()
        self._lost_at_s: dict[str, float] = {}
        self._valid_until_s = 0.0
        self._is_follower = False
        self._owners: dict[str, str | None] = {}

    @property
    def own(self) -> peer_status.PeerStatus:
        """Facts about this instance, as its heartbeats state them."""
        return self._own

    def set_own(self, own: peer_status.PeerStatus) -> None:
        """Replaces the facts about this instance after a change."""
        if own != self._own:
            self._own = own
            self._mesh = None

    def set_servers(self, counts: dict[str, int]) -> None:
        """Sets the number of backend servers of each data centre.

        The sizes of the crews depend on these counts. All instances see the
        same servers, so they agree on the sizes.

        Args:
            counts: Number of registered backend servers by data centre.
        """
        if counts != self._servers:
            self._servers = counts
            self._mesh = None

    def add_address(self, ip: str, now_s: float) -> None:
        """Adds an address to which heartbeats are sent until it expires.

        Args:
            ip: IP address of a possible instance.
            now_s: Current monotonic time, in seconds.
        """
        if ip != self._own.ip:
            self._addresses[ip] = now_s

    def record_heartbeat(
        self, fact: peer_status.PeerStatus, now_s: float
    ) -> None:
        """Records that an instance is alive.

        A heartbeat of an older incarnation is ignored until the newer one has
        timed out.

        Args:
            fact: Facts about the instance, from its heartbeat or from another
                instance's list.
            now_s: Current monotonic time, in seconds.
        """
        if fact.node == self._own.node:
            return
        known = self._members.get(fact.node)
        if (
            known
            and known.fact.incarnation > fact.incarnation
            and now_s - known.last_heard_s <= MEMBER_TIMEOUT_S
        ):
            # After the timeout a lower incarnation is accepted: it is a start
            # time, and the clock may have been set back before a restart.
            return
        self._addresses[fact.ip] = now_s
        if known is not None and known.fact == fact:
            known.last_heard_s = now_s
            if fact.node not in self._expired:
                return
        else:
            self._members[fact.node] = _Member(fact, now_s)
        self._mesh = None

    def confirm_remote_members(self, now_s: float) -> None:
        """Counts the mesh members of other data centres as alive now.

        A follower calls it when a mesh member of its data centre sends the
        digest of the same mesh, since followers get no heartbeats from other
        data centres.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        for node, fact in self.mesh(now_s).members.items():
            member = self._members.get(node)
            if member is not None and not self._is_local(fact):
                member.last_heard_s = now_s

    def merge_list(
        self,
        facts: list[peer_status.PeerStatus],
        data_centre: str,
        now_s: float,
    ) -> None:
        """Merges another instance's list of live instances.

        * A listed instance that is unknown here counts as alive now.
        * A listed instance that has timed out here stays lost, but is sent
          heartbeats. If a list revived it, two instances could keep a lost
          one alive by exchanging their lists.
        * A follower takes the state of other data centres from the lists of
          its own data centre: listed instances are alive, others are lost.
        * A list from another data centre proves the loss of instances there
          that it omits and that have been silent for `CREW_TIMEOUT_S`.

        Args:
            facts: Instances in the data centre of the list's sender, and the
                members of the mesh as that sender sees it.
            data_centre: Data centre of the list's sender.
            now_s: Current monotonic time, in seconds.
        """
        is_follower = self.is_follower(now_s)
        is_neighbour = data_centre == self._own.data_centre
        for fact in facts:
            is_trusted = (
                is_follower and is_neighbour and not self._is_local(fact)
            )
            if fact.node not in self._members or is_trusted:
                self.record_heartbeat(fact, now_s)
            elif fact.node in self._expired:
                self._members[fact.node].fact = fact
                self.add_address(fact.ip, now_s)
        listed = {fact.node for fact in facts}
        if is_neighbour and not is_follower:
            return
        for node, member in self._members.items():
            if node in listed or self._is_local(member.fact):
                continue
            is_lost = member.fact.data_centre == data_centre and (
                now_s - member.last_heard_s > CREW_TIMEOUT_S
            )
            if is_lost or (is_follower and is_neighbour):
                self._mark_lost(member)

    def on_lost_reports(self, nodes: list[str], now_s: float) -> None:
        """Processes reports of lost instances from a local mesh member.

        A report is accepted only if this instance has had no recent heartbeat
        from the reported one either.

        Args:
            nodes: Names of the instances reported as lost, which belong to
                this data centre.
            now_s: Current monotonic time, in seconds.
        """
        limit_s = (
            _FOLLOWER_LOST_CONFIRM_S
            if self.is_follower(now_s)
            else _LOST_CONFIRM_S
        )
        for node in nodes:
            member = self._members.get(node)
            if member is not None and now_s - member.last_heard_s > limit_s:
                self._mark_lost(member)

    def lost(self, now_s: float) -> list[str]:
        """Returns the names of local instances that were lost recently.

        Heartbeats report them to other instances of the data centre.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self.mesh(now_s)
        return [
            node
            for node, lost_s in self._lost_at_s.items()
            if now_s - lost_s < _LOST_REPORT_S
        ]

    def mesh(self, now_s: float) -> site_mesh.SiteMesh:
        """Returns the mesh of the instances that are alive now.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        if self._mesh is None or now_s > self._valid_until_s:
            self._mesh = self._build_mesh(now_s)
        return self._mesh

    def ready_instances(self, now_s: float) -> list[peer_status.PeerStatus]:
        """Returns the live instances that are ready, by rank.

        This instance is included if it is ready.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return [fact for fact in self.mesh(now_s).present if fact.can_serve]

    def crew(
        self, data_centre: str, now_s: float
    ) -> list[peer_status.PeerStatus]:
        """Returns the ready instances that carry a data centre's traffic.

        Args:
            data_centre: Name of the data centre.
            now_s: Current monotonic time, in seconds.
        """
        return self.mesh(now_s).crew(data_centre)

    def all_crews(self, now_s: float) -> list[peer_status.PeerStatus]:
        """Returns the ready members of all data centres' crews, by rank.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return self.mesh(now_s).all_crews()

    def advertised_crew(
        self, data_centre: str, now_s: float
    ) -> list[peer_status.PeerStatus]:
        """Returns the instances that callers of a data centre should use.

        These are the crew of the data centre, or those of all data centres if
        it has none. An instance that has just replaced a lost crew member is
        left out until its heartbeats state that it is in the mesh, unless no
        other would remain.

        Args:
            data_centre: Name of the data centre.
            now_s: Current monotonic time, in seconds.
        """
        crew = self.crew(data_centre, now_s) or self.all_crews(now_s)
        return [fact for fact in crew if fact.is_mesh_member] or crew

    def is_crew_member(self, now_s: float) -> bool:
        """Whether this instance is in the crew of its data centre.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return self._own in self.crew(self._own.data_centre, now_s)

    def is_follower(self, now_s: float) -> bool:
        """Whether this instance is a follower, that is, outside the mesh.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self.mesh(now_s)
        return self._is_follower

    def is_alone(self, now_s: float) -> bool:
        """Whether this instance knows no other live instance.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return all(
            fact.node == self._own.node for fact in self.mesh(now_s).present
        )

    def is_owner(self, server_id: str, data_centre: str, now_s: float) -> bool:
        """Whether this instance is the only one that may use a cold server.

        The owner is chosen by rendezvous hashing, so a change of the crew
        moves only the servers of the instance that joined or left.

        Args:
            server_id: Identity of the backend server.
            data_centre: Data centre of the backend server.
            now_s: Current monotonic time, in seconds.
        """
        mesh = self.mesh(now_s)
        if server_id not in self._owners:
            crew = mesh.crew(data_centre) or mesh.all_crews()
            owner = max(
                crew,
                key=lambda fact: peer_status.rendezvous_weight(
                    fact.node, server_id
                ),
                default=None,
            )
            self._owners[server_id] = None if owner is None else owner.node
        return self._owners[server_id] == self._own.node

    def duty_order(self, now_s: float) -> int:
        """Returns this instance's position in the duty order, from 0.

        The first instance performs the tasks that one instance does for all,
        such as reading the store; the next ones stand in for it.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return self.mesh(now_s).duty_order(self._own.node)

    def silent_addresses(self, now_s: float) -> list[str]:
        """Returns known addresses from which no heartbeats arrive.

        Instances there may have just started, or be cut off. Addresses of
        instances that last stated to be followers are left out.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        for ip in list(self._addresses):
            if now_s - self._addresses[ip] > ADDRESS_TTL_S:
                del self._addresses[ip]
        mesh = self.mesh(now_s)
        live_ips = {fact.ip for fact in mesh.present}
        follower_ips = {
            member.fact.ip
            for member in self._members.values()
            if not member.fact.is_mesh_member
        }
        return [
            ip
            for ip in self._addresses
            if ip not in live_ips and ip not in follower_ips
        ]

    def _is_local(self, fact: peer_status.PeerStatus) -> bool:
        return fact.data_centre == self._own.data_centre

    def _mark_lost(self, member: _Member) -> None:
        member.last_heard_s = float("-inf")
        self._mesh = None

    def _build_mesh(self, now_s: float) -> site_mesh.SiteMesh:
        facts = [] if self._own.is_leaving else [self._own]
        before, self._expired = self._expired, set()
        valid_until_s = float("inf")
        for node, member in self._members.items():
            expires_s = member.last_heard_s + self._timeout_s(member.fact)
            if now_s > expires_s:
                self._expired.add(node)
                if node not in before and self._is_local(member.fact):
                    self._lost_at_s[node] = now_s
                continue
            self._lost_at_s.pop(node, None)
            valid_until_s = min(valid_until_s, expires_s)
            if not member.fact.is_leaving:
                facts.append(member.fact)
        self._valid_until_s = valid_until_s
        self._owners = {}
        mesh = site_mesh.build(facts, self._servers)
        self._update_role(mesh, now_s)
        return mesh

    def _update_role(self, mesh: site_mesh.SiteMesh, now_s: float) -> None:
        was_follower = self._is_follower
        self._is_follower = self._own.node not in mesh.members
        if was_follower and not self._is_follower:
            # Neighbours send heartbeats at the mesh's rate only from now on,
            # so the shorter timeouts start now.
            for fact in mesh.present:
                if fact.node in self._members and self._is_local(fact):
                    self._members[fact.node].last_heard_s = now_s

    def _timeout_s(self, fact: peer_status.PeerStatus) -> float:
        is_local = self._is_local(fact)
        return _HEARTBEAT_TIMEOUTS_S[
            self._is_follower, is_local, fact.is_mesh_member
        ]


_HEARTBEAT_TIMEOUTS_S = {
    (False, True, True): CREW_TIMEOUT_S,
    (False, True, False): MEMBER_TIMEOUT_S,
    (False, False, True): MEMBER_TIMEOUT_S,
    (False, False, False): MEMBER_TIMEOUT_S,
    (True, True, True): MEMBER_TIMEOUT_S,
    (True, True, False): FOLLOWER_TIMEOUT_S,
    (True, False, True): MEMBER_TIMEOUT_S,
    (True, False, False): MEMBER_TIMEOUT_S,
}
"""Heartbeat timeout by whether the receiver is a follower, whether the sender
is in the receiver's data centre, and whether the sender states that it is in
the mesh."""
