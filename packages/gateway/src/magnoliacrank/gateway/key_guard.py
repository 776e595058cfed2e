"""KeyGuard: admits one dispatch for each ticketed key of this instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table
from magnoliacrank.policy import tickets

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.model import ids
    from magnoliacrank.model import instance
    from magnoliacrank.model import request

_STILL_RUNNING = key_table.Repeat(
    verdict.may_have_run(verdict.Reason.KEY_IN_PROGRESS)
)


@attrs.frozen
class OwnedElsewhere:
    """Another life of an instance owns the key."""

    ticket: tickets.Ticket
    """Ticket that names the owner."""


Decision = (
    key_table.Dispatch
    | key_table.Repeat
    | key_table.KeyRefused
    | OwnedElsewhere
)
"""What to do with a request that carries a ticketed key."""


class KeyGuard:
    """Keys that were made under tickets of this instance.

    Args:
        own: This instance.
        mint: Issues and checks tickets.
        table: Keys in memory.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        mint: tickets.TicketMint,
        table: key_table.KeyTable,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._mint = mint
        self._table = table
        self._clock = clock
        self._waiters: dict[
            key_entry.ScopedKey, list[asyncio.Future[None]]
        ] = {}

    @property
    def table(self) -> key_table.KeyTable:
        """Keys in memory."""
        return self._table

    def issue_ticket(self, service: ids.ServiceName) -> str:
        """Returns a new ticket under which this instance owns keys."""
        return self._mint.issue(service, self._clock())

    def find_owner(self, token: str) -> OwnedElsewhere | verdict.Verdict | None:
        """Tells who owns the keys made under a ticket.

        Args:
            token: The ticket as sent.

        Returns:
            None for this life of this instance, another owner, or the verdict
            on a ticket that cannot be read.
        """
        ticket = tickets.read(token)
        if isinstance(ticket, tickets.TicketRejected):
            return verdict.not_run(verdict.Reason.TICKET_INVALID)
        is_own = (
            ticket.instance_id == self._own.instance_id
            and ticket.incarnation == self._own.incarnation
        )
        return None if is_own else OwnedElsewhere(ticket)

    async def begin(
        self, wanted: request.Request, token: str
    ) -> key_table.Dispatch | key_table.Repeat | key_table.KeyRefused:
        """Decides what becomes of a request; waits for an earlier copy.

        Args:
            wanted: The request with key and digest.
            token: The ticket as sent, which names this instance.

        Returns:
            A dispatch that must be finished, or what the caller is told.
        """
        ticket = self._mint.check(token, wanted.service)
        if isinstance(ticket, tickets.TicketRejected):
            return key_table.KeyRefused(
                verdict.not_run(verdict.Reason.TICKET_INVALID)
            )
        assert wanted.key is not None
        key = key_entry.ScopedKey(
            wanted.customer, wanted.service, token, wanted.key
        )
        while True:
            decision = self._table.begin(
                key, wanted.digest, ticket.issued_s, self._clock()
            )
            if not isinstance(decision, key_table.AwaitFirst):
                return decision
            if not await self._wait(key, wanted.deadline_s):
                return _STILL_RUNNING

    def finish(
        self,
        dispatch: key_table.Dispatch,
        outcome: verdict.Verdict,
        kept: key_entry.KeptAnswer | None = None,
    ) -> None:
        """Records how the one dispatch ended and wakes the copies.

        Args:
            dispatch: What `begin` returned.
            outcome: Its verdict.
            kept: The whole answer, where there is one.
        """
        self._table.finish(dispatch.key, outcome, kept)
        for waiter in self._waiters.pop(dispatch.key, ()):
            if not waiter.done():
                waiter.set_result(None)

    async def _wait(self, key: key_entry.ScopedKey, deadline_s: float) -> bool:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(key, []).append(waiter)
        try:
            await asyncio.wait_for(waiter, deadline_s - self._clock())
        except TimeoutError:
            return False
        return True
