"""RecordSources: from whom an instance fetches the records that it lacks.

Load pattern: a large configuration reaches one instance, and hundreds want it
at once over links of a few Mbit/s. It travels as a tree: from the reader to
one member of the mesh in each data centre, from there to the others of that
mesh, and from these to their followers.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

FRESH_S = 1.3
"""Age up to which a view may be used without asking."""

_STEP_S = 0.1
"""Further wait of each next member of a mesh before it fetches from another
data centre."""

_JITTER_S = 0.08
"""Span over which followers spread their fetches."""

_REMOTE_WAIT_S = 0.6
"""Time for which a follower waits for its own data centre's mesh."""

_STORE_WAIT_S = 0.8
"""Time for which a member of the mesh is behind before it reads the store."""

_FOLLOWER_STORE_WAIT_S = 2.5
"""The same for a follower."""

_FIRST_WAIT_S = 0.6
"""Time for which an instance that is small and no seed waits for the others'
records before it reads the store itself."""

_LARGE_CAPACITY = 1.0
"""Cores' worth of requests from which an instance reads the store at its start
without waiting. It starts first, is in a crew, and there are few of them."""

_FIRST_SPREAD_S = 2.5
"""Span over which first reads of the store by all others spread; the first
one to succeed serves the rest."""


class Source(enum.Enum):
    """Where records are to be read now."""

    NONE = "none"
    """Nowhere."""

    PEER = "peer"
    """Another instance."""

    STORE = "store"
    """The store."""


@attrs.frozen
class Marks:
    """How much an instance knows."""

    node: str
    """Name of the instance."""

    data_centre: str
    """Data centre in which it stands."""

    ip: str
    """IP address of the instance."""

    operators: int
    """Offset after the newest change by operators that it knows."""

    servers: int
    """Offset after the newest change of servers that it knows."""

    verified_s: float
    """Monotonic time in seconds at which it knew all changes."""


@attrs.frozen
class Place:
    """Where the asking instance stands."""

    data_centre: str
    """Its data centre."""

    is_follower: bool
    """Whether it stands beside the mesh."""

    position: int
    """Its position in its data centre's mesh, from 0."""


class RecordSources:
    """Marks of other instances, and when to ask which.

    Args:
        started_s: Monotonic time in seconds at which this instance started.
        is_first: Whether it reads the store without waiting for others.
        capacity: Cores' worth of requests that it can carry.
        spread: Randomness.
    """

    def __init__(
        self,
        started_s: float,
        *,
        is_first: bool,
        capacity: float,
        spread: random.Random,
    ) -> None:
        self._started_s = started_s
        self._first_wait_s = 0.0
        if not is_first and capacity < _LARGE_CAPACITY:
            self._first_wait_s = _FIRST_WAIT_S + spread.uniform(
                0.0, _FIRST_SPREAD_S
            )
        self._jitter_s = spread.uniform(0.0, _JITTER_S)
        self._spread = spread
        self._marks: dict[str, Marks] = {}
        self._newest = (0, 0)
        self._behind_s: float | None = None

    @property
    def marks(self) -> list[Marks]:
        """What is known of other instances."""
        return list(self._marks.values())

    def on_marks(
        self, marks: Marks, seen: tuple[int, int], now_s: float
    ) -> None:
        """Takes in how much another instance knows.

        Args:
            marks: What it knows.
            seen: Offsets before which this instance lacks no change.
            now_s: Monotonic time in seconds.
        """
        self._marks[marks.node] = marks
        self._newest = (
            max(self._newest[0], marks.operators),
            max(self._newest[1], marks.servers),
        )
        self._note(seen, now_s)

    def on_read(
        self, seen: tuple[int, int], now_s: float, *, is_complete: bool
    ) -> None:
        """Takes in how far this instance has read.

        Args:
            seen: Offsets before which it lacks no change.
            now_s: Monotonic time in seconds.
            is_complete: Whether the store itself was read, so that no other
                instance can know more.
        """
        if is_complete:
            self._newest = seen
        self._note(seen, now_s)

    def is_behind(self, seen: tuple[int, int]) -> bool:
        """Whether another instance knows changes that this one lacks.

        Args:
            seen: Offsets before which this instance lacks no change.
        """
        return self._newest[0] > seen[0] or self._newest[1] > seen[1]

    def next_source(
        self,
        place: Place,
        now_s: float,
        *,
        is_empty: bool,
        may_read_store: bool,
    ) -> Source:
        """Returns where to read now because records are missing.

        Args:
            place: Where this instance stands.
            now_s: Monotonic time in seconds.
            is_empty: Whether it has no records at all yet.
            may_read_store: Whether the store may be tried now.
        """
        since_s = self._started_s if is_empty else self._behind_s
        if since_s is None:
            return Source.NONE
        waited_s = now_s - since_s
        store_wait_s = self._first_wait_s
        if not is_empty:
            store_wait_s = (
                _FOLLOWER_STORE_WAIT_S if place.is_follower else _STORE_WAIT_S
            )
        if waited_s >= store_wait_s and may_read_store:
            return Source.STORE
        best = self._best(place, now_s)
        if best and waited_s >= self._peer_wait_s(best[0], place):
            return Source.PEER
        return Source.NONE

    def candidates(self, place: Place, now_s: float, most: int) -> list[Marks]:
        """Returns instances to ask, the best first.

        Args:
            place: Where this instance stands.
            now_s: Monotonic time in seconds.
            most: Number of instances.
        """
        return self._best(place, now_s)[:most]

    def _best(self, place: Place, now_s: float) -> list[Marks]:
        fresh = [
            marks
            for marks in self._marks.values()
            if now_s - marks.verified_s < 2 * FRESH_S
        ]
        keyed = [
            (
                marks.operators < self._newest[0],
                marks.servers < self._newest[1],
                marks.data_centre != place.data_centre,
                self._spread.random(),
                marks,
            )
            for marks in fresh
        ]
        keyed.sort(key=lambda item: item[:4])
        return [item[4] for item in keyed]

    def _peer_wait_s(self, best: Marks, place: Place) -> float:
        is_local = best.data_centre == place.data_centre
        if place.is_follower:
            return self._jitter_s if is_local else _REMOTE_WAIT_S
        return 0.0 if is_local else _STEP_S * place.position

    def _note(self, seen: tuple[int, int], now_s: float) -> None:
        if not self.is_behind(seen):
            self._behind_s = None
        elif self._behind_s is None:
            self._behind_s = now_s
