"""The borrowing side of a slot ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import borrowed_loan
from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliacrank.policy import slot_timing


@attrs.define(eq=False)
class _Loan:
    """A grant that this member has accepted."""

    lender: ids.InstanceId
    parts: list[borrowed_loan.BorrowedLoan]
    told: tuple[slot_messages.SlotCount, ...] | None = None


class SlotBorrower:
    """Asks for slots, checks the ends of loans and returns them.

    A grant counts once, for a request that still waits, and from the moment
    of asking.
    """

    def __init__(
        self,
        own: slot_messages.Owner,
        timing: slot_timing.SlotTiming,
        accounts: Mapping[ids.ServerId, slot_account.SlotAccount],
    ) -> None:
        """Starts with nothing borrowed.

        Args:
            own: Own life.
            timing: Times that all members share.
            accounts: Accounts of the ledger, by backend server.
        """
        self._own = own
        self._timing = timing
        self._accounts = accounts
        self._sequence = 0
        self._asked_s: dict[slot_messages.LoanId, float] = {}
        self._refused_until_s: dict[ids.InstanceId, float] = {}
        self._next_ask_s = float("-inf")
        self._loans: dict[slot_messages.LoanId, _Loan] = {}

    @property
    def loan_count(self) -> int:
        """Loans not returned yet."""
        return len(self._loans)

    def ask(
        self,
        service: ids.ServiceName,
        lenders: Sequence[ids.InstanceId],
        server_ids: tuple[ids.ServerId, ...],
        most: int,
        now_s: float,
    ) -> list[slot_messages.Outgoing]:
        """Asks one member for slots, unless it asked just now.

        Args:
            service: Service of the crew.
            lenders: Members that own slots of the backend servers.
            server_ids: Backend servers whose slots are of use.
            most: Most slots to borrow in sum.
            now_s: Monotonic time in seconds.
        """
        if now_s < self._next_ask_s:
            return []
        lender = self._next_lender(lenders, now_s)
        if lender is None:
            return []
        self._next_ask_s = now_s + self._timing.ask_interval_s
        self._sequence += 1
        loan_id = slot_messages.LoanId(self._own, self._sequence)
        self._asked_s[loan_id] = now_s
        # An unanswered request counts as a refusal meanwhile.
        self._refused_until_s[lender] = now_s + self._timing.refusal_s
        request = slot_messages.LoanRequest(service, loan_id, server_ids, most)
        return [slot_messages.Outgoing(lender, request)]

    def on_loan_grant(
        self, message: slot_messages.LoanGrant, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes in a loan, or returns one that it can't use."""
        loan_id = message.loan_id
        if loan_id.borrower != self._own or loan_id in self._loans:
            return []
        asked_s = self._asked_s.pop(loan_id, None)
        if not message.slots:
            return []
        end_s = now_s
        if asked_s is not None:
            end_s = asked_s + message.duration_s
        if asked_s is None or now_s >= end_s:
            return [_returned(message.service, loan_id, message.lender, ())]
        self._refused_until_s.pop(message.lender, None)
        self._accept(message, end_s, now_s)
        return []

    def on_loan_recall(
        self, message: slot_messages.LoanRecall, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Ends a loan early and returns what is not occupied."""
        loan = self._loans.get(message.loan_id)
        if loan is None:
            return []
        for part in loan.parts:
            part.end_s = min(part.end_s, now_s)
        return self.tick(message.service, now_s)

    def tick(
        self, service: ids.ServiceName, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Returns loans that are over or idle.

        Args:
            service: Service of the crew.
            now_s: Monotonic time in seconds.

        Returns:
            Messages to the lenders.
        """
        self._forget_unanswered(now_s)
        outgoing = []
        for loan_id, loan in list(self._loans.items()):
            self._end_if_idle(loan, now_s)
            if any(now_s < part.end_s for part in loan.parts):
                continue
            kept = _kept(loan)
            if kept != loan.told:
                loan.told = kept
                outgoing.append(_returned(service, loan_id, loan.lender, kept))
            if not kept:
                self._drop(loan_id, loan)
        return outgoing

    def _next_lender(
        self, lenders: Sequence[ids.InstanceId], now_s: float
    ) -> ids.InstanceId | None:
        """Returns a member that did not refuse lately, in turn."""
        willing = [
            name
            for name in lenders
            if now_s >= self._refused_until_s.get(name, now_s)
        ]
        if not willing:
            return None
        return willing[self._sequence % len(willing)]

    def _accept(
        self, message: slot_messages.LoanGrant, end_s: float, now_s: float
    ) -> None:
        """Adds the slots of a grant to the accounts."""
        parts = []
        for slots in message.slots:
            account = self._accounts.get(slots.server_id)
            if account is None:
                continue
            part = borrowed_loan.BorrowedLoan(
                message.loan_id,
                message.lender,
                slots.server_id,
                slots.count,
                end_s,
                used_s=now_s,
            )
            account.borrow(part)
            parts.append(part)
        self._loans[message.loan_id] = _Loan(message.lender, parts)

    def _end_if_idle(self, loan: _Loan, now_s: float) -> None:
        """Ends a loan of which nothing is used any more."""
        idle_s = now_s - self._timing.idle_loan_s
        if any(part.in_use or part.used_s > idle_s for part in loan.parts):
            return
        for part in loan.parts:
            part.end_s = min(part.end_s, now_s)

    def _drop(self, loan_id: slot_messages.LoanId, loan: _Loan) -> None:
        """Forgets a loan of which nothing is occupied."""
        del self._loans[loan_id]
        for part in loan.parts:
            self._accounts[part.server_id].drop_borrowed(part)

    def _forget_unanswered(self, now_s: float) -> None:
        """Forgets requests whose loan would be over."""
        oldest_s = now_s - self._timing.loan_s
        over = [i for i, asked_s in self._asked_s.items() if asked_s < oldest_s]
        for loan_id in over:
            del self._asked_s[loan_id]


def _kept(loan: _Loan) -> tuple[slot_messages.SlotCount, ...]:
    """Returns the slots of a loan that are still occupied."""
    return tuple(
        slot_messages.SlotCount(part.server_id, part.in_use)
        for part in loan.parts
        if part.in_use
    )


def _returned(
    service: ids.ServiceName,
    loan_id: slot_messages.LoanId,
    lender: ids.InstanceId,
    kept: tuple[slot_messages.SlotCount, ...],
) -> slot_messages.Outgoing:
    """Returns the message that gives slots back."""
    return slot_messages.Outgoing(
        lender, slot_messages.LoanReturn(service, loan_id, kept)
    )
