"""Lender's side of slot loans between crew members."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliacrank.model import ids
    from magnoliacrank.policy import crew_shares
    from magnoliacrank.policy import slot_timing


class SlotLender:
    """Lends own slots that this member's recent demand leaves free.

    The demand is the peak number of slots that were occupied or asked for in
    vain at once; it decays with a half-life. A repeated loan request is
    answered with the same slots while they are lent. A late request can
    reserve slots in vain, since its borrower no longer accepts the grant.
    """

    def __init__(
        self,
        own: ids.InstanceId,
        timing: slot_timing.SlotTiming,
        accounts: Mapping[ids.ServerId, slot_account.SlotAccount],
    ) -> None:
        """Starts without loans.

        Args:
            own: Name of this instance.
            timing: Timeouts and intervals; the same on all members.
            accounts: Slot accounts of the ledger, by backend server.
        """
        self._own = own
        self._timing = timing
        self._accounts = accounts
        self._unmet_takes = 0
        self._demand = 0.0
        self._demand_updated_s = 0.0
        self._loans: dict[slot_messages.LoanId, float] = {}

    def record_shortage(self) -> None:
        """Counts a failed attempt of this member to take a slot."""
        self._unmet_takes += 1

    def tick(
        self, service: ids.ServiceName, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Updates the demand and recalls a loan if slots were short.

        Args:
            service: Service of the crew.
            now_s: Current monotonic time, in seconds.

        Returns:
            At most one loan recall, for the oldest loan.
        """
        is_short = self._unmet_takes > 0
        if not is_short and not self._loans:
            return []
        self._update_demand(now_s)
        over = [i for i, until_s in self._loans.items() if now_s >= until_s]
        for loan_id in over:
            del self._loans[loan_id]
        if not is_short or not self._loans:
            return []
        loan_id = next(iter(self._loans))
        del self._loans[loan_id]
        recall = slot_messages.LoanRecall(service, loan_id)
        return [slot_messages.Outgoing(loan_id.borrower.instance_id, recall)]

    def on_loan_request(
        self,
        message: slot_messages.LoanRequest,
        shares: crew_shares.CrewShares,
        now_s: float,
    ) -> slot_messages.Outgoing:
        """Answers a loan request with a grant, which may be empty.

        Args:
            message: The request.
            shares: Shares by the newest crew record, which is confirmed.
            now_s: Current monotonic time, in seconds.
        """
        slots = self._already_lent(message)
        if not slots:
            slots = self._lend(message, shares, now_s)
        if slots:
            self._loans[message.loan_id] = now_s + self._timing.loan_duration_s
        grant = slot_messages.LoanGrant(
            message.service,
            message.loan_id,
            self._own,
            slots,
            self._timing.loan_duration_s,
        )
        return slot_messages.Outgoing(
            message.loan_id.borrower.instance_id, grant
        )

    def on_loan_return(self, message: slot_messages.LoanReturn) -> None:
        """Takes back the slots that the borrower no longer occupies."""
        self._loans.pop(message.loan_id, None)
        kept = {slots.server_id: slots.count for slots in message.kept}
        for server_id, account in self._accounts.items():
            account.reduce_loan(message.loan_id, kept.get(server_id, 0))

    def _already_lent(
        self, message: slot_messages.LoanRequest
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Returns the slots lent for an earlier copy of a request."""
        counts = (
            slot_messages.SlotCount(
                server_id, account.lent_slots(message.loan_id)
            )
            for server_id, account in self._accounts.items()
        )
        return tuple(slots for slots in counts if slots.count)

    def _lend(
        self,
        message: slot_messages.LoanRequest,
        shares: crew_shares.CrewShares,
        now_s: float,
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Reserves slots for a borrower within what this member can lend."""
        lendable = {}
        for server_id in message.server_ids:
            account = self._accounts.get(server_id)
            if account is not None:
                to_warmup_owner = (
                    shares.warmup_owner(server_id) == message.loan_id.borrower
                )
                lendable[server_id] = account.lendable(
                    now_s, to_warmup_owner=to_warmup_owner
                )
        left = min(message.most, self._lendable_total(now_s))
        slots = []
        for server_id in sorted(lendable, key=lambda each: -lendable[each]):
            count = min(lendable[server_id], left)
            if count <= 0:
                break
            left -= count
            until_s = now_s + self._timing.loan_reclaim_s
            self._accounts[server_id].lend(
                slot_account.LentLoan(message.loan_id, count, until_s)
            )
            slots.append(slot_messages.SlotCount(server_id, count))
        return tuple(slots)

    def _lendable_total(self, now_s: float) -> int:
        """Returns how many free slots exceed this member's demand."""
        self._update_demand(now_s)
        free = sum(
            account.lendable(now_s, to_warmup_owner=True)
            for account in self._accounts.values()
        )
        kept = math.ceil(self._demand) - self._occupied_total()
        return max(0, free - kept)

    def _update_demand(self, now_s: float) -> None:
        """Decays the peak demand and raises it to the current demand."""
        passed_s = max(0.0, now_s - self._demand_updated_s)
        self._demand_updated_s = now_s
        self._demand *= 0.5 ** (passed_s / self._timing.demand_half_life_s)
        self._demand = max(
            self._demand, float(self._occupied_total() + self._unmet_takes)
        )
        self._unmet_takes = 0

    def _occupied_total(self) -> int:
        """Returns how many slots this member occupies on all servers."""
        return sum(account.occupied for account in self._accounts.values())
