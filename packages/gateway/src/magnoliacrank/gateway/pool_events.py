"""Messages of a pool of connections to its owner."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen
class ConnectionSilent:
    """A connection stays silent while a fresh one was answered."""

    host: str
    """IP address of the backend server."""

    port: int
    """TCP port of the backend server."""

    silent_s: float
    """Time since the unanswered request was sent."""

    retired: int
    """Idle connections that were closed on this evidence."""


class PoolListener(Protocol):
    """Who owns a pool."""

    def on_silent(self, event: ConnectionSilent) -> None:
        """A connection was found silent."""

    def may_probe(self) -> bool:
        """Whether the measuring budget allows one probe now; spends it."""


class NullListener:
    """A listener that ignores events and allows every probe."""

    def on_silent(self, event: ConnectionSilent) -> None:
        """Ignores a silent connection."""

    def may_probe(self) -> bool:
        """Allows a probe."""
        return True
