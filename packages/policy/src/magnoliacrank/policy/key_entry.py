"""State that an instance keeps for one idempotency key."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict


@attrs.frozen
class ScopedKey:
    """An idempotency key within its customer, service and ticket."""

    customer: ids.CustomerId
    """Customer who chose the key."""

    service: ids.ServiceName
    """Service that the request is for."""

    ticket: str
    """Token of the ticket under which the key was created; empty for a plain
    key, which needs none."""

    key: ids.RequestKey
    """The key as the caller sent it."""


class KeyState(enum.Enum):
    """Progress of the single dispatch that a key allows."""

    IN_PROGRESS = "in-progress"
    """The request waits for its dispatch or runs; there is no outcome yet."""

    ANSWERED = "answered"
    """The request ran and its complete answer arrived."""

    MAY_HAVE_RUN = "may-have-run"
    """The request was dispatched and its outcome is unknown."""

    NOT_RUN = "not-run"
    """The request was reported as not run and is never dispatched."""


@attrs.frozen
class KeptAnswer:
    """A backend server's complete answer, kept to answer repeated requests."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[str, str], ...]
    """Header names and values."""

    body: bytes
    """Content of the answer."""

    @property
    def size_bytes(self) -> int:
        """Size of the body and of all header names and values, in bytes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@attrs.define
class KeyEntry:
    """Stored state of one idempotency key."""

    digest: bytes
    """Digest of the first request under the key."""

    state: KeyState = KeyState.IN_PROGRESS
    """Progress of the dispatch."""

    reason: verdict.Reason = verdict.Reason.KEY_IN_PROGRESS
    """Reason of the final verdict, once there is one."""

    answer: KeptAnswer | None = None
    """The answer; None if there is none or it was evicted."""
