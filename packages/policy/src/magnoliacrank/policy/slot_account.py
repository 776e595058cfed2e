"""Slots of one backend server that one crew member owns, lends or borrows."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.policy import borrowed_loan
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.model import ids

_DEFAULT_LIMIT = 1
"""Concurrency limit of a backend server until its limit is known."""

_NEVER_S = float("inf")


def apportion(limit: int, shares: Sequence[int]) -> tuple[int, ...]:
    """Scales the members' shares of a backend server down to its limit.

    The result depends on the arguments alone, so all members compute the
    same parts.

    Args:
        limit: Maximum sum of the parts, in slots.
        shares: Slots that each member owns, in a fixed order of members.

    Returns:
        One part for each share, at most as large as the share. The parts sum
        to the limit, or to the sum of the shares if that is smaller.
    """
    total = sum(shares)
    if limit >= total:
        return tuple(shares)
    ends = [limit * end // total for end in itertools.accumulate(shares)]
    return tuple(end - start for start, end in itertools.pairwise([0, *ends]))


@attrs.define(eq=False)
class LentLoan:
    """Lender's record of slots of one backend server lent to one borrower."""

    loan_id: slot_messages.LoanId
    """Identifier of the loan."""

    count: int
    """Number of slots that the borrower may still occupy."""

    until_s: float
    """Monotonic time in seconds by which all work under the loan has ended."""


class SlotAccount:
    """Own, lent and borrowed slots of one crew member on one backend server.

    A slot is the permission to run one request there. The crew of the service
    is the set of entry instances that own its slots, as fixed by a crew
    record in the log. The warm-up owner of a backend server is the one
    member that sends requests to it while it is cold.
    """

    __slots__ = (
        "_abandoned",
        "_borrowed",
        "_capacity",
        "_holds",
        "_in_use",
        "_is_cold",
        "_is_warmup_owner",
        "_lent",
        "_lent_count",
        "_limit",
        "_next_expiry_s",
        "_portion_of_limit",
        "_record_share",
        "_share",
    )

    def __init__(self) -> None:
        """Starts with the limit unknown and without slots."""
        self._limit = _DEFAULT_LIMIT
        self._is_cold = True
        self._is_warmup_owner = False
        self._record_share = 0
        self._share = 0
        self._portion_of_limit = 0
        self._capacity = 0
        self._in_use = 0
        self._holds: set[slot_hold.SlotHold] = set()
        self._lent_count = 0
        self._lent: dict[slot_messages.LoanId, LentLoan] = {}
        self._borrowed: list[borrowed_loan.BorrowedLoan] = []
        self._abandoned: dict[slot_hold.SlotHold, float] = {}
        self._next_expiry_s = _NEVER_S

    @property
    def limit(self) -> int:
        """Current concurrency limit of the backend server."""
        return self._limit

    @property
    def is_cold(self) -> bool:
        """Whether the backend server is cold or its state isn't known yet."""
        return self._is_cold

    @property
    def is_warmup_owner(self) -> bool:
        """Whether this member is the warm-up owner of the backend server."""
        return self._is_warmup_owner

    @property
    def is_taking_over(self) -> bool:
        """Whether a former owner may still use some of the owned slots."""
        return self._share < self._record_share

    @property
    def is_over_share(self) -> bool:
        """Whether this member uses more slots than the crew record allows.

        Its own slots that are occupied or lent out count, borrowed ones don't.
        On a cold backend server only the warm-up owner may occupy any slot.
        """
        if self._is_cold and not self._is_warmup_owner and self._occupied():
            return True
        return self._in_use + self._lent_count > self._record_share

    @property
    def occupied(self) -> int:
        """Number of own and borrowed slots that this member occupies."""
        return self._occupied()

    @property
    def is_idle(self) -> bool:
        """Whether no slot is occupied, lent out or borrowed."""
        return not (self._in_use or self._lent_count or self._borrowed)

    def set_limit(self, limit: int, *, is_cold: bool) -> None:
        """Sets the concurrency limit of the backend server.

        Args:
            limit: Maximum number of concurrent requests over all members.
            is_cold: Whether the backend server is cold.
        """
        self._limit = max(0, limit)
        self._is_cold = is_cold
        self._update_capacity()

    def set_share(
        self,
        *,
        record_share: int,
        usable_slots: int,
        limit_share: int,
        is_warmup_owner: bool,
    ) -> None:
        """Sets the slots that this member owns.

        Args:
            record_share: Slots that the newest crew record gives this member.
            usable_slots: How many of these no former owner can use any more.
            limit_share: This member's part of the server's current limit.
            is_warmup_owner: Whether this member is the server's warm-up owner.
        """
        self._record_share = record_share
        self._share = usable_slots
        self._portion_of_limit = limit_share
        self._is_warmup_owner = is_warmup_owner
        self._update_capacity()

    def free(self, now_s: float, *, is_confirmed: bool) -> int:
        """Returns how many slots can be taken now.

        Args:
            now_s: Current monotonic time, in seconds.
            is_confirmed: Whether the confirmation of the crew record is valid.
        """
        if now_s >= self._next_expiry_s:
            self._free_expired(now_s)
        if self._is_cold and not self._is_warmup_owner:
            return 0
        free = self._free_own() if is_confirmed else 0
        if self._borrowed:
            free += sum(loan.free(now_s) for loan in self._borrowed)
        if self._is_cold:
            free = min(free, self._limit - self._occupied())
        return max(0, free)

    def acquire(
        self, server_id: ids.ServerId, now_s: float, *, is_confirmed: bool
    ) -> slot_hold.SlotHold | None:
        """Occupies a free slot, preferring own slots to borrowed ones.

        Args:
            server_id: Identifier of the backend server.
            now_s: Current monotonic time, in seconds.
            is_confirmed: Whether the confirmation of the crew record is valid.

        Returns:
            Handle of the occupied slot, or None when no slot is free.
        """
        if self.free(now_s, is_confirmed=is_confirmed) <= 0:
            return None
        if is_confirmed and self._free_own() > 0:
            hold = slot_hold.SlotHold(server_id)
            self._in_use += 1
        else:
            hold = self._take_borrowed(server_id, now_s)
        self._holds.add(hold)
        return hold

    def _take_borrowed(
        self, server_id: ids.ServerId, now_s: float
    ) -> slot_hold.SlotHold:
        """Occupies a borrowed slot, from the loan that expires last."""
        free = [loan for loan in self._borrowed if loan.free(now_s) > 0]
        loan = max(free, key=lambda candidate: candidate.end_s)
        loan.in_use += 1
        loan.used_s = now_s
        return slot_hold.SlotHold(server_id, loan)

    def release(self, hold: slot_hold.SlotHold) -> None:
        """Frees an occupied slot; does nothing if it is free already."""
        if hold not in self._holds:
            return
        self._holds.discard(hold)
        self._abandoned.pop(hold, None)
        if hold.loan is None:
            self._in_use -= 1
        else:
            hold.loan.in_use -= 1

    def abandon(self, hold: slot_hold.SlotHold, until_s: float) -> None:
        """Keeps a slot occupied for work whose end isn't observed any more.

        Args:
            hold: Handle of the slot.
            until_s: Monotonic time, in seconds, at which the slot is freed
                unless it was released before.
        """
        if hold not in self._holds:
            return
        self._abandoned[hold] = until_s
        self._next_expiry_s = min(self._next_expiry_s, until_s)

    def lendable(self, now_s: float, *, to_warmup_owner: bool) -> int:
        """Returns how many own slots could be lent out now.

        Args:
            now_s: Current monotonic time, in seconds.
            to_warmup_owner: Whether the borrower is the warm-up owner of the
                backend server; only this owner can use slots of a cold one.
        """
        if now_s >= self._next_expiry_s:
            self._free_expired(now_s)
        if not self._is_cold:
            return max(0, self._free_own())
        if not to_warmup_owner:
            return 0
        return max(0, self._share - self._in_use - self._lent_count)

    def lend(self, loan: LentLoan) -> None:
        """Reserves own slots for a borrower."""
        self._lent[loan.loan_id] = loan
        self._lent_count += loan.count
        self._next_expiry_s = min(self._next_expiry_s, loan.until_s)

    def lent_slots(self, loan_id: slot_messages.LoanId) -> int:
        """Returns how many slots of this server a loan still holds."""
        loan = self._lent.get(loan_id)
        return loan.count if loan is not None else 0

    def reduce_loan(self, loan_id: slot_messages.LoanId, kept: int) -> None:
        """Lowers the number of slots that a loan holds; never raises it.

        Args:
            loan_id: Identifier of the loan.
            kept: Slots that the borrower still occupies; 0 ends the loan.
        """
        loan = self._lent.get(loan_id)
        if loan is None or kept >= loan.count:
            return
        self._lent_count -= loan.count - max(0, kept)
        loan.count = max(0, kept)
        if not loan.count:
            del self._lent[loan_id]

    def add_borrowed(self, loan: borrowed_loan.BorrowedLoan) -> None:
        """Adds slots that another member lent to this one."""
        self._borrowed.append(loan)

    def remove_borrowed(self, loan: borrowed_loan.BorrowedLoan) -> None:
        """Removes borrowed slots; none of them may be occupied."""
        self._borrowed.remove(loan)

    def _free_own(self) -> int:
        """Returns how many usable own slots are neither occupied nor lent."""
        return self._capacity - self._in_use - self._lent_count

    def _occupied(self) -> int:
        """Returns how many slots this member occupies."""
        return self._in_use + sum(loan.in_use for loan in self._borrowed)

    def _update_capacity(self) -> None:
        """Recomputes how many own slots can be used."""
        warm_cap = min(self._share, self._portion_of_limit)
        self._capacity = self._share if self._is_cold else warm_cap

    def _free_expired(self, now_s: float) -> None:
        """Frees abandoned and lent slots whose time limit has passed."""
        over = [h for h, end_s in self._abandoned.items() if now_s >= end_s]
        for hold in over:
            self.release(hold)
        for loan in list(self._lent.values()):
            if now_s >= loan.until_s:
                self.reduce_loan(loan.loan_id, 0)
        ends_s = [*self._abandoned.values()]
        ends_s.extend(loan.until_s for loan in self._lent.values())
        self._next_expiry_s = min(ends_s, default=_NEVER_S)
