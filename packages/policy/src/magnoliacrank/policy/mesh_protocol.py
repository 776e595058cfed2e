"""MeshProtocol: recipients of an instance's heartbeats and lists.

The mesh consists of the instances that carry traffic (the crews) and a standby
in each data centre (`site_mesh`); all other instances are followers.
"Neighbours" are instances of the same data centre.

Load pattern: hundreds of instances, of which many are lost or started within
a second. There are no all-to-all heartbeats. Members of the mesh send
heartbeats to each other and to their neighbours; followers send them to their
data centre's mesh and, at a lower rate, to each other. A heartbeat carries a
digest of the mesh as its sender sees it, and names the neighbours that the
sender has just lost. A mesh member that sees another mesh than the sender may
answer with a list of instances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import peer_status
    from magnoliacrank.policy import site_mesh

MESH_INTERVAL_S = 0.2
"""Interval of a mesh member's heartbeats; `instance_roster.CREW_TIMEOUT_S`
spans three."""

FOLLOWER_INTERVAL_S = 1.0
"""Interval of a follower's heartbeats."""

NO_DIGEST = 0
"""Value sent in place of a digest to ask the receiver for a list."""

_REMOTE_EVERY_N = 5
"""One in this many heartbeats of a mesh member goes to other data centres."""

_STORE_READER_REMOTE_EVERY_N = 2
"""Like `_REMOTE_EVERY_N`, for the instance that reads the store. Its heartbeats
prove to all others that their records are up to date."""

_STORE_READER_S = 1.5
"""Time after a read of the store for which an instance counts as the reader;
spans two read intervals."""

_FOLLOWERS_EVERY_N = 5
"""One in this many heartbeats of any instance goes to its data centre's
followers."""

_SEEDS_EVERY_N = 25
"""One in this many heartbeats of a mesh member goes to the seeds that are not
known to be alive, so that groups which started separately find each other."""

_MIN_LIST_INTERVAL_S = 1.0
"""Minimum time between two lists to the same instance."""

_MIN_JOIN_LIST_INTERVAL_S = 0.15
"""Like `_MIN_LIST_INTERVAL_S`, if the instance asks for a list, or while this
one is still discovering others."""

_STABLE_MESH_S = 0.2
"""Time without a change of members after which the mesh counts as stable.
While hundreds of instances start together, a list sent earlier would be
outdated at once."""

_MAX_JOIN_DELAY_S = 0.6
"""Time after which a joining instance gets a list even if the mesh isn't
stable."""

_JOIN_TIMEOUT_S = 1.5
"""Time after the start for which an instance waits for a list from its seeds
or neighbours; then it relies on the heartbeats that it has received."""

_ISOLATION_TIMEOUT_S = 3.5
"""Time without any other live instance after which an instance concludes that
it is the only one; three heartbeats from other data centres."""

_ALL_SEEDS_HEARTBEATS = 3
"""Number of a joining instance's first heartbeats that go to all seeds; each
later one goes to one seed, in turn."""

_DISCOVERY_S = 3.0
"""Time after the start in which each heartbeat of a mesh member also goes to
the seeds and to other data centres, and lists are sent at the higher rate."""


class MeshProtocol:
    """Decides to whom one instance sends heartbeats and lists of instances.

    The caller sends and receives the messages; this class holds no socket.

    Args:
        roster: Membership view of this instance.
        seeds: IP addresses of instances to contact at the start.
        started_s: Monotonic time in seconds at which this instance started.
    """

    def __init__(
        self,
        roster: instance_roster.InstanceRoster,
        seeds: Sequence[str],
        started_s: float,
    ) -> None:
        self._roster = roster
        self._seeds = [ip for ip in seeds if ip != roster.own.ip]
        self._is_seed = roster.own.ip in seeds
        self._is_joining = bool(seeds) and not self._is_seed
        self._has_list = False
        self._started_s = started_s
        self._known_members: set[str] = set()
        self._members_changed_s = float("-inf")
        self._sent_digest = NO_DIGEST
        self._list_requested_s: dict[str, float] = {}
        self._list_sent_s: dict[str, float] = {}
        self._store_read_s = float("-inf")
        self._isolated_since_s: float | None = started_s

    def is_member(self, now_s: float) -> bool:
        """Whether this instance regards itself as a member of the mesh.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return not self._is_join_phase(now_s) and not self._roster.is_follower(
            now_s
        )

    def knows_mesh(self, now_s: float) -> bool:
        """Whether this instance's view of the mesh can be relied on.

        An instance that has just started, or was suspended, knows no live peer
        for a moment and would take itself for the owner of every server.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self._update_isolation(now_s)
        if self._isolated_since_s is not None:
            return now_s - self._isolated_since_s >= _ISOLATION_TIMEOUT_S
        return self.mark(now_s) != NO_DIGEST

    def mark(self, now_s: float) -> int:
        """Returns the digest of the mesh to send in a heartbeat.

        An instance that has just started sends `NO_DIGEST`, to ask for a list.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        is_new = not self._has_list and self._age_s(now_s) < _JOIN_TIMEOUT_S
        if self._is_join_phase(now_s) or is_new:
            return NO_DIGEST
        return self._roster.mesh(now_s).mark

    def interval_s(self, now_s: float) -> float:
        """Returns the time until the next heartbeat.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        is_new = self.mark(now_s) == NO_DIGEST
        if is_new or not self._roster.is_follower(now_s):
            return MESH_INTERVAL_S
        return FOLLOWER_INTERVAL_S

    def recipients(self, number: int, now_s: float) -> list[str]:
        """Returns the addresses that a heartbeat goes to.

        Args:
            number: Number of the heartbeat since the last change that had to
                be sent at once; number 0 goes to all recipients.
            now_s: Current monotonic time, in seconds.
        """
        mesh = self._roster.mesh(now_s)
        self._update_isolation(now_s)
        if self._is_join_phase(now_s):
            seeds = self._seeds
            if number >= _ALL_SEEDS_HEARTBEATS:
                seeds = [self._seeds[number % len(self._seeds)]]
            return [*seeds, *self._roster.silent_addresses(now_s)]
        if self._roster.own.is_leaving:
            is_due = number % _REMOTE_EVERY_N == 0
            return [fact.ip for fact in mesh.present] if is_due else []
        is_follower = self._roster.is_follower(now_s)
        addresses = self._local_recipients(mesh, number)
        if not is_follower:
            addresses += self._remote_recipients(mesh, number, now_s)
        if number % _FOLLOWERS_EVERY_N == 0:
            addresses += self._roster.silent_addresses(now_s)
        is_due = not is_follower and (
            number % _SEEDS_EVERY_N == 0 or self._is_discovering(now_s)
        )
        if is_due:
            live_ips = {fact.ip for fact in mesh.present}
            addresses += [
                ip
                for ip in self._seeds
                if ip not in live_ips and ip not in addresses
            ]
        return addresses

    def on_heartbeat(
        self,
        fact: peer_status.PeerStatus,
        mesh_digest: int,
        lost: list[str],
        now_s: float,
    ) -> bool:
        """Processes a heartbeat of another instance.

        Args:
            fact: Facts about the sender.
            mesh_digest: Digest of the mesh as the sender sees it.
            lost: Names of the sender's neighbours that it has just lost.
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether the caller must now send the sender a list of instances.
        """
        roster = self._roster
        roster.record_heartbeat(fact, now_s)
        is_neighbour = fact.data_centre == roster.own.data_centre
        if is_neighbour and fact.is_mesh_member:
            roster.on_lost_reports(lost, now_s)
        mesh = roster.mesh(now_s)
        self._update_members(mesh, now_s)
        if self._is_join_phase(now_s) or fact.is_leaving:
            return False
        if mesh_digest == NO_DIGEST:
            return self._answers_list_request(mesh, fact, now_s)
        is_follower = roster.is_follower(now_s)
        if mesh_digest == mesh.mark:
            if is_follower and is_neighbour and fact.is_mesh_member:
                roster.confirm_remote_members(now_s)
            return False
        if is_follower:
            return False
        is_own_follower = (
            not fact.is_mesh_member and roster.own in mesh.list_senders(fact)
        )
        if not fact.is_mesh_member and not (is_own_follower and is_neighbour):
            return False
        pause_s = _MIN_LIST_INTERVAL_S
        if self._is_discovering(now_s):
            pause_s = _MIN_JOIN_LIST_INTERVAL_S
        return self._allow_list(fact, pause_s, now_s)

    def on_list(
        self,
        facts: list[peer_status.PeerStatus],
        data_centre: str,
        now_s: float,
    ) -> bool:
        """Processes a list of instances.

        Args:
            facts: Instances in the list.
            data_centre: Data centre of the list's sender.
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether the caller must send a heartbeat at once, since this
            instance entered or left the mesh, or now has the list that it
            asked for.
        """
        was_member = self.is_member(now_s)
        had_list = self._has_list
        self._is_joining = False
        self._roster.merge_list(facts, data_centre, now_s)
        own = self._roster.own
        if data_centre == own.data_centre or not self._has_local_peer(now_s):
            self._has_list = True
        return (
            self.is_member(now_s) is not was_member
            or self._has_list is not had_list
        )

    def build_list(self, now_s: float) -> list[peer_status.PeerStatus]:
        """Returns the list to send: neighbours, and all members of the mesh.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        mesh = self._roster.mesh(now_s)
        own_data_centre = self._roster.own.data_centre
        return [
            fact
            for fact in mesh.present
            if fact.data_centre == own_data_centre or fact.node in mesh.members
        ]

    def on_store_read(self, now_s: float) -> None:
        """Records that this instance has read the store.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self._store_read_s = now_s

    def _local_recipients(
        self, mesh: site_mesh.SiteMesh, number: int
    ) -> list[str]:
        own = self._roster.own
        is_changed = mesh.mark != self._sent_digest
        includes_followers = number % _FOLLOWERS_EVERY_N == 0 or (
            is_changed and own.node in mesh.members
        )
        if includes_followers:
            self._sent_digest = mesh.mark
        return [
            fact.ip
            for fact in mesh.present
            if fact.data_centre == own.data_centre
            and fact.node != own.node
            and (includes_followers or fact.node in mesh.members)
        ]

    def _remote_recipients(
        self, mesh: site_mesh.SiteMesh, number: int, now_s: float
    ) -> list[str]:
        every_n = _REMOTE_EVERY_N
        if now_s - self._store_read_s < _STORE_READER_S:
            every_n = _STORE_READER_REMOTE_EVERY_N
        if number % every_n and not self._is_discovering(now_s):
            return []
        own_data_centre = self._roster.own.data_centre
        return [
            fact.ip
            for fact in mesh.members.values()
            if fact.data_centre != own_data_centre
        ]

    def _answers_list_request(
        self,
        mesh: site_mesh.SiteMesh,
        fact: peer_status.PeerStatus,
        now_s: float,
    ) -> bool:
        """Whether an instance that asks for a list is sent one now.

        Two crew members of its data centre answer at once. Seeds, and
        instances of other data centres, wait until the mesh is stable, at most
        for `_MAX_JOIN_DELAY_S`.
        """
        own = self._roster.own
        if fact.data_centre == own.data_centre and not self._is_seed:
            if own not in mesh.list_senders(fact):
                return False
        elif now_s - self._members_changed_s < _STABLE_MESH_S:
            requested_s = self._list_requested_s.setdefault(fact.node, now_s)
            if now_s - requested_s < _MAX_JOIN_DELAY_S:
                return False
        self._list_requested_s.pop(fact.node, None)
        return self._allow_list(fact, _MIN_JOIN_LIST_INTERVAL_S, now_s)

    def _has_local_peer(self, now_s: float) -> bool:
        own = self._roster.own
        return any(
            fact.data_centre == own.data_centre and fact.node != own.node
            for fact in self._roster.mesh(now_s).members.values()
        )

    def _is_join_phase(self, now_s: float) -> bool:
        if self._is_joining and self._age_s(now_s) > _JOIN_TIMEOUT_S:
            self._is_joining = False
        return self._is_joining

    def _is_discovering(self, now_s: float) -> bool:
        return self._age_s(now_s) < _DISCOVERY_S or self._roster.is_alone(now_s)

    def _age_s(self, now_s: float) -> float:
        return now_s - self._started_s

    def _update_isolation(self, now_s: float) -> None:
        if not self._roster.is_alone(now_s):
            self._isolated_since_s = None
        elif self._isolated_since_s is None:
            self._isolated_since_s = now_s

    def _update_members(self, mesh: site_mesh.SiteMesh, now_s: float) -> None:
        if mesh.members.keys() != self._known_members:
            self._known_members = set(mesh.members)
            self._members_changed_s = now_s

    def _allow_list(
        self, fact: peer_status.PeerStatus, pause_s: float, now_s: float
    ) -> bool:
        last_s = self._list_sent_s.get(fact.node, float("-inf"))
        if now_s - last_s < pause_s:
            return False
        self._list_sent_s[fact.node] = now_s
        return True
