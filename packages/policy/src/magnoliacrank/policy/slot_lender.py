"""The lending side of a slot ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliacrank.model import ids
    from magnoliacrank.policy import crew_shares
    from magnoliacrank.policy import slot_timing


class SlotLender:
    """Lends own slots that are not in use.

    A repeated request gets the same slots while they are lent. A late one
    may set slots aside for nothing; its borrower no longer waits for it.
    """

    def __init__(
        self,
        own: ids.InstanceId,
        timing: slot_timing.SlotTiming,
        accounts: Mapping[ids.ServerId, slot_account.SlotAccount],
    ) -> None:
        """Starts with nothing lent.

        Args:
            own: Own instance.
            timing: Times that all members share.
            accounts: Accounts of the ledger, by backend server.
        """
        self._own = own
        self._timing = timing
        self._accounts = accounts
        self._short_until_s = float("-inf")

    def note_short(self, now_s: float) -> None:
        """Notes that this member wanted a slot and found none."""
        self._short_until_s = now_s + self._timing.refusal_s

    def on_loan_request(
        self,
        message: slot_messages.LoanRequest,
        shares: crew_shares.CrewShares,
        now_s: float,
    ) -> slot_messages.Outgoing:
        """Answers a request for a loan.

        Args:
            message: The request.
            shares: Newest crew record, confirmed.
            now_s: Monotonic time in seconds.
        """
        lent = (
            self._lend(message.loan_id, wanted, shares, now_s)
            for wanted in message.wanted
        )
        grant = slot_messages.LoanGrant(
            message.service,
            message.loan_id,
            self._own,
            tuple(slots for slots in lent if slots.count),
            self._timing.loan_s,
        )
        return slot_messages.Outgoing(
            message.loan_id.borrower.instance_id, grant
        )

    def on_loan_return(self, message: slot_messages.LoanReturn) -> None:
        """Takes back slots that a borrower no longer occupies."""
        kept = {slots.server_id: slots.count for slots in message.kept}
        for server_id, account in self._accounts.items():
            account.take_back(message.loan_id, kept.get(server_id, 0))

    def _lend(
        self,
        loan_id: slot_messages.LoanId,
        wanted: slot_messages.SlotCount,
        shares: crew_shares.CrewShares,
        now_s: float,
    ) -> slot_messages.SlotCount:
        """Lends slots of one backend server, none if there are none."""
        server_id = wanted.server_id
        account = self._accounts.get(server_id)
        if account is None:
            return slot_messages.SlotCount(server_id, 0)
        if account.lent(loan_id):
            return slot_messages.SlotCount(server_id, account.lent(loan_id))
        if now_s < self._short_until_s:
            return slot_messages.SlotCount(server_id, 0)
        to_steward = shares.steward(server_id) == loan_id.borrower
        spare = account.spare(now_s, to_steward=to_steward)
        count = min(wanted.count, (spare + 1) // 2)
        if count > 0:
            until_s = now_s + self._timing.lent_s
            account.lend(slot_account.LentLoan(loan_id, count, until_s))
        return slot_messages.SlotCount(server_id, max(0, count))
