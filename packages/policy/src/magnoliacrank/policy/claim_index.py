"""Claims of plain keys read from the log, of which the first one wins.

A plain key is an idempotency key without a ticket. An instance claims it by
appending a record to the log before it dispatches the request.
"""

from __future__ import annotations

import collections
import uuid

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import slot_messages

_UUID7_VERSION = 7
_TIME_SHIFT_BITS = 80


@attrs.frozen
class Claim:
    """One claim of a plain key, as recorded in the log."""

    offset: ids.LogOffset
    """Offset of the claim's record in the log."""

    key: key_entry.ScopedKey
    """The claimed key, with an empty ticket."""

    digest: bytes
    """Digest of the request."""

    claimant: slot_messages.InstanceIncarnation
    """Instance incarnation that may dispatch if this claim is the first."""


def uuid7_unix_s(key: ids.RequestKey) -> float | None:
    """Returns the Unix time in seconds that a version 7 UUID carries.

    Args:
        key: A plain key as the caller sent it.

    Returns:
        The time at which the key was created, or None if the key isn't a
        version 7 UUID.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID7_VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT_BITS) / 1000


class ClaimIndex:
    """First claim of each plain key, kept while the key may be repeated."""

    def __init__(self, claim_ttl_s: float) -> None:
        """Starts without claims.

        Args:
            claim_ttl_s: Seconds for which a claim is kept after it was read.
        """
        self._claim_ttl_s = claim_ttl_s
        self._first: dict[key_entry.ScopedKey, Claim] = {}
        self._order: collections.deque[tuple[float, key_entry.ScopedKey]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._first)

    def add(self, claim: Claim, now_s: float) -> Claim:
        """Adds a claim read from the log.

        Claims may come in any order and more than once.

        Args:
            claim: The claim.
            now_s: Current monotonic time, in seconds.

        Returns:
            The claim of this key with the lowest offset so far.
        """
        self._forget_old(now_s)
        first = self._first.get(claim.key)
        if first is None:
            self._order.append((now_s, claim.key))
        if first is None or claim.offset < first.offset:
            first = claim
            self._first[claim.key] = claim
        return first

    def find_first(self, key: key_entry.ScopedKey) -> Claim | None:
        """Returns the first known claim of a key, or None."""
        return self._first.get(key)

    def _forget_old(self, now_s: float) -> None:
        """Removes expired claims; their keys are refused by age by then."""
        oldest_s = now_s - self._claim_ttl_s
        while self._order and self._order[0][0] < oldest_s:
            _, key = self._order.popleft()
            del self._first[key]
