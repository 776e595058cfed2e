"""Plain keys: a claim in the log decides which instance dispatches.

A claim counts once it is read back, whatever the append's answer was. The
claimant's own memory then sees to it that it dispatches once; a claimant
that is gone leaves an unknown outcome, never a second dispatch.

A plain key is a version 7 UUID, so that it can be refused by its age once
its claim may have expired in the log.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import claim_book
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Callable


_REFUSED = key_table.KeyRefused
_UNTIMED = _REFUSED(verdict.not_run(verdict.Reason.BAD_REQUEST))
_TOO_OLD = _REFUSED(verdict.may_have_run(verdict.Reason.KEY_EXPIRED))
_MISMATCH = _REFUSED(verdict.not_run(verdict.Reason.KEY_MISMATCH))
_OWNER_LOST = _REFUSED(verdict.may_have_run(verdict.Reason.OWNER_LOST))
_NO_CLAIM = _REFUSED(verdict.not_run(verdict.Reason.CLAIM_UNAVAILABLE))


@attrs.frozen
class PlainTiming:
    """How long plain keys live."""

    horizon_s: float
    """Seconds from its making in which a key is accepted or repeated."""

    skew_s: float
    """Most seconds by which two clocks of the day differ."""

    retention_s: float
    """Seconds for which the log keeps a record."""

    def __attrs_post_init__(self) -> None:
        if self.horizon_s + 2 * self.skew_s >= self.retention_s:
            raise ValueError("claims must outlive the horizon of their keys")


@attrs.frozen
class AppendClaim:
    """Append this claim, then wait until it is read back."""

    key: key_entry.ScopedKey
    """Key to claim."""

    digest: bytes
    """Digest of the request."""


@attrs.frozen
class ForwardTo:
    """Another life has the first claim; forward the request to it."""

    claimant: slot_messages.Owner
    """Who dispatches."""


Decision = key_table.Decision | AppendClaim | ForwardTo
"""What to do with a request under a plain key."""


class _Progress(enum.Enum):
    """How far this instance's own claim of a key has come."""

    CLAIMING = "claiming"
    ABANDONED = "abandoned"


@attrs.define
class _OwnClaim:
    """A claim that this life appends or has appended."""

    digest: bytes
    progress: _Progress = _Progress.CLAIMING


class PlainKeys:
    """Plain keys as one life of one instance handles them."""

    def __init__(
        self,
        own: slot_messages.Owner,
        timing: PlainTiming,
        is_gone: Callable[[slot_messages.Owner], bool],
    ) -> None:
        """Starts without keys.

        Args:
            own: Own life.
            timing: How long keys live.
            is_gone: Tells whether a life has ended.
        """
        self._own = own
        self._timing = timing
        self._is_gone = is_gone
        kept_s = timing.horizon_s + 2 * timing.skew_s
        self._book = claim_book.ClaimBook(kept_s)
        self._table = key_table.KeyTable(mint_s=0.0, horizon_s=kept_s)
        self._own_claims: dict[key_entry.ScopedKey, _OwnClaim] = {}

    @property
    def table(self) -> key_table.KeyTable:
        """Keys that this life dispatched or settled."""
        return self._table

    def begin(
        self,
        key: key_entry.ScopedKey,
        digest: bytes,
        *,
        unix_s: float,
        is_log_current: bool,
    ) -> Decision:
        """Decides what to do with a request.

        Args:
            key: Its key, with an empty ticket.
            digest: Its digest.
            unix_s: Clock of the day in seconds.
            is_log_current: Whether the log answers, was read to its end
                after the request came, and every claim in it was given.

        Returns:
            Whether to claim the key, wait, dispatch, forward or refuse.
        """
        claim = self._book.first(key)
        if claim is not None:
            return self._decide_claimed(claim, digest)
        own_claim = self._own_claims.get(key)
        if own_claim is not None:
            return _await_claim(key, own_claim, digest)
        refused = self._refuse_by_age(key.key, unix_s)
        if refused is not None:
            return refused
        if not is_log_current:
            return _NO_CLAIM
        self._own_claims[key] = _OwnClaim(digest)
        return AppendClaim(key, digest)

    def on_claim(
        self, claim: claim_book.Claim, now_s: float
    ) -> Decision | None:
        """Takes in a claim read from the log.

        Args:
            claim: The claim.
            now_s: Monotonic time in seconds.

        Returns:
            What to do with the request that waits for its own claim, or
            None when none does.
        """
        first = self._book.add(claim, now_s)
        own_claim = self._own_claims.pop(claim.key, None)
        if own_claim is None:
            return None
        is_awaited = own_claim.progress is _Progress.CLAIMING
        if first.claimant != self._own:
            decision = self._decide_claimed(first, own_claim.digest)
            return decision if is_awaited else None
        # The one place from which a claim of this life is dispatched.
        dispatch = self._table.begin(claim.key, first.digest, now_s, now_s)
        if is_awaited:
            return dispatch
        # The caller was told that it was not run, so it stays so.
        self._table.finish(claim.key, _NO_CLAIM.verdict)
        return None

    def on_append_failed(self, key: key_entry.ScopedKey) -> verdict.Verdict:
        """Notes that a claim is not and will not be in the log."""
        self._own_claims.pop(key, None)
        return _NO_CLAIM.verdict

    def give_up(self, key: key_entry.ScopedKey) -> verdict.Verdict:
        """Stops waiting for a claim that may still turn up in the log.

        Returns:
            What the caller is told; the claim is never dispatched.
        """
        own_claim = self._own_claims.get(key)
        if own_claim is not None:
            own_claim.progress = _Progress.ABANDONED
        return _NO_CLAIM.verdict

    def _decide_claimed(
        self, claim: claim_book.Claim, digest: bytes
    ) -> Decision:
        """Decides on a request whose key has a first claim."""
        if claim.digest != digest:
            return _MISMATCH
        if claim.claimant == self._own:
            return self._table.outcome(claim.key) or _TOO_OLD
        if claim.claimant.instance_id == self._own.instance_id:
            return _OWNER_LOST
        if self._is_gone(claim.claimant):
            return _OWNER_LOST
        return ForwardTo(claim.claimant)

    def _refuse_by_age(
        self, key: ids.RequestKey, unix_s: float
    ) -> key_table.KeyRefused | None:
        """Refuses a key whose claim may have expired, or that has no time."""
        minted_s = claim_book.minted_unix_s(key)
        if minted_s is None or minted_s > unix_s + self._timing.skew_s:
            return _UNTIMED
        if unix_s - minted_s > self._timing.horizon_s:
            return _TOO_OLD
        return None


def _await_claim(
    key: key_entry.ScopedKey, own_claim: _OwnClaim, digest: bytes
) -> Decision:
    """Decides on a repeat while the own claim is not read back."""
    if own_claim.digest != digest:
        return _MISMATCH
    if own_claim.progress is _Progress.ABANDONED:
        return _NO_CLAIM
    return key_table.AwaitFirst(key)
