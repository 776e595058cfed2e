"""Callbacks of a connection pool to its owner."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen
class ConnectionSilent:
    """An old connection got no answer while a newer one was answered.

    So the backend server works, and the old connection is considered dead.
    """

    host: str
    """IP address of the backend server."""

    port: int
    """TCP port of the backend server."""

    silent_s: float
    """Seconds since the unanswered request was sent."""

    retired: int
    """Number of idle connections that were closed for this reason."""


class PoolListener(Protocol):
    """Owner of a pool: receives its events and limits its probes."""

    def on_silent(self, event: ConnectionSilent) -> None:
        """Called when a connection is found to be silent."""

    def try_take_probe(self) -> bool:
        """Takes one probe from the budget; returns whether it is allowed."""


class NullListener:
    """A listener that ignores events and allows every probe."""

    def on_silent(self, event: ConnectionSilent) -> None:
        """Ignores the event."""

    def try_take_probe(self) -> bool:
        """Returns True: every probe is allowed."""
        return True
