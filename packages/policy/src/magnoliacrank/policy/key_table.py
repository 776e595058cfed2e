"""Key table: ensures in memory that each idempotency key runs at most once.

Callers create keys under a ticket, which is valid for new keys for a limited
time. An entry is kept for longer than that, so an unknown key under a valid
ticket was never dispatched. A key that was reported as not run is never
dispatched later, even if another copy of the request arrives.
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
    """Decision to dispatch: the request is the first under its key.

    The caller must report the outcome with `KeyTable.finish`.
    """

    key: key_entry.ScopedKey
    """Key to pass to `KeyTable.finish`."""


@attrs.frozen
class AwaitFirst:
    """Decision to wait, because the first request is still in progress."""

    key: key_entry.ScopedKey
    """Key of the first request."""


@attrs.frozen
class RepeatOutcome:
    """Decision to repeat the outcome of the first request, which ended."""

    verdict: verdict.Verdict
    """Verdict for the caller, from the outcome of the first request."""

    answer: key_entry.KeptAnswer | None = None
    """Answer of the first request; None if there is none or it isn't kept."""


@attrs.frozen
class KeyRefused:
    """Decision to refuse the request without dispatching it."""

    verdict: verdict.Verdict
    """Verdict for the caller."""


Decision = Dispatch | AwaitFirst | RepeatOutcome | KeyRefused
"""What to do with a request that carries an idempotency key."""


class TableState(enum.Enum):
    """Whether a table accepts new keys."""

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
    """Idempotency keys that one instance incarnation has recently handled."""

    def __init__(
        self,
        *,
        mint_s: float,
        horizon_s: float,
        max_keys: int = 1_000_000,
        max_answers_bytes: int = 64 * 1024 * 1024,
    ) -> None:
        """Starts without keys.

        Args:
            mint_s: Seconds after the issue of a ticket during which new keys
                are accepted under the ticket.
            horizon_s: Further seconds during which repeats of a key are
                recognised.
            max_keys: Maximum number of keys; further new ones are refused.
            max_answers_bytes: Maximum total size of kept answers, in bytes;
                the oldest are evicted.
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
        """Number of keys in memory."""
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """Total size of the kept answers, in bytes."""
        return self._answers_bytes

    def begin(
        self,
        key: key_entry.ScopedKey,
        digest: bytes,
        issued_s: float,
        now_s: float,
    ) -> Decision:
        """Decides what to do with a request that carries a key.

        Args:
            key: Key of the request, with its scope.
            digest: Digest of the request.
            issued_s: Monotonic time, in seconds, at which this instance
                issued the ticket of the key.
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether to dispatch the request, wait for the first one, repeat
            its outcome or refuse the request.
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
        """Records the outcome of the request dispatched under a key.

        Args:
            key: Key for which `begin` returned `Dispatch`.
            outcome: Verdict on the request; later ones are ignored.
            answer: Complete answer of the backend server, if there is one.
        """
        entry = self._entries.get(key)
        if entry is None or entry.state is not key_entry.KeyState.IN_PROGRESS:
            return
        entry.state = _STATE_AFTER[outcome.outcome]
        entry.reason = outcome.reason
        if answer is not None:
            self._keep_answer(key, entry, answer)

    def outcome(self, key: key_entry.ScopedKey) -> Decision | None:
        """Returns the decision on a repeat, or None for an unknown key."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        return _decide_repeat(key, entry)

    def entries(
        self, now_s: float
    ) -> Iterator[tuple[key_entry.ScopedKey, key_entry.KeyEntry, float]]:
        """Yields each key, its entry and its remaining retention in seconds."""
        for first_seen_s, key in self._order:
            left_s = first_seen_s + self._mint_s + self._horizon_s - now_s
            yield key, self._entries[key], left_s

    def close(self) -> None:
        """Refuses new keys from now on; known keys are answered as before."""
        self._state = TableState.CLOSED

    def _decide_known(
        self,
        key: key_entry.ScopedKey,
        entry: key_entry.KeyEntry,
        digest: bytes,
    ) -> Decision:
        """Decides on a request whose key has an entry."""
        if entry.digest != digest:
            return _MISMATCH
        return _decide_repeat(key, entry)

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
            # Accept no more keys under any ticket issued so far. A key
            # refused here is then refused again without needing an entry.
            self._refused_until_s = now_s
        if issued_s <= self._refused_until_s:
            return _FULL
        return None

    def _keep_answer(
        self,
        key: key_entry.ScopedKey,
        entry: key_entry.KeyEntry,
        answer: key_entry.KeptAnswer,
    ) -> None:
        """Keeps an answer, evicting older ones to stay within the bound."""
        size = answer.size_bytes
        if size > min(_MAX_ANSWER_BYTES, self._max_answers_bytes):
            return
        while self._answers_bytes + size > self._max_answers_bytes:
            self._drop_answer(self._answered.popleft())
        entry.answer = answer
        self._answered.append(key)
        self._answers_bytes += size

    def _drop_answer(self, key: key_entry.ScopedKey) -> None:
        """Removes the answer of a key, but not the key."""
        entry = self._entries.get(key)
        if entry is None or entry.answer is None:
            return
        self._answers_bytes -= entry.answer.size_bytes
        entry.answer = None

    def _forget_old(self, now_s: float) -> None:
        """Removes expired keys, whose tickets are too old for any request."""
        oldest_s = now_s - self._mint_s - self._horizon_s
        while self._order and self._order[0][0] < oldest_s:
            _, key = self._order.popleft()
            self._drop_answer(key)
            del self._entries[key]


def _decide_repeat(
    key: key_entry.ScopedKey, entry: key_entry.KeyEntry
) -> AwaitFirst | RepeatOutcome:
    """Decides on a repeat of the first request under a key."""
    if entry.state is key_entry.KeyState.IN_PROGRESS:
        return AwaitFirst(key)
    return RepeatOutcome(_VERDICT_OF[entry.state](entry.reason), entry.answer)


def _repeated(_reason: verdict.Reason) -> verdict.Verdict:
    """Returns the verdict on a repeat of an answered request."""
    return verdict.Verdict(verdict.Outcome.DONE, verdict.Reason.REPEATED)


_VERDICT_OF = {
    key_entry.KeyState.ANSWERED: _repeated,
    key_entry.KeyState.MAY_HAVE_RUN: verdict.may_have_run,
    key_entry.KeyState.NOT_RUN: verdict.not_run,
}
