"""Life cycle of a backend server as one entry instance sees it."""

from __future__ import annotations

import enum


class Life(enum.Enum):
    """State of a backend server."""

    COLD = "cold"
    """Unknown or just started; it bears the cold limit only."""

    WARMING = "warming"
    """It answers; its limit grows by evidence from the cold limit."""

    READY = "ready"
    """It was warm once; its limit follows what it bears."""

    SUSPECT = "suspect"
    """It failed repeatedly; only single trials reach it."""

    LEAVING = "leaving"
    """It gets no new work and finishes what it runs."""

    GONE = "gone"
    """It left and runs nothing of this instance."""


class Event(enum.Enum):
    """What moves a backend server from one state to another."""

    ANSWERED = "answered"
    """It gave a whole answer."""

    RAMPED = "ramped"
    """Its limit reached its slots."""

    RESTARTED = "restarted"
    """It started anew."""

    EJECTED = "ejected"
    """Its failures passed the threshold."""

    READMITTED = "readmitted"
    """A trial or a probe succeeded."""

    LEAVE_LISTED = "leave-listed"
    """The platform lists it as leaving or no longer lists it."""

    LIVE_LISTED = "live-listed"
    """The platform lists it as live."""

    DRAINED = "drained"
    """The last request on a leaving server ended."""


_NEXT: dict[tuple[Life, Event], Life] = {
    (Life.COLD, Event.ANSWERED): Life.WARMING,
    (Life.COLD, Event.EJECTED): Life.SUSPECT,
    (Life.COLD, Event.RAMPED): Life.READY,
    (Life.COLD, Event.LEAVE_LISTED): Life.LEAVING,
    (Life.WARMING, Event.RAMPED): Life.READY,
    (Life.WARMING, Event.RESTARTED): Life.COLD,
    (Life.WARMING, Event.EJECTED): Life.SUSPECT,
    (Life.WARMING, Event.LEAVE_LISTED): Life.LEAVING,
    (Life.READY, Event.RESTARTED): Life.COLD,
    (Life.READY, Event.EJECTED): Life.SUSPECT,
    (Life.READY, Event.LEAVE_LISTED): Life.LEAVING,
    (Life.SUSPECT, Event.READMITTED): Life.WARMING,
    (Life.SUSPECT, Event.LEAVE_LISTED): Life.LEAVING,
    (Life.LEAVING, Event.DRAINED): Life.GONE,
    (Life.LEAVING, Event.LIVE_LISTED): Life.COLD,
    (Life.GONE, Event.LIVE_LISTED): Life.COLD,
}

TAKES_WORK = frozenset({Life.COLD, Life.WARMING, Life.READY})
"""States in which a backend server is an ordinary candidate."""


def next_life(life: Life, event: Event) -> Life:
    """Returns the state after an event; events without an entry change none."""
    return _NEXT.get((life, event), life)
