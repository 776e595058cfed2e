"""Hand-over of idempotency keys when an instance shuts down as planned.

The instance sends its keys to other instances, so that they can answer
repeated requests. They never dispatch these keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_LOST = key_table.KeyRefused(verdict.may_have_run(verdict.Reason.OWNER_LOST))
_MISMATCH = key_table.KeyRefused(verdict.not_run(verdict.Reason.KEY_MISMATCH))


@attrs.frozen
class HandedOverKey:
    """One idempotency key that a leaving instance hands over."""

    owner: slot_messages.InstanceIncarnation
    """Instance incarnation that owned the key."""

    key: key_entry.ScopedKey
    """The key with its scope."""

    digest: bytes
    """Digest of the first request under the key."""

    outcome: verdict.Verdict
    """Outcome of the request; `may_have_run` if it was still in progress."""

    answer: key_entry.KeptAnswer | None
    """Answer of the backend server, if it was kept."""

    left_s: float
    """Seconds for which the receiver must keep the key."""


def hand_over(
    table: key_table.KeyTable,
    owner: slot_messages.InstanceIncarnation,
    now_s: float,
) -> Iterator[HandedOverKey]:
    """Yields all keys of a closed key table for the hand-over.

    Args:
        table: Key table that was closed to new keys.
        owner: This instance and its incarnation.
        now_s: Current monotonic time, in seconds.
    """
    for key, entry, left_s in table.entries(now_s):
        decision = table.outcome(key)
        outcome = _LOST.verdict
        if isinstance(decision, key_table.RepeatOutcome):
            outcome = decision.verdict
        yield HandedOverKey(
            owner, key, entry.digest, outcome, entry.answer, left_s
        )


class InheritedKeys:
    """Keys handed over by leaving instances, to answer repeated requests.

    Requests under these keys are never dispatched.
    """

    def __init__(self, *, max_keys: int, max_answers_bytes: int) -> None:
        """Starts without keys.

        Args:
            max_keys: Maximum number of keys; further ones are dropped.
            max_answers_bytes: Maximum total size of kept answers, in bytes;
                answers beyond it are dropped, their keys are kept.
        """
        self._max_keys = max_keys
        self._max_answers_bytes = max_answers_bytes
        self._answers_bytes = 0
        self._keys: dict[key_entry.ScopedKey, HandedOverKey] = {}
        self._until_s: dict[key_entry.ScopedKey, float] = {}

    @property
    def key_count(self) -> int:
        """Number of keys in memory."""
        return len(self._keys)

    @property
    def answers_bytes(self) -> int:
        """Total size of the kept answers, in bytes."""
        return self._answers_bytes

    def take_over(self, keys: Iterable[HandedOverKey], now_s: float) -> None:
        """Stores handed-over keys; keys already stored are ignored.

        Args:
            keys: Some or all keys of a leaving instance.
            now_s: Current monotonic time, in seconds.
        """
        self._forget_old(now_s)
        for handed in keys:
            if handed.key in self._keys or len(self._keys) >= self._max_keys:
                continue
            self._until_s[handed.key] = now_s + handed.left_s
            self._keys[handed.key] = self._limit_answer(handed)

    def answer(
        self, key: key_entry.ScopedKey, digest: bytes, now_s: float
    ) -> key_table.RepeatOutcome | key_table.KeyRefused:
        """Answers a request whose ticket names an ended incarnation.

        Args:
            key: Key of the request.
            digest: Digest of the request.
            now_s: Current monotonic time, in seconds.

        Returns:
            The outcome of the first request if it was handed over. Without
            it, the verdict that the request may have run.
        """
        handed = self._keys.get(key)
        if handed is None or now_s >= self._until_s[key]:
            return _LOST
        if handed.digest != digest:
            return _MISMATCH
        return key_table.RepeatOutcome(handed.outcome, handed.answer)

    def _limit_answer(self, handed: HandedOverKey) -> HandedOverKey:
        """Drops the answer of a key if it exceeds the memory bound."""
        if handed.answer is None:
            return handed
        size = handed.answer.size_bytes
        if self._answers_bytes + size > self._max_answers_bytes:
            return attrs.evolve(handed, answer=None)
        self._answers_bytes += size
        return handed

    def _forget_old(self, now_s: float) -> None:
        """Removes keys whose retention time has passed."""
        over = [k for k, until_s in self._until_s.items() if now_s >= until_s]
        for key in over:
            answer = self._keys.pop(key).answer
            del self._until_s[key]
            if answer is not None:
                self._answers_bytes -= answer.size_bytes
