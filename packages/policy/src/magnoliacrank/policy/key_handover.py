"""Hand-over of the keys of an instance that leaves as planned."""

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
    """One key of an instance that leaves."""

    owner: slot_messages.Owner
    """Life that dispatched it."""

    key: key_entry.ScopedKey
    """The key."""

    digest: bytes
    """Digest of the first request."""

    outcome: verdict.Verdict
    """Its outcome; a key still in progress may have run."""

    answer: key_entry.KeptAnswer | None
    """Its answer, if kept."""

    left_s: float
    """Seconds for which it must be remembered."""


def hand_over(
    table: key_table.KeyTable, owner: slot_messages.Owner, now_s: float
) -> Iterator[HandedOverKey]:
    """Yields the keys of a closed table.

    Args:
        table: Table that takes no new keys any more.
        owner: Own life.
        now_s: Monotonic time in seconds.
    """
    for key, entry, left_s in table.entries(now_s):
        decision = table.outcome(key)
        outcome = _LOST.verdict
        if isinstance(decision, key_table.Repeat):
            outcome = decision.verdict
        yield HandedOverKey(
            owner, key, entry.digest, outcome, entry.answer, left_s
        )


class InheritedKeys:
    """Keys of instances that have left, which are never dispatched here."""

    def __init__(self, *, max_keys: int, max_answers_bytes: int) -> None:
        """Starts empty.

        Args:
            max_keys: Most keys in memory.
            max_answers_bytes: Most bytes of answers.
        """
        self._max_keys = max_keys
        self._max_answers_bytes = max_answers_bytes
        self._answers_bytes = 0
        self._keys: dict[key_entry.ScopedKey, HandedOverKey] = {}
        self._until_s: dict[key_entry.ScopedKey, float] = {}

    @property
    def key_count(self) -> int:
        """Keys in memory."""
        return len(self._keys)

    @property
    def answers_bytes(self) -> int:
        """Bytes of answers."""
        return self._answers_bytes

    def take_over(self, keys: Iterable[HandedOverKey], now_s: float) -> None:
        """Takes in keys; repeats do nothing.

        Args:
            keys: Some or all keys of an instance that leaves.
            now_s: Monotonic time in seconds.
        """
        self._forget_old(now_s)
        for handed in keys:
            if handed.key in self._keys or len(self._keys) >= self._max_keys:
                continue
            self._until_s[handed.key] = now_s + handed.left_s
            self._keys[handed.key] = self._bound(handed)

    def answer(
        self, key: key_entry.ScopedKey, digest: bytes, now_s: float
    ) -> key_table.Repeat | key_table.KeyRefused:
        """Answers a request whose ticket names an instance that is gone.

        Args:
            key: Its key.
            digest: Its digest.
            now_s: Monotonic time in seconds.

        Returns:
            The first outcome if it was handed over; otherwise the request
            may have run.
        """
        handed = self._keys.get(key)
        if handed is None or now_s >= self._until_s[key]:
            return _LOST
        if handed.digest != digest:
            return _MISMATCH
        return key_table.Repeat(handed.outcome, handed.answer)

    def _bound(self, handed: HandedOverKey) -> HandedOverKey:
        """Drops an answer that does not fit."""
        if handed.answer is None:
            return handed
        size = handed.answer.size_bytes
        if self._answers_bytes + size > self._max_answers_bytes:
            return attrs.evolve(handed, answer=None)
        self._answers_bytes += size
        return handed

    def _forget_old(self, now_s: float) -> None:
        """Forgets keys whose time is over."""
        over = [k for k, until_s in self._until_s.items() if now_s >= until_s]
        for key in over:
            answer = self._keys.pop(key).answer
            del self._until_s[key]
            if answer is not None:
                self._answers_bytes -= answer.size_bytes
