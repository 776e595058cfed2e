"""The lending side of a slot ledger."""

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
    """Lends own slots beyond those that this member needed lately.

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
        self._missed = 0
        self._need = 0.0
        self._need_s = 0.0
        self._loans: dict[slot_messages.LoanId, float] = {}

    def note_short(self) -> None:
        """Notes that this member wanted a slot and found none."""
        self._missed += 1

    def tick(
        self, service: ids.ServiceName, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Follows the own need and recalls a loan when slots are missed.

        Args:
            service: Service of the crew.
            now_s: Monotonic time in seconds.

        Returns:
            Messages to the borrowers.
        """
        is_short = self._missed > 0
        if not is_short and not self._loans:
            return []
        self._follow_need(now_s)
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
        """Answers a request for a loan.

        Args:
            message: The request.
            shares: Newest crew record, confirmed.
            now_s: Monotonic time in seconds.
        """
        slots = self._lent_already(message)
        if not slots:
            slots = self._lend(message, shares, now_s)
        if slots:
            self._loans[message.loan_id] = now_s + self._timing.loan_s
        grant = slot_messages.LoanGrant(
            message.service,
            message.loan_id,
            self._own,
            slots,
            self._timing.loan_s,
        )
        return slot_messages.Outgoing(
            message.loan_id.borrower.instance_id, grant
        )

    def on_loan_return(self, message: slot_messages.LoanReturn) -> None:
        """Takes back slots that a borrower no longer occupies."""
        self._loans.pop(message.loan_id, None)
        kept = {slots.server_id: slots.count for slots in message.kept}
        for server_id, account in self._accounts.items():
            account.take_back(message.loan_id, kept.get(server_id, 0))

    def _lent_already(
        self, message: slot_messages.LoanRequest
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Returns what an earlier copy of a request was given."""
        counts = (
            slot_messages.SlotCount(server_id, account.lent(message.loan_id))
            for server_id, account in self._accounts.items()
        )
        return tuple(slots for slots in counts if slots.count)

    def _lend(
        self,
        message: slot_messages.LoanRequest,
        shares: crew_shares.CrewShares,
        now_s: float,
    ) -> tuple[slot_messages.SlotCount, ...]:
        """Sets slots aside, no more than can be spared."""
        spare = {}
        for server_id in message.server_ids:
            account = self._accounts.get(server_id)
            if account is not None:
                to_steward = (
                    shares.steward(server_id) == message.loan_id.borrower
                )
                spare[server_id] = account.spare(now_s, to_steward=to_steward)
        left = min(message.most, self._can_spare(now_s))
        slots = []
        for server_id in sorted(spare, key=lambda each: -spare[each]):
            count = min(spare[server_id], left)
            if count <= 0:
                break
            left -= count
            until_s = now_s + self._timing.lent_s
            self._accounts[server_id].lend(
                slot_account.LentLoan(message.loan_id, count, until_s)
            )
            slots.append(slot_messages.SlotCount(server_id, count))
        return tuple(slots)

    def _can_spare(self, now_s: float) -> int:
        """Returns how many free slots are beyond the own need."""
        self._follow_need(now_s)
        free = sum(
            account.spare(now_s, to_steward=True)
            for account in self._accounts.values()
        )
        kept = math.ceil(self._need) - self._in_use()
        return max(0, free - kept)

    def _follow_need(self, now_s: float) -> None:
        """Follows the peak of the own need, which decays."""
        passed_s = max(0.0, now_s - self._need_s)
        self._need_s = now_s
        self._need *= 0.5 ** (passed_s / self._timing.need_half_life_s)
        self._need = max(self._need, float(self._in_use() + self._missed))
        self._missed = 0

    def _in_use(self) -> int:
        """Returns how many slots this member occupies."""
        return sum(account.occupied for account in self._accounts.values())
