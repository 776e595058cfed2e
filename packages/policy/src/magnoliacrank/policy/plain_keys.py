"""Plain keys: the first claim in the log decides which instance dispatches.

A plain key is an idempotency key without a ticket. A claim is valid once it
has been read back from the log, whatever the answer to its append was. The
claimant's key table then makes sure that it dispatches only once. If the
claimant has ended, the outcome is unknown and no other instance dispatches.

A plain key must be a version 7 UUID, whose creation time lets an instance
refuse the key once its claim may have expired in the log.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import claim_index
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Callable


_REFUSED = key_table.KeyRefused
_BAD_KEY = _REFUSED(verdict.not_run(verdict.Reason.BAD_REQUEST))
_TOO_OLD = _REFUSED(verdict.may_have_run(verdict.Reason.KEY_EXPIRED))
_MISMATCH = _REFUSED(verdict.not_run(verdict.Reason.KEY_MISMATCH))
_OWNER_LOST = _REFUSED(verdict.may_have_run(verdict.Reason.OWNER_LOST))
_NO_CLAIM = _REFUSED(verdict.not_run(verdict.Reason.CLAIM_UNAVAILABLE))


@attrs.frozen
class PlainKeyTiming:
    """Time limits for plain keys.

    A claim must stay in the log for longer than its key is accepted, also
    when clocks differ.

    Raises:
        ValueError: The log's retention is too short for the other limits.
    """

    horizon_s: float
    """Seconds after its creation during which a key is accepted."""

    skew_s: float
    """Maximum difference in seconds between two wall clocks."""

    retention_s: float
    """Seconds for which the log retains a record."""

    def __attrs_post_init__(self) -> None:
        if self.horizon_s + 2 * self.skew_s >= self.retention_s:
            raise ValueError(
                "horizon_s + 2 * skew_s must be less than retention_s"
            )


@attrs.frozen
class AppendClaim:
    """Decision to append a claim and wait until it is read back."""

    key: key_entry.ScopedKey
    """Key to claim."""

    digest: bytes
    """Digest of the request to dispatch under the key."""


@attrs.frozen
class ForwardTo:
    """Decision to forward the request to the holder of the first claim."""

    claimant: slot_messages.InstanceIncarnation
    """Instance incarnation that holds the first claim."""


Decision = key_table.Decision | AppendClaim | ForwardTo
"""What to do with a request that carries a plain key."""


class _Progress(enum.Enum):
    """Whether a request still waits for this instance's own claim."""

    CLAIMING = "claiming"
    ABANDONED = "abandoned"


@attrs.define
class _OwnClaim:
    """A claim of this incarnation that hasn't been read back yet."""

    digest: bytes
    progress: _Progress = _Progress.CLAIMING


class PlainKeys:
    """Decides on requests with plain keys for one instance incarnation."""

    def __init__(
        self,
        own: slot_messages.InstanceIncarnation,
        timing: PlainKeyTiming,
        has_ended: Callable[[slot_messages.InstanceIncarnation], bool],
    ) -> None:
        """Starts without keys.

        Args:
            own: This instance and its incarnation.
            timing: Time limits for keys and claims.
            has_ended: Returns whether an instance incarnation has ended.
        """
        self._own = own
        self._timing = timing
        self._has_ended = has_ended
        kept_s = timing.horizon_s + 2 * timing.skew_s
        self._claims = claim_index.ClaimIndex(kept_s)
        self._table = key_table.KeyTable(mint_s=0.0, horizon_s=kept_s)
        self._own_claims: dict[key_entry.ScopedKey, _OwnClaim] = {}

    @property
    def table(self) -> key_table.KeyTable:
        """Keys whose first claim belongs to this incarnation."""
        return self._table

    def begin(
        self,
        key: key_entry.ScopedKey,
        digest: bytes,
        *,
        unix_s: float,
        is_log_current: bool,
    ) -> Decision:
        """Decides what to do with a request that carries a plain key.

        Args:
            key: Key of the request, with an empty ticket.
            digest: Digest of the request.
            unix_s: Current Unix time in seconds.
            is_log_current: Whether the log is reachable, was read to its
                end after the request arrived, and each claim read from it
                was passed to `on_claim`.

        Returns:
            Whether to claim the key, wait for the first request, repeat its
            outcome, forward the request or refuse it.
        """
        claim = self._claims.find_first(key)
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
        self, claim: claim_index.Claim, now_s: float
    ) -> Decision | None:
        """Applies a claim read from the log.

        Args:
            claim: The claim.
            now_s: Current monotonic time, in seconds.

        Returns:
            What to do with the local request that waits for a claim of this
            key, or None if no request waits.
        """
        first = self._claims.add(claim, now_s)
        own_claim = self._own_claims.pop(claim.key, None)
        if own_claim is None:
            return None
        is_awaited = own_claim.progress is _Progress.CLAIMING
        if first.claimant != self._own:
            decision = self._decide_claimed(first, own_claim.digest)
            return decision if is_awaited else None
        # Only here can a claim of this incarnation lead to a dispatch.
        dispatch = self._table.begin(claim.key, first.digest, now_s, now_s)
        if is_awaited:
            return dispatch
        # The caller was answered "not run", so the key must never run.
        self._table.finish(claim.key, _NO_CLAIM.verdict)
        return None

    def on_append_failed(self, key: key_entry.ScopedKey) -> verdict.Verdict:
        """Drops an own claim whose append has definitely failed.

        Returns:
            Verdict for the caller.
        """
        self._own_claims.pop(key, None)
        return _NO_CLAIM.verdict

    def abandon_claim(self, key: key_entry.ScopedKey) -> verdict.Verdict:
        """Stops waiting for a claim that may still turn up in the log.

        Returns:
            Verdict for the caller; the claim is never dispatched.
        """
        own_claim = self._own_claims.get(key)
        if own_claim is not None:
            own_claim.progress = _Progress.ABANDONED
        return _NO_CLAIM.verdict

    def _decide_claimed(
        self, claim: claim_index.Claim, digest: bytes
    ) -> Decision:
        """Decides on a request whose key is already claimed in the log."""
        if claim.digest != digest:
            return _MISMATCH
        if claim.claimant == self._own:
            return self._table.outcome(claim.key) or _TOO_OLD
        if claim.claimant.instance_id == self._own.instance_id:
            return _OWNER_LOST
        if self._has_ended(claim.claimant):
            return _OWNER_LOST
        return ForwardTo(claim.claimant)

    def _refuse_by_age(
        self, key: ids.RequestKey, unix_s: float
    ) -> key_table.KeyRefused | None:
        """Refuses a key that is too old, in the future or no UUID v7."""
        minted_s = claim_index.uuid7_unix_s(key)
        if minted_s is None or minted_s > unix_s + self._timing.skew_s:
            return _BAD_KEY
        if unix_s - minted_s > self._timing.horizon_s:
            return _TOO_OLD
        return None


def _await_claim(
    key: key_entry.ScopedKey, own_claim: _OwnClaim, digest: bytes
) -> Decision:
    """Decides on a repeat while the own claim isn't read back yet."""
    if own_claim.digest != digest:
        return _MISMATCH
    if own_claim.progress is _Progress.ABANDONED:
        return _NO_CLAIM
    return key_table.AwaitFirst(key)
