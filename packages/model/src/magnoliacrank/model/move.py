"""Move: the passage of a service from one version to another."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs

from magnoliacrank.model import ids


class Phase(enum.Enum):
    """Where a move stands."""

    RUNNING = "running"
    """The new version gets its route shares."""

    DONE = "done"
    """The new version gets all traffic."""

    TAKEN_BACK = "taken-back"
    """The old version gets all traffic; only an edit starts anew."""

    SUPERSEDED = "superseded"
    """A later edit named another version."""

    @property
    def is_final(self) -> bool:
        """Whether the move has ended."""
        return self is not Phase.RUNNING


class Reason(enum.Enum):
    """Why a move ended."""

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
    """A move as the fold knows it."""

    move_id: str
    """Identifies the move; service and configuration version."""

    service: ids.ServiceName
    """Service whose version moves."""

    old_version: ids.SoftwareVersion
    """Version that carried the traffic before."""

    new_version: ids.SoftwareVersion
    """Version that shall carry it."""

    deadline_s: float | None
    """Unix time in seconds by which the move is done, or None."""

    step: int = 0
    """Number of the last step."""

    phase: Phase = Phase.RUNNING
    """Where it stands."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """Share of the new version by route; routes not named have none."""

    reason: Reason = Reason.NONE
    """Why it ended."""

    route: str = ""
    """Route on which a fault showed."""

    @property
    def serving_version(self) -> ids.SoftwareVersion:
        """Version that carries what the shares leave."""
        if self.phase is Phase.DONE:
            return self.new_version
        return self.old_version
