"""Readiness: whether an instance may act on its log state, or why not."""

from __future__ import annotations

import enum

import attrs


class Reason(enum.Enum):
    """Why the log state is not ready; READY when it is."""

    READY = "ready"
    """The state has caught up with the log, or with a ready peer, once."""

    STARTING = "starting"
    """The log has not been read up to its end yet."""

    LOG_UNAVAILABLE = "log-unavailable"
    """The log service can't be read."""

    SNAPSHOT_MISSING = "snapshot-missing"
    """The next records have expired and the log has no usable snapshot."""

    LOG_REWOUND = "log-rewound"
    """The log ends before the newest record that was already applied."""


@attrs.frozen
class Readiness:
    """Whether the log state may be acted on, and why not.

    A ready state stays ready while the log can't be read. The state loses its
    readiness only when the records that follow it have expired and the log has
    no usable snapshot.
    """

    reason: Reason
    """READY, or why the state is not ready."""

    @property
    def is_ready(self) -> bool:
        """Whether the log state may be acted on."""
        return self.reason is Reason.READY


READY = Readiness(Reason.READY)
"""Readiness of a state that has caught up."""
