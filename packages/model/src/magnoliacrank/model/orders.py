"""Orders of operators beside the configuration, and what became of them."""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class RolloutOrder:
    """Order to move a service's traffic to another version."""

    service: str
    """Name of the service."""

    target_version: str
    """Version that takes over."""

    duration_s: float
    """Seconds from the order to its deadline."""


class RolloutState(enum.Enum):
    """What has become of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class RolloutStatus:
    """Recorded state of a roll-out."""

    service: str
    """Name of the service."""

    target_version: str
    """Version of the order."""

    state: RolloutState
    """What has become of it."""
