"""Slot ledger: one instance's slots on the backend servers of one service.

A slot is the permission to run one request on a backend server. The crew of a
service is the set of entry instances that own its slots, as fixed by a crew
record in the log. Each member owns the slots that the newest record gives it
and lends those that it does not use. No two members use a slot at once:

* an owner dispatches only while its crew record is confirmed (`crew_lease`);
* a member uses a slot that it gained only once no former owner can use it
  (`former_crew`);
* a lender doesn't use a lent slot until the borrower has returned it, or
  until the loan and the longest work under it have ended on the lender's
  clock;
* a borrower checks at each dispatch that the loan is valid, counting its
  duration from the time at which it sent the request.
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
    """Slots that one incarnation of an instance owns, lends and borrows.

    It holds the slots of one service.
    """

    def __init__(
        self,
        own: ids.InstanceId,
        incarnation: ids.Incarnation,
        timing: slot_timing.SlotTiming | None = None,
    ) -> None:
        """Starts without a crew record, and therefore without slots.

        Args:
            own: Name of this instance.
            incarnation: Incarnation of this instance.
            timing: Timeouts and intervals; the same on all members.
        """
        self._own = slot_messages.InstanceIncarnation(own, incarnation)
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
        """Number of the newest known crew record, or -1 without one."""
        return self._view.number

    @property
    def confirmed_until_s(self) -> float:
        """Monotonic time, in seconds, until which the record is confirmed.

        Own slots can't be taken after it.
        """
        return self._view.lease.expires_s

    def set_crew(self, crew: crew_model.Crew, now_s: float) -> None:
        """Switches to a newer crew record; ignores an older one.

        Every record should be passed, in order. After a gap the owners under
        the skipped records are unknown, so slots stay unusable until all
        such owners have stopped using them.

        Args:
            crew: Crew record read from the log.
            now_s: Current monotonic time, in seconds.
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
        """Sets the concurrency limit of a backend server.

        Args:
            server_id: Identifier of the backend server.
            limit: Maximum number of concurrent requests over all members.
            is_cold: Whether the backend server is cold, so that only its
                warm-up owner may send requests to it.
            now_s: Current monotonic time, in seconds.
        """
        account = self._get_or_create_account(server_id)
        if (account.limit, account.is_cold) == (limit, is_cold):
            return
        account.set_limit(limit, is_cold=is_cold)
        self._update_share(server_id, account, now_s)

    def confirm_by_log(self, asked_s: float) -> None:
        """Confirms the crew record after a complete read of the log.

        Call it once every record up to the head of the log was applied.

        Args:
            asked_s: Monotonic time, in seconds, at which the read was sent.
        """
        self._view.lease.confirm_by_log(asked_s)

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many slots of a backend server can be taken now."""
        account = self._accounts.get(server_id)
        if account is None:
            return 0
        return account.free(
            now_s, is_confirmed=now_s < self._view.lease.expires_s
        )

    def acquire(
        self, server_id: ids.ServerId, now_s: float
    ) -> slot_hold.SlotHold | slot_hold.NoSlot:
        """Occupies a slot; call it immediately before the dispatch.

        Args:
            server_id: Identifier of the backend server.
            now_s: Monotonic time, in seconds, read directly before the call.

        Returns:
            Handle of the occupied slot, or why none is available.
        """
        account = self._accounts.get(server_id)
        if account is None:
            return slot_hold.NoSlot(slot_hold.NoSlotReason.NOT_A_MEMBER)
        is_confirmed = self._is_confirmed(now_s)
        hold = account.acquire(server_id, now_s, is_confirmed=is_confirmed)
        if hold is not None:
            return hold
        reason = self._no_slot_reason(account, is_confirmed=is_confirmed)
        if reason is slot_hold.NoSlotReason.BUSY:
            self._lender.record_shortage()
        return slot_hold.NoSlot(reason)

    def release(self, hold: slot_hold.SlotHold, now_s: float) -> None:
        """Frees a slot once its work has ended; does nothing if it is free."""
        del now_s
        self._accounts[hold.server_id].release(hold)

    def abandon(
        self, hold: slot_hold.SlotHold, now_s: float, until_s: float
    ) -> None:
        """Keeps a slot occupied for work whose answer isn't awaited any more.

        Args:
            hold: Handle of the slot; `release` still frees it earlier.
            now_s: Current monotonic time, in seconds.
            until_s: Monotonic time, in seconds, at which the backend server
                is certain to have stopped the work.
        """
        if until_s <= now_s:
            self.release(hold, now_s)
            return
        self._accounts[hold.server_id].abandon(hold, until_s)

    def tick(self, now_s: float) -> list[slot_messages.Outgoing]:
        """Runs periodic work; call it about fifty times a second.

        It frees expired slots, returns and recalls loans, and checks the
        crew record with other members.

        Args:
            now_s: Current monotonic time, in seconds.

        Returns:
            Messages to send.
        """
        if self._view.drop_expired(now_s):
            self._update_shares(now_s)
        shares = self._view.shares
        if shares is None:
            return []
        return [
            *self._borrower.tick(shares.service, now_s),
            *self._lender.tick(shares.service, now_s),
            *self._view.due_checks(now_s),
        ]

    def ask_loans(
        self, server_ids: Iterable[ids.ServerId], most: int, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Requests a loan of slots; call it while requests wait.

        Args:
            server_ids: Backend servers that can run the waiting requests.
            most: Maximum number of slots to borrow, over all servers.
            now_s: Current monotonic time, in seconds.

        Returns:
            Messages to send; empty if the previous request was too recent
            or no member can be asked.
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
        return self._borrower.request_loan(
            shares.service, sorted(lenders), useful, most, now_s
        )

    def on_message(
        self, message: slot_messages.Message, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Handles a message from another member.

        Args:
            message: Any message between slot ledgers.
            now_s: Current monotonic time, in seconds.

        Returns:
            Messages to send.
        """
        return self._handlers[type(message)](message, now_s)

    def on_loan_request(
        self, message: slot_messages.LoanRequest, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Answers a loan request, if the crew record is confirmed."""
        shares = self._view.shares
        if shares is None or not self._is_confirmed(now_s):
            return []
        return [self._lender.on_loan_request(message, shares, now_s)]

    def on_loan_grant(
        self, message: slot_messages.LoanGrant, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Accepts a granted loan."""
        return self._borrower.on_loan_grant(message, now_s)

    def on_loan_return(
        self, message: slot_messages.LoanReturn, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes back lent slots from their borrower."""
        del now_s
        self._lender.on_loan_return(message)
        return []

    def on_loan_recall(
        self, message: slot_messages.LoanRecall, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Returns a recalled loan before it expires."""
        return self._borrower.on_loan_recall(message, now_s)

    def on_crew_check(
        self, message: slot_messages.CrewCheck, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Answers another member's check of the crew record."""
        over_share = tuple(
            server_id
            for server_id, account in self._accounts.items()
            if account.is_over_share
        )
        return [self._view.on_crew_check(message, over_share, now_s)]

    def on_crew_state(
        self, message: slot_messages.CrewState, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Handles the answer to a check of the crew record."""
        self._view.on_crew_state(message, now_s)
        # The answer can end the wait for former owners, which makes slots
        # usable at once.
        self._view.drop_expired(now_s)
        self._update_shares(now_s)
        return []

    def _is_confirmed(self, now_s: float) -> bool:
        """Returns whether the confirmation of the crew record is valid."""
        return now_s < self._view.lease.expires_s

    def _get_or_create_account(
        self, server_id: ids.ServerId
    ) -> slot_account.SlotAccount:
        """Returns the account of a backend server; creates it if missing."""
        account = self._accounts.get(server_id)
        if account is None:
            account = slot_account.SlotAccount()
            self._accounts[server_id] = account
        return account

    def _no_slot_reason(
        self, account: slot_account.SlotAccount, *, is_confirmed: bool
    ) -> slot_hold.NoSlotReason:
        """Determines why an account has no free slot."""
        reasons = (
            (not self._view.is_member, slot_hold.NoSlotReason.NOT_A_MEMBER),
            (
                account.is_cold and not account.is_warmup_owner,
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
        """Returns whether this member may use borrowed slots of a server."""
        account = self._accounts.get(server_id)
        if account is None:
            return False
        return account.is_warmup_owner or not account.is_cold

    def _update_shares(self, now_s: float) -> None:
        """Recomputes the shares of all backend servers."""
        shares = self._view.shares
        if shares is None:
            return
        for server_id in shares.servers:
            self._get_or_create_account(server_id)
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
        """Recomputes the share of one backend server."""
        shares = self._view.shares
        if shares is None:
            return
        account.set_share(
            record_share=shares.share(self._own, server_id),
            usable_slots=self._view.usable_share(server_id, now_s),
            limit_share=shares.limit_share(self._own, server_id, account.limit),
            is_warmup_owner=self._view.is_warmup_owner(server_id, now_s),
        )
