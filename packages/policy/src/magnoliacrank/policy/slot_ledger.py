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

import itertools
from typing import TYPE_CHECKING

import attrs
import xxhash

from magnoliacrank.model import crew as crew_model
from magnoliacrank.model import ids
from magnoliacrank.policy import crew_trust
from magnoliacrank.policy import former_crew
from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


@attrs.frozen
class SlotTiming:
    """Times that all members of a crew share."""

    silence_s: float = 3.0
    """Seconds that a confirmation of the crew record lasts."""

    loan_s: float = 1.5
    """Seconds from the asking during which a borrower may dispatch."""

    longest_work_s: float = 30.0
    """Longest time that a dispatched request occupies a backend server."""

    margin_s: float = 0.2
    """Seconds added to waits for the drift between clocks."""

    check_interval_s: float = 0.5
    """Seconds between checks of the crew record with its members."""

    @property
    def takeover_s(self) -> float:
        """Seconds from the last confirmation to the end of all work."""
        return (
            self.silence_s + self.loan_s + self.longest_work_s + self.margin_s
        )


class SlotLedger:
    """Slots that one life of one instance owns, lends and borrows."""

    def __init__(
        self,
        own: ids.InstanceId,
        incarnation: ids.Incarnation,
        timing: SlotTiming | None = None,
    ) -> None:
        """Starts without a crew, so without slots.

        Args:
            own: Own instance.
            incarnation: Own life.
            timing: Times that all members share.
        """
        self._own = slot_messages.Owner(own, incarnation)
        self._timing = timing or SlotTiming()
        self._trust = crew_trust.CrewTrust(self._own, self._timing.silence_s)
        self._crew: crew_model.Crew | None = None
        self._formers: list[former_crew.FormerCrew] = []
        self._blind_until_s: float | None = None
        self._accounts: dict[ids.ServerId, slot_account.SlotAccount] = {}
        self._check_ids = itertools.count(1)
        self._checks_s: dict[int, float] = {}
        self._next_check_s = float("-inf")

    @property
    def crew_number(self) -> ids.LogOffset:
        """Number of the newest crew record known, or -1."""
        if self._crew is None:
            return ids.LogOffset(-1)
        return self._crew.number

    @property
    def confirmed_until_s(self) -> float:
        """Monotonic time in seconds until which own slots are usable."""
        return self._trust.until_s

    def set_crew(
        self,
        crew: crew_model.Crew,
        now_s: float,
        *,
        is_contiguous: bool = True,
    ) -> None:
        """Changes to a newer crew record; an older one is ignored.

        Args:
            crew: The record as folded from the log.
            now_s: Monotonic time in seconds.
            is_contiguous: Whether the record before it was given too, or
                there is none. Otherwise unknown owners are waited out.
        """
        if crew.number <= self.crew_number:
            return
        if not is_contiguous:
            self._blind_until_s = now_s + self._timing.takeover_s
        elif self._crew is not None:
            former = former_crew.FormerCrew(self._crew)
            former.note_aware(self._own, now_s)
            self._formers.append(former)
        self._crew = crew
        for former in self._formers:
            former.succeed(crew)
        self._trust.set_members(former_crew.owners_of(crew).values())
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
        self._trust.heard_log(asked_s)

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests a backend server can be given now."""
        account = self._accounts.get(server_id)
        if account is None:
            return 0
        return account.free(now_s, is_confirmed=now_s < self._trust.until_s)

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
        is_confirmed = now_s < self._trust.until_s
        hold = account.take(server_id, now_s, is_confirmed=is_confirmed)
        if hold is None:
            return slot_hold.NoSlot(
                self._why_not(account, is_confirmed=is_confirmed)
            )
        return hold

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
        """Does what is due; call it a few times a second.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Messages to send.
        """
        if self._blind_until_s is not None and now_s >= self._blind_until_s:
            self._blind_until_s = None
            self._update_shares(now_s)
        self._drop_formers(now_s)
        return self._checks(now_s)

    def on_crew_check(
        self, message: slot_messages.CrewCheck, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Answers a check of the crew record."""
        self._note_aware(message.sender, message.crew_number, now_s)
        over_share = tuple(
            server_id
            for server_id, account in self._accounts.items()
            if account.is_over_share
        )
        state = slot_messages.CrewState(
            message.service,
            self._own,
            message.check_id,
            self.crew_number,
            over_share,
        )
        return [slot_messages.Outgoing(message.sender.instance_id, state)]

    def on_crew_state(
        self, message: slot_messages.CrewState, now_s: float
    ) -> list[slot_messages.Outgoing]:
        """Takes in the answer to a check."""
        asked_s = self._checks_s.get(message.check_id)
        if asked_s is not None and message.crew_number <= self.crew_number:
            self._trust.heard_member(message.sender, asked_s)
        self._note_aware(message.sender, message.crew_number, now_s)
        for former in self._formers:
            former.note_settled(message)
        self._drop_formers(now_s)
        return []

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
            (not self._is_member(), slot_hold.NoSlotReason.NOT_A_MEMBER),
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

    def _is_member(self) -> bool:
        """Returns whether this life is in the newest crew record."""
        return self._own in self._members()

    def _members(self) -> Iterable[slot_messages.Owner]:
        """Returns the members of the newest crew record."""
        if self._crew is None:
            return ()
        return former_crew.owners_of(self._crew).values()

    def _update_shares(self, now_s: float) -> None:
        """Works out all shares anew."""
        if self._crew is None:
            return
        for server_id in self._crew.shares:
            self._account(server_id)
        for server_id, account in list(self._accounts.items()):
            if server_id not in self._crew.shares and account.is_idle:
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
        if self._crew is None:
            return
        shares = self._crew.shares.get(server_id, {})
        owners = former_crew.owners_of(self._crew)
        names = sorted(name for name in shares if name in owners)
        parts = slot_account.apportion(
            account.limit, [shares[name] for name in names]
        )
        is_member = owners.get(self._own.instance_id) == self._own
        own_name = self._own.instance_id
        portion = dict(zip(names, parts, strict=True)).get(own_name, 0)
        record = shares.get(own_name, 0) if is_member else 0
        account.set_share(
            record=record,
            usable=self._usable_share(server_id, record, now_s),
            portion=portion,
            is_steward=is_member and own_name == _steward(server_id, shares),
        )

    def _usable_share(
        self, server_id: ids.ServerId, record: int, now_s: float
    ) -> int:
        """Returns the slots that no former owner can use."""
        if self._blind_until_s is not None and now_s < self._blind_until_s:
            return 0
        limits = [
            former.share_limit(self._own, server_id) for former in self._formers
        ]
        return min([record, *(limit for limit in limits if limit is not None)])

    def _note_aware(
        self,
        sender: slot_messages.Owner,
        crew_number: ids.LogOffset,
        now_s: float,
    ) -> None:
        """Notes which record a member knows."""
        for former in self._formers:
            if crew_number > former.number:
                former.note_aware(sender, now_s)

    def _drop_formers(self, now_s: float) -> None:
        """Forgets older records that are over."""
        if not self._formers:
            return
        wait_s = self._timing.takeover_s
        self._formers = [
            former
            for former in self._formers
            if not former.is_over(now_s, wait_s)
        ]
        self._update_shares(now_s)

    def _checks(self, now_s: float) -> list[slot_messages.Outgoing]:
        """Returns checks to send to those whose answer is wanted."""
        if now_s < self._next_check_s or self._crew is None:
            return []
        targets = self._check_targets(now_s)
        if not targets:
            return []
        self._next_check_s = now_s + self._timing.check_interval_s
        check = slot_messages.CrewCheck(
            self._crew.service,
            self._own,
            next(self._check_ids),
            self._crew.number,
        )
        self._checks_s[check.check_id] = now_s
        oldest_s = now_s - self._timing.silence_s
        self._checks_s = {
            check_id: asked_s
            for check_id, asked_s in self._checks_s.items()
            if asked_s >= oldest_s
        }
        return [slot_messages.Outgoing(name, check) for name in targets]

    def _check_targets(self, now_s: float) -> list[ids.InstanceId]:
        """Returns whom to ask: unsettled owners, all if trust runs out."""
        targets = {
            owner.instance_id
            for former in self._formers
            for owner in former.awaited
        }
        left_s = self._trust.until_s - now_s
        if self._is_member() and left_s < self._timing.silence_s / 2:
            targets.update(owner.instance_id for owner in self._members())
        targets.discard(self._own.instance_id)
        return sorted(targets)


def _steward(
    server_id: ids.ServerId, shares: Mapping[ids.InstanceId, int]
) -> ids.InstanceId | None:
    """Returns the member that warms a backend server while it is cold."""
    owners = [name for name, count in shares.items() if count]
    if not owners:
        return None
    return max(
        owners,
        key=lambda name: (
            shares[name],
            xxhash.xxh64_intdigest(f"{server_id}\n{name}".encode()),
        ),
    )
