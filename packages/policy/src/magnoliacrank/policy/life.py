"""State machine of a backend server's life cycle, as one instance sees it."""

from __future__ import annotations

import enum


class LifecycleState(enum.Enum):
    """Life cycle state of a backend server."""

    COLD = "cold"
    """Just started or not yet known; gets the cold concurrency limit only."""

    WARMING = "warming"
    """Has answered; its concurrency limit is being raised step by step."""

    READY = "ready"
    """Has warmed up since its start; its limit follows latency and refusals."""

    SUSPECT = "suspect"
    """Ejected after failures; gets single trial requests and probes only."""

    LEAVING = "leaving"
    """Gets no new requests and finishes those in flight."""

    GONE = "gone"
    """Has left, with no request of this instance in flight."""


class LifecycleEvent(enum.Enum):
    """Event that changes the life cycle state of a backend server."""

    ANSWERED = "answered"
    """The server gave a complete answer."""

    RAMPED = "ramped"
    """The server's warm-up is complete."""

    RESTARTED = "restarted"
    """The server restarted, or is assumed to have."""

    EJECTED = "ejected"
    """The server failed too often, failed a trial or refused a connection."""

    READMITTED = "readmitted"
    """A trial request or a probe of an ejected server succeeded."""

    LEAVE_LISTED = "leave-listed"
    """The platform lists the server as leaving, or no longer lists it."""

    LIVE_LISTED = "live-listed"
    """The platform lists the server as live."""

    DRAINED = "drained"
    """The last request in flight on a leaving server ended."""


_TRANSITIONS: dict[tuple[LifecycleState, LifecycleEvent], LifecycleState] = {
    (LifecycleState.COLD, LifecycleEvent.ANSWERED): LifecycleState.WARMING,
    (LifecycleState.COLD, LifecycleEvent.EJECTED): LifecycleState.SUSPECT,
    (LifecycleState.COLD, LifecycleEvent.RAMPED): LifecycleState.READY,
    (LifecycleState.COLD, LifecycleEvent.LEAVE_LISTED): LifecycleState.LEAVING,
    (LifecycleState.WARMING, LifecycleEvent.RAMPED): LifecycleState.READY,
    (LifecycleState.WARMING, LifecycleEvent.RESTARTED): LifecycleState.COLD,
    (LifecycleState.WARMING, LifecycleEvent.EJECTED): LifecycleState.SUSPECT,
    (
        LifecycleState.WARMING,
        LifecycleEvent.LEAVE_LISTED,
    ): LifecycleState.LEAVING,
    (LifecycleState.READY, LifecycleEvent.RESTARTED): LifecycleState.COLD,
    (LifecycleState.READY, LifecycleEvent.EJECTED): LifecycleState.SUSPECT,
    (LifecycleState.READY, LifecycleEvent.LEAVE_LISTED): LifecycleState.LEAVING,
    (LifecycleState.SUSPECT, LifecycleEvent.READMITTED): LifecycleState.WARMING,
    (
        LifecycleState.SUSPECT,
        LifecycleEvent.LEAVE_LISTED,
    ): LifecycleState.LEAVING,
    (LifecycleState.LEAVING, LifecycleEvent.DRAINED): LifecycleState.GONE,
    (LifecycleState.LEAVING, LifecycleEvent.LIVE_LISTED): LifecycleState.COLD,
    (LifecycleState.GONE, LifecycleEvent.LIVE_LISTED): LifecycleState.COLD,
}

TAKES_WORK = frozenset(
    {LifecycleState.COLD, LifecycleState.WARMING, LifecycleState.READY}
)
"""States in which a backend server gets ordinary requests."""


def next_state(life: LifecycleState, event: LifecycleEvent) -> LifecycleState:
    """Returns the state after an event.

    An event that has no transition from a state leaves the state unchanged.
    """
    return _TRANSITIONS.get((life, event), life)
