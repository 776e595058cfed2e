"""Claims of plain keys as folded from the log: the first one wins."""

from __future__ import annotations

import collections
import uuid

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import slot_messages

_TIMED_UUID_VERSION = 7
_TIME_SHIFT_BITS = 80


@attrs.frozen
class Claim:
    """One claim in the log."""

    offset: ids.LogOffset
    """Offset of the record."""

    key: key_entry.ScopedKey
    """The key, with an empty ticket."""

    digest: bytes
    """Digest of the request."""

    claimant: slot_messages.Owner
    """Life that may dispatch if the claim is the first."""


def minted_unix_s(key: ids.RequestKey) -> float | None:
    """Returns the Unix time in seconds that a version 7 UUID carries.

    Args:
        key: A plain key.

    Returns:
        The time at which the key was made, or None for any other key.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT_BITS) / 1000


class ClaimBook:
    """First claim of each key, for as long as the key may be repeated."""

    def __init__(self, kept_s: float) -> None:
        """Starts empty.

        Args:
            kept_s: Seconds from the reading for which a claim is kept.
        """
        self._kept_s = kept_s
        self._first: dict[key_entry.ScopedKey, Claim] = {}
        self._order: collections.deque[tuple[float, key_entry.ScopedKey]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._first)

    def add(self, claim: Claim, now_s: float) -> Claim:
        """Adds a claim as read from the log, in any order, also twice.

        Args:
            claim: The claim.
            now_s: Monotonic time in seconds.

        Returns:
            The first claim of its key.
        """
        self._forget_old(now_s)
        first = self._first.get(claim.key)
        if first is None:
            self._order.append((now_s, claim.key))
        if first is None or claim.offset < first.offset:
            first = claim
            self._first[claim.key] = claim
        return first

    def first(self, key: key_entry.ScopedKey) -> Claim | None:
        """Returns the first claim of a key, or None."""
        return self._first.get(key)

    def _forget_old(self, now_s: float) -> None:
        """Forgets claims of keys that are refused by age by now."""
        oldest_s = now_s - self._kept_s
        while self._order and self._order[0][0] < oldest_s:
            _, key = self._order.popleft()
            del self._first[key]
