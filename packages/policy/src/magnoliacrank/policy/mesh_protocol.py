"""MeshProtocol: whom an instance beats to, and how it answers heartbeats.

Load pattern: hundreds of instances, of which many are lost or started within
a second. No heartbeat goes from all to all: members of the mesh beat to each
other and to their neighbours in their data centre, followers to their data
centre's mesh and, seldom, to each other. Heartbeats carry a digest of the mesh
that their sender sees, and name neighbours that fell silent; where digests
differ, a list of instances follows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.policy import crew_roster
    from magnoliacrank.policy import peer_fact
    from magnoliacrank.policy import site_mesh

OFTEN_S = 0.2
"""Interval of heartbeats in the mesh; `CREW_SILENCE_S` spans three."""

SELDOM_S = 1.0
"""Interval of a follower's heartbeats."""

NO_MARK = 0
"""In place of a digest: the sender asks for a list."""

_REMOTE_EVERY = 5
"""Heartbeats of a member of which one goes to another data centre."""

_READER_EVERY = 2
"""The same for one that reads the store, which proves to all others that they
are up to date."""

_READER_S = 1.5
"""Time after a read of the store for which an instance counts as its reader;
two intervals between reads."""

_FOLLOWER_EVERY = 5
"""Heartbeats of a member, or of a follower, of which one goes to followers."""

_SEEDS_EVERY = 25
"""Heartbeats of a member of which one goes to a seed that is not heard, so
that two parts which started apart find each other."""

_LIST_PAUSE_S = 1.0
"""Least time between two lists to the same instance."""

_ANSWER_PAUSE_S = 0.15
"""The same towards one that asks for a list, or shortly after the start."""

_SETTLED_S = 0.2
"""Time without a change after which the mesh counts as settled. While hundreds
start together, each list made earlier would be wrong at once."""

_JOIN_ANSWER_S = 0.6
"""Time after which a joining instance is told of a mesh that isn't settled."""

_JOIN_S = 1.5
"""Time for which an instance that has started only asks its seeds, and for
which it asks its neighbours for a list; beyond it, it goes by whom it hears."""

_ALONE_S = 3.5
"""Time alone after which an instance believes that there is no other; three
heartbeats of other data centres."""

_ASK_ALL = 3
"""Heartbeats of a joining instance that go to all seeds; later ones go to
one of them in turn."""

_MEET_S = 3.0
"""Time after the start for which each heartbeat of a member goes to the seeds
and to other data centres, and lists are exchanged at once."""


class MeshProtocol:
    """Recipients and answers of one instance.

    Args:
        roster: Who is alive.
        seeds: IP addresses at which instances are met at the start.
        started_s: Monotonic time in seconds at which this instance started.
    """

    def __init__(
        self,
        roster: crew_roster.CrewRoster,
        seeds: Sequence[str],
        started_s: float,
    ) -> None:
        self._roster = roster
        self._seeds = [ip for ip in seeds if ip != roster.own.ip]
        self._is_seed = roster.own.ip in seeds
        self._is_joining = bool(seeds) and not self._is_seed
        self._has_list = False
        self._started_s = started_s
        self._known: set[str] = set()
        self._changed_s = float("-inf")
        self._told_mark = NO_MARK
        self._asked_s: dict[str, float] = {}
        self._answered_s: dict[str, float] = {}
        self._read_s = float("-inf")
        self._alone_s: float | None = started_s

    def is_member(self, now_s: float) -> bool:
        """Whether this instance counts itself to the mesh.

        Args:
            now_s: Monotonic time in seconds.
        """
        return not self._joins(now_s) and not self._roster.is_follower(now_s)

    def knows_mesh(self, now_s: float) -> bool:
        """Whether this instance can tell what it owns.

        One that has just started, or was suspended, hears nobody for a moment
        and would own everything.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._note_alone(now_s)
        if self._alone_s is not None:
            return now_s - self._alone_s >= _ALONE_S
        return self.mark(now_s) != NO_MARK

    def mark(self, now_s: float) -> int:
        """Returns the digest of the mesh for a heartbeat.

        One that has just started sends none, so that it is told of others.

        Args:
            now_s: Monotonic time in seconds.
        """
        is_new = not self._has_list and self._age_s(now_s) < _JOIN_S
        if self._joins(now_s) or is_new:
            return NO_MARK
        return self._roster.mesh(now_s).mark

    def interval_s(self, now_s: float) -> float:
        """Returns the time until the next heartbeat.

        Args:
            now_s: Monotonic time in seconds.
        """
        is_new = self.mark(now_s) == NO_MARK
        if is_new or not self._roster.is_follower(now_s):
            return OFTEN_S
        return SELDOM_S

    def recipients(self, number: int, now_s: float) -> list[str]:
        """Returns the addresses that a heartbeat goes to.

        Args:
            number: Number of the heartbeat; 0 goes to all.
            now_s: Monotonic time in seconds.
        """
        mesh = self._roster.mesh(now_s)
        self._note_alone(now_s)
        if self._joins(now_s):
            asked = self._seeds
            if number >= _ASK_ALL:
                asked = [self._seeds[number % len(self._seeds)]]
            return [*asked, *self._roster.unheard(now_s)]
        if self._roster.own.is_leaving:
            is_due = number % _REMOTE_EVERY == 0
            return [fact.ip for fact in mesh.present] if is_due else []
        is_follower = self._roster.is_follower(now_s)
        found = self._neighbours(mesh, number)
        if not is_follower:
            found += self._elsewhere(mesh, number, now_s)
        if number % _FOLLOWER_EVERY == 0:
            found += self._roster.unheard(now_s)
        is_due = not is_follower and (
            number % _SEEDS_EVERY == 0 or self._is_meeting(now_s)
        )
        if is_due:
            heard = {fact.ip for fact in mesh.present}
            found += [
                ip for ip in self._seeds if ip not in heard and ip not in found
            ]
        return found

    def on_heartbeat(
        self,
        fact: peer_fact.PeerFact,
        mesh_mark: int,
        lost: list[str],
        now_s: float,
    ) -> bool:
        """Takes in a heartbeat.

        Args:
            fact: What it says of its sender.
            mesh_mark: Digest of the mesh that its sender sees.
            lost: Neighbours of its sender that fell silent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether its sender is to be sent a list, at once.
        """
        roster = self._roster
        roster.hear(fact, now_s)
        is_neighbour = fact.data_centre == roster.own.data_centre
        if is_neighbour and fact.is_frequent:
            roster.on_lost(lost, now_s)
        mesh = roster.mesh(now_s)
        self._note_members(mesh, now_s)
        if self._joins(now_s) or fact.is_leaving:
            return False
        if mesh_mark == NO_MARK:
            return self._may_tell_new(mesh, fact, now_s)
        is_follower = roster.is_follower(now_s)
        if mesh_mark == mesh.mark:
            if is_follower and is_neighbour and fact.is_frequent:
                roster.vouch(now_s)
            return False
        if is_follower:
            return False
        is_own_follower = not fact.is_frequent and roster.own in mesh.guardians(
            fact
        )
        if not fact.is_frequent and not (is_own_follower and is_neighbour):
            return False
        pause_s = _LIST_PAUSE_S
        if self._is_meeting(now_s):
            pause_s = _ANSWER_PAUSE_S
        return self._is_due(fact, pause_s, now_s)

    def on_list(
        self,
        facts: list[peer_fact.PeerFact],
        data_centre: str,
        now_s: float,
    ) -> bool:
        """Takes in a list of instances; True if this one has news to tell.

        Args:
            facts: Instances that its sender knows.
            data_centre: Data centre of its sender.
            now_s: Monotonic time in seconds.
        """
        was_member = self.is_member(now_s)
        had_list = self._has_list
        self._is_joining = False
        self._roster.adopt(facts, data_centre, now_s)
        own = self._roster.own
        if data_centre == own.data_centre or not self._hears_neighbour(now_s):
            self._has_list = True
        return (
            self.is_member(now_s) is not was_member
            or self._has_list is not had_list
        )

    def list_for(self, now_s: float) -> list[peer_fact.PeerFact]:
        """Returns the list that others are told: neighbours, and the mesh.

        Args:
            now_s: Monotonic time in seconds.
        """
        mesh = self._roster.mesh(now_s)
        place = self._roster.own.data_centre
        return [
            fact
            for fact in mesh.present
            if fact.data_centre == place or fact.node in mesh.members
        ]

    def on_store_read(self, now_s: float) -> None:
        """This instance has read the store.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._read_s = now_s

    def _neighbours(self, mesh: site_mesh.SiteMesh, number: int) -> list[str]:
        own = self._roster.own
        is_changed = mesh.mark != self._told_mark
        tells_all = number % _FOLLOWER_EVERY == 0 or (
            is_changed and own.node in mesh.members
        )
        if tells_all:
            self._told_mark = mesh.mark
        return [
            fact.ip
            for fact in mesh.present
            if fact.data_centre == own.data_centre
            and fact.node != own.node
            and (tells_all or fact.node in mesh.members)
        ]

    def _elsewhere(
        self, mesh: site_mesh.SiteMesh, number: int, now_s: float
    ) -> list[str]:
        every = _REMOTE_EVERY
        if now_s - self._read_s < _READER_S:
            every = _READER_EVERY
        if number % every and not self._is_meeting(now_s):
            return []
        place = self._roster.own.data_centre
        return [
            fact.ip
            for fact in mesh.members.values()
            if fact.data_centre != place
        ]

    def _may_tell_new(
        self, mesh: site_mesh.SiteMesh, fact: peer_fact.PeerFact, now_s: float
    ) -> bool:
        """Whether one that asks is told now.

        Neighbours tell at once. A seed elsewhere waits until the mesh is
        settled, but not for long.
        """
        own = self._roster.own
        if fact.data_centre == own.data_centre and not self._is_seed:
            if own not in mesh.guardians(fact):
                return False
        elif now_s - self._changed_s < _SETTLED_S:
            since_s = self._asked_s.setdefault(fact.node, now_s)
            if now_s - since_s < _JOIN_ANSWER_S:
                return False
        self._asked_s.pop(fact.node, None)
        return self._is_due(fact, _ANSWER_PAUSE_S, now_s)

    def _hears_neighbour(self, now_s: float) -> bool:
        own = self._roster.own
        return any(
            fact.data_centre == own.data_centre and fact.node != own.node
            for fact in self._roster.mesh(now_s).members.values()
        )

    def _joins(self, now_s: float) -> bool:
        if self._is_joining and self._age_s(now_s) > _JOIN_S:
            self._is_joining = False
        return self._is_joining

    def _is_meeting(self, now_s: float) -> bool:
        return self._age_s(now_s) < _MEET_S or self._roster.is_alone(now_s)

    def _age_s(self, now_s: float) -> float:
        return now_s - self._started_s

    def _note_alone(self, now_s: float) -> None:
        if not self._roster.is_alone(now_s):
            self._alone_s = None
        elif self._alone_s is None:
            self._alone_s = now_s

    def _note_members(self, mesh: site_mesh.SiteMesh, now_s: float) -> None:
        if mesh.members.keys() != self._known:
            self._known = set(mesh.members)
            self._changed_s = now_s

    def _is_due(
        self, fact: peer_fact.PeerFact, pause_s: float, now_s: float
    ) -> bool:
        last_s = self._answered_s.get(fact.node, float("-inf"))
        if now_s - last_s < pause_s:
            return False
        self._answered_s[fact.node] = now_s
        return True
