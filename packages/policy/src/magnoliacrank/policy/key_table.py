"""Key table: dispatches each idempotency key at most once, from memory.

A key that the table does not know, under a ticket young enough, was never
dispatched, since entries outlive the time in which their tickets mint keys.
A key reported as not run stays so: a copy of the request that arrives later
is not dispatched either.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry

if TYPE_CHECKING:
    from collections.abc import Iterator

_MAX_ANSWER_BYTES = 64 * 1024


@attrs.frozen
class Dispatch:
    """The request is the first under its key; dispatch it and finish it."""

    key: key_entry.ScopedKey
    """Key to finish."""


@attrs.frozen
class AwaitFirst:
    """The first request is in progress; wait until it is finished."""

    key: key_entry.ScopedKey
    """Key to wait for."""


@attrs.frozen
class Repeat:
    """The first request ended; pass on its outcome."""

    verdict: verdict.Verdict
    """Outcome of the first request."""

    answer: key_entry.KeptAnswer | None = None
    """Its answer; None when it was not kept."""


@attrs.frozen
class KeyRefused:
    """The request is refused without dispatch."""

    verdict: verdict.Verdict
    """What the caller is told."""


Decision = Dispatch | AwaitFirst | Repeat | KeyRefused
"""What to do with a request that carries a key."""


class TableState(enum.Enum):
    """Whether a table takes new keys."""

    OPEN = "open"
    CLOSED = "closed"


_STATE_AFTER = {
    verdict.Outcome.DONE: key_entry.KeyState.ANSWERED,
    verdict.Outcome.MAY_HAVE_RUN: key_entry.KeyState.MAY_HAVE_RUN,
    verdict.Outcome.NOT_RUN: key_entry.KeyState.NOT_RUN,
}

_MISMATCH = KeyRefused(verdict.not_run(verdict.Reason.KEY_MISMATCH))
_TOO_OLD = KeyRefused(verdict.may_have_run(verdict.Reason.KEY_EXPIRED))
_NEVER_SEEN = KeyRefused(verdict.not_run(verdict.Reason.KEY_EXPIRED))
_LEAVING = KeyRefused(verdict.not_run(verdict.Reason.SHUTTING_DOWN))
_FULL = KeyRefused(verdict.not_run(verdict.Reason.OVERLOADED))


class KeyTable:
    """Keys that one life of one instance has seen, within a horizon."""

    def __init__(
        self,
        *,
        mint_s: float,
        horizon_s: float,
        max_keys: int = 1_000_000,
        max_answers_bytes: int = 64 * 1024 * 1024,
    ) -> None:
        """Starts empty.

        Args:
            mint_s: Seconds from its issue in which a ticket mints keys.
            horizon_s: Seconds after that in which repeats are recognised.
            max_keys: Most keys in memory; further new ones are refused.
            max_answers_bytes: Most bytes of kept answers; the oldest go.
        """
        self._mint_s = mint_s
        self._horizon_s = horizon_s
        self._max_keys = max_keys
        self._max_answers_bytes = max_answers_bytes
        self._entries: dict[key_entry.ScopedKey, key_entry.KeyEntry] = {}
        self._order: collections.deque[tuple[float, key_entry.ScopedKey]] = (
            collections.deque()
        )
        self._answered: collections.deque[key_entry.ScopedKey] = (
            collections.deque()
        )
        self._answers_bytes = 0
        self._state = TableState.OPEN
        self._refused_until_s = float("-inf")

    @property
    def key_count(self) -> int:
        """Keys in memory."""
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """Bytes of kept answers."""
        return self._answers_bytes

    def begin(
        self,
        key: key_entry.ScopedKey,
        digest: bytes,
        issued_s: float,
        now_s: float,
    ) -> Decision:
        """Decides what to do with a request.

        Args:
            key: Its key with its scope.
            digest: Its digest.
            issued_s: Own monotonic clock when its ticket was issued.
            now_s: Own monotonic clock.

        Returns:
            Whether to dispatch it, wait, repeat an outcome or refuse it.
        """
        self._forget_old(now_s)
        entry = self._entries.get(key)
        if entry is not None:
            return self._decide_known(key, entry, digest)
        refused = self._refuse_new(issued_s, now_s)
        if refused is not None:
            return refused
        self._entries[key] = key_entry.KeyEntry(digest)
        self._order.append((now_s, key))
        return Dispatch(key)

    def finish(
        self,
        key: key_entry.ScopedKey,
        outcome: verdict.Verdict,
        answer: key_entry.KeptAnswer | None = None,
    ) -> None:
        """Records how the one dispatch of a key ended.

        Args:
            key: Key for which `begin` returned a dispatch.
            outcome: Its verdict; the first one stands.
            answer: The whole answer of the backend server, if any.
        """
        entry = self._entries.get(key)
        if entry is None or entry.state is not key_entry.KeyState.IN_PROGRESS:
            return
        entry.state = _STATE_AFTER[outcome.outcome]
        entry.reason = outcome.reason
        if answer is not None:
            self._keep(key, entry, answer)

    def outcome(self, key: key_entry.ScopedKey) -> Decision | None:
        """Returns the outcome of a key, or None when it is unknown."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        return _describe(key, entry)

    def entries(
        self, now_s: float
    ) -> Iterator[tuple[key_entry.ScopedKey, key_entry.KeyEntry, float]]:
        """Yields each key, its state and the seconds that it is kept."""
        for first_seen_s, key in self._order:
            left_s = first_seen_s + self._mint_s + self._horizon_s - now_s
            yield key, self._entries[key], left_s

    def close(self) -> None:
        """Refuses new keys from now on; those in progress may finish."""
        self._state = TableState.CLOSED

    def _decide_known(
        self,
        key: key_entry.ScopedKey,
        entry: key_entry.KeyEntry,
        digest: bytes,
    ) -> Decision:
        """Decides on a repeat."""
        if entry.digest != digest:
            return _MISMATCH
        return _describe(key, entry)

    def _refuse_new(self, issued_s: float, now_s: float) -> KeyRefused | None:
        """Returns why a new key is refused, or None."""
        age_s = now_s - issued_s
        if age_s > self._mint_s + self._horizon_s:
            return _TOO_OLD
        if age_s > self._mint_s:
            return _NEVER_SEEN
        if self._state is TableState.CLOSED:
            return _LEAVING
        if len(self._entries) >= self._max_keys:
            # Tickets issued so far mint no more keys, so that a key refused
            # here stays refused without an entry of its own.
            self._refused_until_s = now_s
        if issued_s <= self._refused_until_s:
            return _FULL
        return None

    def _keep(
        self,
        key: key_entry.ScopedKey,
        entry: key_entry.KeyEntry,
        answer: key_entry.KeptAnswer,
    ) -> None:
        """Keeps an answer within the bound."""
        size = answer.size_bytes
        if size > min(_MAX_ANSWER_BYTES, self._max_answers_bytes):
            return
        while self._answers_bytes + size > self._max_answers_bytes:
            self._drop_answer(self._answered.popleft())
        entry.answer = answer
        self._answered.append(key)
        self._answers_bytes += size

    def _drop_answer(self, key: key_entry.ScopedKey) -> None:
        """Forgets an answer, not the key."""
        entry = self._entries.get(key)
        if entry is None or entry.answer is None:
            return
        self._answers_bytes -= entry.answer.size_bytes
        entry.answer = None

    def _forget_old(self, now_s: float) -> None:
        """Forgets keys whose tickets are past the horizon."""
        oldest_s = now_s - self._mint_s - self._horizon_s
        while self._order and self._order[0][0] < oldest_s:
            _, key = self._order.popleft()
            self._drop_answer(key)
            del self._entries[key]


def _describe(
    key: key_entry.ScopedKey, entry: key_entry.KeyEntry
) -> AwaitFirst | Repeat:
    """Returns what a repeat of a key is told."""
    if entry.state is key_entry.KeyState.IN_PROGRESS:
        return AwaitFirst(key)
    return Repeat(_VERDICT_OF[entry.state](entry.reason), entry.answer)


def _repeated(_reason: verdict.Reason) -> verdict.Verdict:
    """Returns the verdict of a repeat of an answered request."""
    return verdict.Verdict(verdict.Outcome.DONE, verdict.Reason.REPEATED)


_VERDICT_OF = {
    key_entry.KeyState.ANSWERED: _repeated,
    key_entry.KeyState.MAY_HAVE_RUN: verdict.may_have_run,
    key_entry.KeyState.NOT_RUN: verdict.not_run,
}
