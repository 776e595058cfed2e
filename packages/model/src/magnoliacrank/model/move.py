"""Move: the gradual change of a service to another software version."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs

from magnoliacrank.model import ids


class Phase(enum.Enum):
    """Progress of a move."""

    RUNNING = "running"
    """The new version gets its share of each route's requests."""

    DONE = "done"
    """The new version gets all traffic."""

    TAKEN_BACK = "taken-back"
    """Rolled back: the old version gets all traffic.

    A new move begins only when operators edit the version or the deadline of
    the service's plan.
    """

    SUPERSEDED = "superseded"
    """Ended by an edit that names another version or removes the service."""

    @property
    def is_final(self) -> bool:
        """Whether the move has ended."""
        return self is not Phase.RUNNING


class Reason(enum.Enum):
    """Why a move ended; NONE while it runs.

    EVIDENCE: the new version passed the checks of all stages.
    ERRORS, LATENCY: the new version failed or was slow too often.
    DEADLINE_MISSED: the deadline passed during the move.
    DEADLINE_PAST: the deadline had already passed when the move began.
    TOO_FEW_SERVERS: at the deadline, the new version had too few servers.
    OLD_VERSION_GONE: no server of the old version is left.
    EDITED: operators named another version or removed the service.
    """

    NONE = "none"
    EVIDENCE = "evidence"
    ERRORS = "errors"
    LATENCY = "latency"
    DEADLINE_MISSED = "deadline-missed"
    DEADLINE_PAST = "deadline-past"
    TOO_FEW_SERVERS = "too-few-servers"
    OLD_VERSION_GONE = "old-version-gone"
    EDITED = "edited"


@attrs.frozen
class Move:
    """State of one move, computed from the records of the log."""

    move_id: str
    """Identifier, made of the service and the configuration version."""

    service: ids.ServiceName
    """Service whose version changes."""

    old_version: ids.SoftwareVersion
    """Version that served the traffic before the move."""

    new_version: ids.SoftwareVersion
    """Version that is to serve the traffic after the move."""

    deadline_s: float | None
    """Unix time in seconds by which the move must be done, or None."""

    step: int = 0
    """Number of the last step; 0 before the first."""

    phase: Phase = Phase.RUNNING
    """Progress of the move."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """Fraction of requests that the new version gets, by route.

    It is 0 for routes that are not named.
    """

    reason: Reason = Reason.NONE
    """Why the move ended."""

    route: str = ""
    """Route on which a fault of the new version was found, or empty."""

    @property
    def serving_version(self) -> ids.SoftwareVersion:
        """Version that serves the requests outside the route shares.

        This is the new version once the move is done, the old one otherwise.
        """
        if self.phase is Phase.DONE:
            return self.new_version
        return self.old_version
