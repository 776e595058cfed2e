"""Slots of one backend server in the hands of one member."""

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

_UNKNOWN_LIMIT = 1
_NEVER_S = float("inf")


def apportion(limit: int, shares: Sequence[int]) -> tuple[int, ...]:
    """Scales shares down to a limit, the same way on each member.

    Args:
        limit: Most slots in sum.
        shares: Slots of each member in a fixed order.

    Returns:
        A part for each share, none larger than the share, that sum to the
        limit or to the shares if they are fewer.
    """
    total = sum(shares)
    if limit >= total:
        return tuple(shares)
    ends = [limit * end // total for end in itertools.accumulate(shares)]
    return tuple(end - start for start, end in itertools.pairwise([0, *ends]))


@attrs.define(eq=False)
class LentLoan:
    """Slots of one backend server, lent to one borrower."""

    loan_id: slot_messages.LoanId
    """Name of the loan."""

    count: int
    """Slots that the borrower may still occupy."""

    until_s: float
    """Monotonic time in seconds at which all its work has ended."""


class SlotAccount:
    """Own, lent and borrowed slots of one backend server."""

    __slots__ = (
        "_abandoned",
        "_borrowed",
        "_cap",
        "_holds",
        "_in_use",
        "_is_cold",
        "_is_steward",
        "_lent",
        "_lent_count",
        "_limit",
        "_next_end_s",
        "_portion",
        "_record_share",
        "_share",
    )

    def __init__(self) -> None:
        """Starts with an unknown backend server and no share of it."""
        self._limit = _UNKNOWN_LIMIT
        self._is_cold = True
        self._is_steward = False
        self._record_share = 0
        self._share = 0
        self._portion = 0
        self._cap = 0
        self._in_use = 0
        self._holds: set[slot_hold.SlotHold] = set()
        self._lent_count = 0
        self._lent: dict[slot_messages.LoanId, LentLoan] = {}
        self._borrowed: list[borrowed_loan.BorrowedLoan] = []
        self._abandoned: dict[slot_hold.SlotHold, float] = {}
        self._next_end_s = _NEVER_S

    @property
    def limit(self) -> int:
        """Concurrency that the backend server bears at present."""
        return self._limit

    @property
    def is_cold(self) -> bool:
        """Whether the backend server is cold or unknown."""
        return self._is_cold

    @property
    def is_steward(self) -> bool:
        """Whether this member warms the backend server while it is cold."""
        return self._is_steward

    @property
    def is_taking_over(self) -> bool:
        """Whether part of the record's share can't be used yet."""
        return self._share < self._record_share

    @property
    def is_over_share(self) -> bool:
        """Whether more is occupied or lent than the record allows."""
        if self._is_cold and not self._is_steward and self._occupied():
            return True
        return self._in_use + self._lent_count > self._record_share

    @property
    def occupied(self) -> int:
        """Slots that this member occupies, own and borrowed."""
        return self._occupied()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is occupied, lent or borrowed."""
        return not (self._in_use or self._lent_count or self._borrowed)

    def set_limit(self, limit: int, *, is_cold: bool) -> None:
        """Changes what the backend server bears."""
        self._limit = max(0, limit)
        self._is_cold = is_cold
        self._update_cap()

    def set_share(
        self, *, record: int, usable: int, portion: int, is_steward: bool
    ) -> None:
        """Changes what this member owns.

        Args:
            record: Slots by the newest record.
            usable: Slots of these that no former owner can use.
            portion: Part of the server's present limit.
            is_steward: Whether this member warms the server.
        """
        self._record_share = record
        self._share = usable
        self._portion = portion
        self._is_steward = is_steward
        self._update_cap()

    def free(self, now_s: float, *, is_confirmed: bool) -> int:
        """Returns how many requests can be dispatched now.

        Args:
            now_s: Monotonic time in seconds.
            is_confirmed: Whether the crew record was confirmed lately.
        """
        if now_s >= self._next_end_s:
            self._end_old(now_s)
        if self._is_cold and not self._is_steward:
            return 0
        free = self._free_own() if is_confirmed else 0
        if self._borrowed:
            free += sum(loan.free(now_s) for loan in self._borrowed)
        if self._is_cold:
            free = min(free, self._limit - self._occupied())
        return max(0, free)

    def take(
        self, server_id: ids.ServerId, now_s: float, *, is_confirmed: bool
    ) -> slot_hold.SlotHold | None:
        """Occupies a free slot, an own one first.

        Args:
            server_id: Name of the backend server.
            now_s: Monotonic time in seconds.
            is_confirmed: Whether the crew record was confirmed lately.

        Returns:
            The hold, or None when no slot is free.
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
        """Occupies a slot of the loan that ends last."""
        free = [loan for loan in self._borrowed if loan.free(now_s) > 0]
        loan = max(free, key=lambda candidate: candidate.end_s)
        loan.in_use += 1
        loan.used_s = now_s
        return slot_hold.SlotHold(server_id, loan)

    def release(self, hold: slot_hold.SlotHold) -> None:
        """Frees the slot of a hold; a second time does nothing."""
        if hold not in self._holds:
            return
        self._holds.discard(hold)
        self._abandoned.pop(hold, None)
        if hold.loan is None:
            self._in_use -= 1
        else:
            hold.loan.in_use -= 1

    def abandon(self, hold: slot_hold.SlotHold, until_s: float) -> None:
        """Keeps a slot occupied until its work is known to have ended."""
        if hold not in self._holds:
            return
        self._abandoned[hold] = until_s
        self._next_end_s = min(self._next_end_s, until_s)

    def spare(self, now_s: float, *, to_steward: bool) -> int:
        """Returns how many own slots could be lent.

        Args:
            now_s: Monotonic time in seconds.
            to_steward: Whether the borrower warms this backend server.
        """
        if now_s >= self._next_end_s:
            self._end_old(now_s)
        if not self._is_cold:
            return max(0, self._free_own())
        if not to_steward:
            return 0
        return max(0, self._share - self._in_use - self._lent_count)

    def lend(self, loan: LentLoan) -> None:
        """Sets slots aside for a borrower."""
        self._lent[loan.loan_id] = loan
        self._lent_count += loan.count
        self._next_end_s = min(self._next_end_s, loan.until_s)

    def lent(self, loan_id: slot_messages.LoanId) -> int:
        """Returns how many slots are lent under a loan."""
        loan = self._lent.get(loan_id)
        return loan.count if loan is not None else 0

    def take_back(self, loan_id: slot_messages.LoanId, kept: int) -> None:
        """Lowers what a borrower may still occupy; it never rises."""
        loan = self._lent.get(loan_id)
        if loan is None or kept >= loan.count:
            return
        self._lent_count -= loan.count - max(0, kept)
        loan.count = max(0, kept)
        if not loan.count:
            del self._lent[loan_id]

    def borrow(self, loan: borrowed_loan.BorrowedLoan) -> None:
        """Adds a borrowed loan."""
        self._borrowed.append(loan)

    def drop_borrowed(self, loan: borrowed_loan.BorrowedLoan) -> None:
        """Forgets a loan that is over and has nothing in use."""
        self._borrowed.remove(loan)

    def _free_own(self) -> int:
        """Returns how many own slots are neither occupied nor lent."""
        return self._cap - self._in_use - self._lent_count

    def _occupied(self) -> int:
        """Returns how many slots this member occupies."""
        return self._in_use + sum(loan.in_use for loan in self._borrowed)

    def _update_cap(self) -> None:
        """Works out how many own slots can be used."""
        warm_cap = min(self._share, self._portion)
        self._cap = self._share if self._is_cold else warm_cap

    def _end_old(self, now_s: float) -> None:
        """Frees abandoned and lent slots whose time is over."""
        over = [h for h, end_s in self._abandoned.items() if now_s >= end_s]
        for hold in over:
            self.release(hold)
        for loan in list(self._lent.values()):
            if now_s >= loan.until_s:
                self.take_back(loan.loan_id, 0)
        ends_s = [*self._abandoned.values()]
        ends_s.extend(loan.until_s for loan in self._lent.values())
        self._next_end_s = min(ends_s, default=_NEVER_S)
