"""Slot ledger: the slots of one service's backend servers in one instance.

Each member of the crew owns the slots that the newest crew record gives it
and lends those that it does not use. No two members dispatch to one slot:

* an owner dispatches only while its record is confirmed (`crew_trust`);
* a gained slot is used only once no former owner can use it (`former_crew`);
* a lent slot is left alone until the borrower has returned it or the loan
  and the longest work under it have ended on the lender's clock;
* a borrower checks the end of the loan at each dispatch, on a clock that
  started before it asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import crew_view
from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_borrower
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_lender
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import slot_timing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.model import ids

_Outgoing = list[slot_messages.Outgoing]


class SlotLedger:
    """Slots that one life of one instance owns, lends and borrows."""

    def __init__(
        self,
        own: ids.InstanceId,
        incarnation: ids.Incarnation,
        timing: slot_timing.SlotTiming | None = None,
    ) -> None:
        """Starts without a crew, so without slots.

        Args:
            own: Own instance.
            incarnation: Own life.
            timing: Times that all members share.
        """
        self._own = slot_messages.Owner(own, incarnation)
        self._timing = timing or slot_timing.SlotTiming()
        self._view = crew_view.CrewView(self._own, self._timing)
        self._accounts: dict[ids.ServerId, slot_account.SlotAccount] = {}
        self._lender = slot_lender.SlotLender(own, self._timing, self._accounts)
        self._borrower = slot_borrower.SlotBorrower(
            self._own, self._timing, self._accounts
        )
        self._handlers: dict[type, Callable[..., _Outgoing]] = {
            slot_messages.LoanRequest: self.on_loan_request,
            slot_messages.LoanGrant: self.on_loan_grant,
            slot_messages.LoanReturn: self.on_loan_return,
            slot_messages.LoanRecall: self.on_loan_recall,
            slot_messages.CrewCheck: self.on_crew_check,
            slot_messages.CrewState: self.on_crew_state,
        }

    @property
    def crew_number(self) -> ids.LogOffset:
        """Number of the newest crew record known, or -1."""
        return self._view.number

    @property
    def confirmed_until_s(self) -> float:
        """Monotonic time in seconds until which own slots are usable."""
        return self._view.trust.until_s

    def set_crew(self, crew: crew_model.Crew, now_s: float) -> None:
        """Changes to a newer crew record; an older one is ignored.

        Give each record, in order. When the record that it replaced was not
        given, owners that are not known are waited out.

        Args:
            crew: The record as folded from the log.
            now_s: Monotonic time in seconds.
        """
        if self._view.set_crew(crew, now_s):
            self._update_shares(now_s)

    def set_limit(
        self,
        server_id: ids.ServerId,
        limit: int,
        *,
        is_cold: bool,
        now_s: float,
    ) -> None:
        """Changes what a backend server bears.

        Args:
            server_id: Backend server.
            limit: Requests at once, in sum over all members.
            is_cold: Whether one member alone may use the limit.
            now_s: Monotonic time in seconds.
        """
        account = self._account(server_id)
        if (account.limit, account.is_cold) == (limit, is_cold):
            return
        account.set_limit(limit, is_cold=is_cold)
        self._update_share(server_id, account, now_s)

    def heard_log(self, asked_s: float) -> None:
        """Notes that the log was read to its head and folded.

        Args:
            asked_s: Monotonic time in seconds at which the read was sent.
        """
        self._view.trust.heard_log(asked_s)

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests a backend server can be given now."""
        account = self._accounts.get(server_id)
        if account is None:
            return 0
        return account.free(
            now_s, is_confirmed=now_s < self._view.trust.until_s
        )

    def take(
        self, server_id: ids.ServerId, now_s: float
    ) -> slot_hold.SlotHold | slot_hold.NoSlot:
        """Occupies a slot, directly before the dispatch.

        Args:
            server_id: Backend server.
            now_s: Monotonic time in seconds, read just now.

        Returns:
            The hold, or why there is none.
        """
        account = self._accounts.get(server_id)
        if account is None:
            return slot_hold.NoSlot(slot_hold.NoSlotReason.NOT_A_MEMBER)
        is_confirmed = self._is_confirmed(now_s)
        hold = account.take(server_id, now_s, is_confirmed=is_confirmed)
        if hold is not None:
            return hold
        reason = self._why_not(account, is_confirmed=is_confirmed)
        if reason is slot_hold.NoSlotReason.BUSY:
            self._lender.note_short()
        return slot_hold.NoSlot(reason)

    def release(self, hold: slot_hold.SlotHold, now_s: float) -> None:
        """Frees a slot once its work has ended; a repeat does nothing."""
        del now_s
        self._accounts[hold.server_id].release(hold)

    def abandon(
        self, hold: slot_hold.SlotHold, now_s: float, until_s: float
    ) -> None:
        """Notes that nobody waits for the work in a slot any more.

        Args:
            hold: The slot; `release` still frees it early.
            now_s: Monotonic time in seconds.
            until_s: Monotonic time in seconds at which the backend server
                is known to have stopped the work.
        """
        if until_s <= now_s:
            self.release(hold, now_s)
            return
        self._accounts[hold.server_id].abandon(hold, until_s)

    def tick(self, now_s: float) -> list[slot_messages.Outgoing]:
        """Does what is due; call it some fifty times a second.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Messages to send.
        """
        if self._view.end_old(now_s):
            self._update_shares(now_s)
        shares = self._view.shares
        if shares is None:
            return []
        return [
            *self._borrower.tick(shares.service, now_s),
            *self._lender.tick(shares.service, now_s),
            *self._view.checks(now_s),
        ]

    def ask_loans(
        self, server_ids: Iterable[ids.ServerId], most: int, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Asks a member for slots; call it when requests wait.

        Args:
            server_ids: Backend servers that could take the requests.
            most: Most slots to borrow in sum.
            now_s: Monotonic time in seconds.

        Returns:
            Messages to send; none when it was asked just now.
        """
        shares = self._view.shares
        if shares is None or not self._view.is_member:
            return []
        useful = tuple(
            server_id for server_id in server_ids if self._can_borrow(server_id)
        )
        lenders = {
            owner.instance_id
            for server_id in useful
            for owner in shares.owners(server_id)
        }
        lenders.discard(self._own.instance_id)
        return self._borrower.ask(
            shares.service, sorted(lenders), useful, most, now_s
        )

    def on_message(
        self, message: slot_messages.Message, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes in a message from another member.

        Args:
            message: The message.
            now_s: Monotonic time in seconds.

        Returns:
            Messages to send.
        """
        return self._handlers[type(message)](message, now_s)

    def on_loan_request(
        self, message: slot_messages.LoanRequest, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Answers a request for a loan while the record is confirmed."""
        shares = self._view.shares
        if shares is None or not self._is_confirmed(now_s):
            return []
        return [self._lender.on_loan_request(message, shares, now_s)]

    def on_loan_grant(
        self, message: slot_messages.LoanGrant, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes in a loan."""
        return self._borrower.on_loan_grant(message, now_s)

    def on_loan_return(
        self, message: slot_messages.LoanReturn, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes back lent slots."""
        del now_s
        self._lender.on_loan_return(message)
        return []

    def on_loan_recall(
        self, message: slot_messages.LoanRecall, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Returns a loan early."""
        return self._borrower.on_loan_recall(message, now_s)

    def on_crew_check(
        self, message: slot_messages.CrewCheck, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Answers a check of the crew record."""
        over_share = tuple(
            server_id
            for server_id, account in self._accounts.items()
            if account.is_over_share
        )
        return [self._view.on_crew_check(message, over_share, now_s)]

    def on_crew_state(
        self, message: slot_messages.CrewState, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes in the answer to a check."""
        self._view.on_crew_state(message, now_s)
        # A settled owner may free part of the shares at once.
        self._view.end_old(now_s)
        self._update_shares(now_s)
        return []

    def _is_confirmed(self, now_s: float) -> bool:
        """Returns whether the newest record was confirmed lately."""
        return now_s < self._view.trust.until_s

    def _account(self, server_id: ids.ServerId) -> slot_account.SlotAccount:
        """Returns the account of a backend server, a new one if need be."""
        account = self._accounts.get(server_id)
        if account is None:
            account = slot_account.SlotAccount()
            self._accounts[server_id] = account
        return account

    def _why_not(
        self, account: slot_account.SlotAccount, *, is_confirmed: bool
    ) -> slot_hold.NoSlotReason:
        """Returns why an account has no free slot."""
        reasons = (
            (not self._view.is_member, slot_hold.NoSlotReason.NOT_A_MEMBER),
            (
                account.is_cold and not account.is_steward,
                slot_hold.NoSlotReason.COLD,
            ),
            (not is_confirmed, slot_hold.NoSlotReason.UNCONFIRMED),
            (account.is_taking_over, slot_hold.NoSlotReason.TAKEOVER),
        )
        for applies, reason in reasons:
            if applies:
                return reason
        return slot_hold.NoSlotReason.BUSY

    def _can_borrow(self, server_id: ids.ServerId) -> bool:
        """Returns whether this member could use more slots of a server."""
        account = self._accounts.get(server_id)
        if account is None:
            return False
        return account.is_steward or not account.is_cold

    def _update_shares(self, now_s: float) -> None:
        """Works out all shares anew."""
        shares = self._view.shares
        if shares is None:
            return
        for server_id in shares.servers:
            self._account(server_id)
        for server_id, account in list(self._accounts.items()):
            if server_id not in shares.servers and account.is_idle:
                del self._accounts[server_id]
                continue
            self._update_share(server_id, account, now_s)

    def _update_share(
        self,
        server_id: ids.ServerId,
        account: slot_account.SlotAccount,
        now_s: float,
    ) -> None:
        """Works out the share of one backend server anew."""
        shares = self._view.shares
        if shares is None:
            return
        account.set_share(
            record=shares.share(self._own, server_id),
            usable=self._view.usable_share(server_id, now_s),
            portion=shares.portion(self._own, server_id, account.limit),
            is_steward=self._view.is_steward(server_id, now_s),
        )
