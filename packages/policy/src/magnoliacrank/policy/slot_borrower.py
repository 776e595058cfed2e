"""Borrower's side of slot loans between crew members."""

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
    """An accepted loan, with its slots split up by backend server."""

    lender: ids.InstanceId
    parts: list[borrowed_loan.BorrowedLoan]
    reported_kept: tuple[slot_messages.SlotCount, ...] | None = None


class SlotBorrower:
    """Requests loans of slots from other members and returns them.

    A grant is accepted only once, and only while its loan is valid. The loan's
    duration counts from the moment at which the request was sent, so the loan
    has expired here before the lender takes the slots back.
    """

    def __init__(
        self,
        own: slot_messages.InstanceIncarnation,
        timing: slot_timing.SlotTiming,
        accounts: Mapping[ids.ServerId, slot_account.SlotAccount],
    ) -> None:
        """Starts without loans.

        Args:
            own: This instance and its incarnation.
            timing: Timeouts and intervals; the same on all members.
            accounts: Slot accounts of the ledger, by backend server.
        """
        self._own = own
        self._timing = timing
        self._accounts = accounts
        self._sequence = 0
        self._requested_s: dict[slot_messages.LoanId, float] = {}
        self._skipped_until_s: dict[ids.InstanceId, float] = {}
        self._next_request_s = float("-inf")
        self._loans: dict[slot_messages.LoanId, _Loan] = {}

    @property
    def loan_count(self) -> int:
        """Number of loans that aren't completely returned yet."""
        return len(self._loans)

    def request_loan(
        self,
        service: ids.ServiceName,
        lenders: Sequence[ids.InstanceId],
        server_ids: tuple[ids.ServerId, ...],
        most: int,
        now_s: float,
    ) -> list[slot_messages.Outgoing]:
        """Requests a loan from one of the other members.

        Args:
            service: Service of the crew.
            lenders: Members that own slots of these backend servers.
            server_ids: Backend servers whose slots this member can use.
            most: Maximum number of slots to borrow, over all servers.
            now_s: Current monotonic time, in seconds.

        Returns:
            The loan request to send; empty while the minimum interval since
            the previous request lasts, or if each lender recently lent
            nothing or has not answered yet.
        """
        if now_s < self._next_request_s:
            return []
        lender = self._next_lender(lenders, now_s)
        if lender is None:
            return []
        self._next_request_s = now_s + self._timing.min_request_interval_s
        self._sequence += 1
        loan_id = slot_messages.LoanId(self._own, self._sequence)
        self._requested_s[loan_id] = now_s
        # As after a refusal, skip this lender for a while unless it grants the
        # loan.
        self._skipped_until_s[lender] = now_s + self._timing.refusal_backoff_s
        request = slot_messages.LoanRequest(service, loan_id, server_ids, most)
        return [slot_messages.Outgoing(lender, request)]

    def on_loan_grant(
        self, message: slot_messages.LoanGrant, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Accepts a granted loan, or returns it if it is no longer usable."""
        loan_id = message.loan_id
        if loan_id.borrower != self._own or loan_id in self._loans:
            return []
        requested_s = self._requested_s.pop(loan_id, None)
        if not message.slots:
            return []
        end_s = now_s
        if requested_s is not None:
            end_s = requested_s + message.duration_s
        if requested_s is None or now_s >= end_s:
            return [
                _return_message(message.service, loan_id, message.lender, ())
            ]
        self._skipped_until_s.pop(message.lender, None)
        self._accept(message, end_s, now_s)
        return []

    def on_loan_recall(
        self, message: slot_messages.LoanRecall, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Ends a recalled loan and returns its unoccupied slots."""
        loan = self._loans.get(message.loan_id)
        if loan is None:
            return []
        for part in loan.parts:
            part.end_s = min(part.end_s, now_s)
        return self.tick(message.service, now_s)

    def tick(
        self, service: ids.ServiceName, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Returns the slots of expired and idle loans.

        Args:
            service: Service of the crew.
            now_s: Current monotonic time, in seconds.

        Returns:
            Loan returns to send to the lenders.
        """
        self._expire_requests(now_s)
        outgoing = []
        for loan_id, loan in list(self._loans.items()):
            self._end_if_idle(loan, now_s)
            if any(now_s < part.end_s for part in loan.parts):
                continue
            kept = _occupied_slots(loan)
            if kept != loan.reported_kept:
                loan.reported_kept = kept
                outgoing.append(
                    _return_message(service, loan_id, loan.lender, kept)
                )
            if not kept:
                self._remove(loan_id, loan)
        return outgoing

    def _next_lender(
        self, lenders: Sequence[ids.InstanceId], now_s: float
    ) -> ids.InstanceId | None:
        """Picks a lender that isn't being skipped, in rotation."""
        willing = [
            name
            for name in lenders
            if now_s >= self._skipped_until_s.get(name, now_s)
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
            account.add_borrowed(part)
            parts.append(part)
        self._loans[message.loan_id] = _Loan(message.lender, parts)

    def _end_if_idle(self, loan: _Loan, now_s: float) -> None:
        """Ends a loan without occupied slots or recent dispatches."""
        idle_s = now_s - self._timing.idle_loan_timeout_s
        if any(part.in_use or part.used_s > idle_s for part in loan.parts):
            return
        for part in loan.parts:
            part.end_s = min(part.end_s, now_s)

    def _remove(self, loan_id: slot_messages.LoanId, loan: _Loan) -> None:
        """Removes a loan without occupied slots."""
        del self._loans[loan_id]
        for part in loan.parts:
            self._accounts[part.server_id].remove_borrowed(part)

    def _expire_requests(self, now_s: float) -> None:
        """Forgets requests so old that a granted loan would have expired."""
        oldest_s = now_s - self._timing.loan_duration_s
        over = [
            i for i, asked_s in self._requested_s.items() if asked_s < oldest_s
        ]
        for loan_id in over:
            del self._requested_s[loan_id]


def _occupied_slots(loan: _Loan) -> tuple[slot_messages.SlotCount, ...]:
    """Counts the occupied slots of a loan for each backend server."""
    return tuple(
        slot_messages.SlotCount(part.server_id, part.in_use)
        for part in loan.parts
        if part.in_use
    )


def _return_message(
    service: ids.ServiceName,
    loan_id: slot_messages.LoanId,
    lender: ids.InstanceId,
    kept: tuple[slot_messages.SlotCount, ...],
) -> slot_messages.Outgoing:
    """Builds the message that returns a loan, except the kept slots."""
    return slot_messages.Outgoing(
        lender, slot_messages.LoanReturn(service, loan_id, kept)
    )
