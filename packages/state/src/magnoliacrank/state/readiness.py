"""Readiness: whether an instance's fold may be acted on, and why not."""

from __future__ import annotations

import enum

import attrs


class Reason(enum.Enum):
    """Why the fold is not ready; READY when it is."""

    READY = "ready"
    STARTING = "starting"
    LOG_UNAVAILABLE = "log-unavailable"
    SNAPSHOT_MISSING = "snapshot-missing"
    LOG_REWOUND = "log-rewound"


@attrs.frozen
class Readiness:
    """Whether the fold has caught up once."""

    reason: Reason
    """Why it is not ready."""

    @property
    def is_ready(self) -> bool:
        """Whether the fold may be acted on."""
        return self.reason is Reason.READY


READY = Readiness(Reason.READY)
"""The fold has caught up once."""
