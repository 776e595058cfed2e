"""Roll-outs that operators order apart from the configuration."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class RolloutOrder:
    """Order to move a service's traffic to another version."""

    service: str
    """Name of the service."""

    target_version: str
    """Version that is to get all traffic."""

    duration_s: float
    """Seconds from the order to the deadline of the roll-out."""


class RolloutState(enum.Enum):
    """State of a roll-out: still running, completed or rolled back."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class RolloutStatus:
    """Recorded state of a roll-out."""

    service: str
    """Name of the service."""

    target_version: str
    """Version that the roll-out was ordered to."""

    state: RolloutState
    """Whether the roll-out is running, completed or rolled back."""
