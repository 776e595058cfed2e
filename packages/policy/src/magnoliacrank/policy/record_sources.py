"""RecordSources: where an instance fetches the records that it lacks.

Load pattern: a large configuration reaches one instance, and hundreds want it
at once over links of a few Mbit/s. It is distributed as a tree: from the
instance that read the store to one mesh member in each data centre, from there
to the other mesh members of that data centre, and from these to the followers
(the instances outside the mesh).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from magnoliacrank.policy import peer_status

MAX_PROOF_AGE_S = 1.3
"""Maximum age of the last proof that an instance's records are complete, up to
which it uses them without asking others."""

_REMOTE_FETCH_STAGGER_S = 0.1
"""Additional wait per position in the data centre's mesh before a mesh member
fetches from another data centre; usually only the first has to."""

_MAX_JITTER_S = 0.08
"""Maximum random delay of a follower's fetches."""

_FOLLOWER_REMOTE_WAIT_S = 0.6
"""Time for which a follower waits for a source in its own data centre before
it fetches from another one."""

_MEMBER_STORE_WAIT_S = 0.8
"""Time for which a mesh member lacks records before it reads the store."""

_FOLLOWER_STORE_WAIT_S = 2.5
"""Like `_MEMBER_STORE_WAIT_S`, for a follower."""

_INITIAL_STORE_WAIT_S = 0.6
"""Minimum time after the start for which a small instance that isn't a seed
waits for records from others before it reads the store."""

_LARGE_CAPACITY_CORES = 1.0
"""Capacity in cores from which an instance reads the store at its start
without waiting. Such instances start first, are in a crew, and are few."""

_INITIAL_STORE_JITTER_S = 2.5
"""Maximum random delay added to `_INITIAL_STORE_WAIT_S`; the first instance
whose read succeeds serves the others."""


class Source(enum.Enum):
    """Source from which an instance should read records now."""

    NONE = "none"
    """No read is due."""

    PEER = "peer"
    """Another instance."""

    STORE = "store"
    """The store."""


@attrs.frozen
class RecordOffsets:
    """How complete the records of another instance are, by its heartbeat."""

    node: str
    """Name of the instance."""

    data_centre: str
    """Data centre of the instance."""

    ip: str
    """IP address of the instance."""

    operators: int
    """Store offset after the newest change by operators that it has."""

    servers: int
    """Store offset after the newest change of backend servers that it has."""

    verified_s: float
    """Latest monotonic time in seconds at which the instance was proved to have
    all changes."""

    era: int = 0
    """Era of the store to which the offsets belong; they start lower in a newer
    one."""


@attrs.frozen
class MeshPosition:
    """Position of the fetching instance among the others."""

    data_centre: str
    """Data centre of the instance."""

    is_follower: bool
    """Whether it is a follower, that is, outside the mesh."""

    position: int
    """Position among the mesh members of its data centre, from 0; 0 for a
    follower."""


def mesh_position(
    own: peer_status.PeerStatus, members: Iterable[peer_status.PeerStatus]
) -> MeshPosition:
    """Returns the position of an instance among the members of the mesh.

    Args:
        own: The instance.
        members: The members of the mesh, in the order of their table.
    """
    local = [
        fact.node for fact in members if fact.data_centre == own.data_centre
    ]
    is_follower = own.node not in local
    position = 0 if is_follower else local[::-1].index(own.node)
    return MeshPosition(own.data_centre, is_follower, position)


class RecordSources:
    """Chooses where and when an instance fetches records that it lacks.

    Keeps what other instances report about their records, and how long this
    instance has lacked some. In each pair of store offsets the first is that
    after the newest change by operators, the second that after the newest
    change of backend servers. Offsets of different eras of the store aren't
    compared: any report of a newer era means that records are missing.

    Args:
        started_s: Monotonic time in seconds at which this instance started.
        reads_store_first: Whether this instance reads the store at its start
            without waiting for others.
        capacity: Request load that this instance can carry, in cores.
        rng: Random number generator for delays and the choice between equal
            sources.
    """

    def __init__(
        self,
        started_s: float,
        *,
        reads_store_first: bool,
        capacity: float,
        rng: random.Random,
    ) -> None:
        self._started_s = started_s
        self._initial_store_wait_s = 0.0
        if not reads_store_first and capacity < _LARGE_CAPACITY_CORES:
            self._initial_store_wait_s = _INITIAL_STORE_WAIT_S + rng.uniform(
                0.0, _INITIAL_STORE_JITTER_S
            )
        self._jitter_s = rng.uniform(0.0, _MAX_JITTER_S)
        self._rng = rng
        self._marks: dict[str, RecordOffsets] = {}
        self._newest_era = 0
        self._newest_offsets = (0, 0)
        self._behind_since_s: float | None = None

    @property
    def marks(self) -> list[RecordOffsets]:
        """Latest reports of the other instances about their records."""
        return list(self._marks.values())

    def on_offsets(
        self,
        marks: RecordOffsets,
        seen: tuple[int, int],
        now_s: float,
        era: int = 0,
    ) -> None:
        """Records another instance's report about its records.

        Args:
            marks: The report.
            seen: Offsets before which this instance lacks no change.
            now_s: Current monotonic time, in seconds.
            era: Era of `seen`.
        """
        self._marks[marks.node] = marks
        if marks.era > self._newest_era:
            self._newest_era = marks.era
            self._newest_offsets = (0, 0)
        if marks.era == self._newest_era:
            self._newest_offsets = (
                max(self._newest_offsets[0], marks.operators),
                max(self._newest_offsets[1], marks.servers),
            )
        self._update_behind_since(seen, now_s, era)

    def on_read(
        self,
        seen: tuple[int, int],
        now_s: float,
        era: int = 0,
        *,
        is_complete: bool,
    ) -> None:
        """Records that this instance has read records.

        Args:
            seen: Offsets before which this instance lacks no change.
            now_s: Current monotonic time, in seconds.
            era: Era of `seen`.
            is_complete: Whether the store itself was read, so that no other
                instance can have newer records. Higher offsets that others
                reported earlier are then dropped.
        """
        if is_complete:
            self._newest_era = era
            self._newest_offsets = seen
        self._update_behind_since(seen, now_s, era)

    def is_behind(self, seen: tuple[int, int], era: int = 0) -> bool:
        """Whether another instance has reported changes that this one lacks.

        Args:
            seen: Offsets before which this instance lacks no change.
            era: Era of `seen`.
        """
        if era != self._newest_era:
            return era < self._newest_era
        return (
            self._newest_offsets[0] > seen[0]
            or self._newest_offsets[1] > seen[1]
        )

    def next_source(
        self,
        place: MeshPosition,
        now_s: float,
        *,
        is_empty: bool,
        may_read_store: bool,
    ) -> Source:
        """Returns the source to read from now, if records are missing.

        Args:
            place: Position of this instance.
            now_s: Current monotonic time, in seconds.
            is_empty: Whether this instance has no records at all yet.
            may_read_store: Whether the store may be read now, that is, no
                pause after a failed read is under way.
        """
        since_s = self._started_s if is_empty else self._behind_since_s
        if since_s is None:
            return Source.NONE
        waited_s = now_s - since_s
        store_wait_s = self._initial_store_wait_s
        if not is_empty:
            store_wait_s = (
                _FOLLOWER_STORE_WAIT_S
                if place.is_follower
                else _MEMBER_STORE_WAIT_S
            )
        if waited_s >= store_wait_s and may_read_store:
            return Source.STORE
        best = self._rank_sources(place, now_s)
        if best and waited_s >= self._peer_wait_s(best[0], place):
            return Source.PEER
        return Source.NONE

    def candidates(
        self, place: MeshPosition, now_s: float, limit: int
    ) -> list[RecordOffsets]:
        """Returns the instances to fetch records from, the best first.

        Instances with newer records come first, then those of the same data
        centre. Reports that are too old are left out.

        Args:
            place: Position of this instance.
            now_s: Current monotonic time, in seconds.
            limit: Maximum number of instances to return.
        """
        return self._rank_sources(place, now_s)[:limit]

    def _rank_sources(
        self, place: MeshPosition, now_s: float
    ) -> list[RecordOffsets]:
        fresh = [
            marks
            for marks in self._marks.values()
            if now_s - marks.verified_s < 2 * MAX_PROOF_AGE_S
        ]
        ranked = [
            (
                marks.era < self._newest_era,
                marks.operators < self._newest_offsets[0],
                marks.servers < self._newest_offsets[1],
                marks.data_centre != place.data_centre,
                self._rng.random(),
                marks,
            )
            for marks in fresh
        ]
        ranked.sort(key=lambda item: item[:-1])
        return [item[-1] for item in ranked]

    def _peer_wait_s(self, best: RecordOffsets, place: MeshPosition) -> float:
        is_local = best.data_centre == place.data_centre
        if place.is_follower:
            return self._jitter_s if is_local else _FOLLOWER_REMOTE_WAIT_S
        return 0.0 if is_local else _REMOTE_FETCH_STAGGER_S * place.position

    def _update_behind_since(
        self, seen: tuple[int, int], now_s: float, era: int
    ) -> None:
        if not self.is_behind(seen, era):
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s
