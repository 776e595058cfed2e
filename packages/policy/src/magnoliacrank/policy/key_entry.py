"""What an instance remembers of one idempotency key."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict


@attrs.frozen
class ScopedKey:
    """A key within its customer, service and ticket."""

    customer: ids.CustomerId
    """Customer who made the key."""

    service: ids.ServiceName
    """Service that the request is for."""

    ticket: str
    """Token of the ticket, or empty for a plain key."""

    key: ids.RequestKey
    """The key as the caller wrote it."""


class KeyState(enum.Enum):
    """What is known about the one dispatch of a key."""

    IN_PROGRESS = "in-progress"
    """It may be dispatched, or was, and has no outcome yet."""

    ANSWERED = "answered"
    """It ran and its answer is known."""

    MAY_HAVE_RUN = "may-have-run"
    """It was dispatched and its outcome is unknown."""

    NOT_RUN = "not-run"
    """It was reported as not run and is never dispatched."""


@attrs.frozen
class KeptAnswer:
    """A backend server's whole answer, kept for repeats."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[str, str], ...]
    """Header names and values."""

    body: bytes
    """Body."""

    @property
    def size_bytes(self) -> int:
        """Bytes that the answer occupies, headers included."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@attrs.define
class KeyEntry:
    """State of one key."""

    digest: bytes
    """Digest of the first request."""

    state: KeyState = KeyState.IN_PROGRESS
    """What is known about its dispatch."""

    reason: verdict.Reason = verdict.Reason.KEY_IN_PROGRESS
    """Reason of the final verdict."""

    answer: KeptAnswer | None = None
    """The answer, while it is kept."""
