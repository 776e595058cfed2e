"""KeyGuard: allows one dispatch for each idempotency key with a ticket.

A ticket names the instance, and its incarnation (one run of its process),
that deduplicates the keys made under it.
"""

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

_STILL_RUNNING = key_table.RepeatOutcome(
    verdict.may_have_run(verdict.Reason.KEY_IN_PROGRESS)
)


@attrs.frozen
class OwnedElsewhere:
    """Another instance, or another incarnation of this one, owns the key."""

    ticket: tickets.Ticket
    """Ticket that names the owner; its authenticity is not checked."""


Decision = (
    key_table.Dispatch
    | key_table.RepeatOutcome
    | key_table.KeyRefused
    | OwnedElsewhere
)
"""What to do with a request that carries a ticketed key."""


class KeyGuard:
    """Deduplicates the requests whose tickets this instance issued.

    The first request under a key is dispatched. A repeat waits until it is
    finished and gets the same outcome.

    Args:
        own: This instance.
        mint: Issues and checks tickets.
        table: State and outcome of each key, in memory.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
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
        """State and outcome of each key, in memory."""
        return self._table

    def issue_ticket(self, service: ids.ServiceName) -> str:
        """Returns a new ticket under which this instance owns keys.

        Args:
            service: Service that the ticket is for.
        """
        return self._mint.issue(service, self._clock())

    def find_owner(self, token: str) -> OwnedElsewhere | verdict.Verdict | None:
        """Finds the owner of the keys made under a ticket.

        Args:
            token: Value of the ticket header.

        Returns:
            None for this incarnation of this instance, another owner, or the
            verdict on a ticket that cannot be read.
        """
        ticket = tickets.parse_unverified(token)
        if isinstance(ticket, tickets.TicketRejected):
            return verdict.not_run(verdict.Reason.TICKET_INVALID)
        is_own = (
            ticket.instance_id == self._own.instance_id
            and ticket.incarnation == self._own.incarnation
        )
        return None if is_own else OwnedElsewhere(ticket)

    async def begin(
        self, incoming: request.Request, token: str
    ) -> key_table.Dispatch | key_table.RepeatOutcome | key_table.KeyRefused:
        """Decides whether to dispatch a request, repeat an outcome or refuse.

        While the first request under the key is in progress, a repeat waits
        for its outcome until the repeat's own deadline.

        Args:
            incoming: The request with key and digest.
            token: Value of the ticket header; the ticket names this instance.

        Returns:
            A dispatch, to be passed to `finish` at its end; the outcome of
            the first request; or a refusal.
        """
        ticket = self._mint.verify(token, incoming.service)
        if isinstance(ticket, tickets.TicketRejected):
            return key_table.KeyRefused(
                verdict.not_run(verdict.Reason.TICKET_INVALID)
            )
        assert incoming.key is not None
        key = key_entry.ScopedKey(
            incoming.customer, incoming.service, token, incoming.key
        )
        while True:
            decision = self._table.begin(
                key, incoming.digest, ticket.issued_s, self._clock()
            )
            if not isinstance(decision, key_table.AwaitFirst):
                return decision
            if not await self._wait(key, incoming.deadline_s):
                return _STILL_RUNNING

    def finish(
        self,
        dispatch: key_table.Dispatch,
        outcome: verdict.Verdict,
        kept: key_entry.KeptAnswer | None = None,
    ) -> None:
        """Records the outcome of a dispatch and wakes the waiting repeats.

        Args:
            dispatch: The dispatch that `begin` returned.
            outcome: Verdict of the dispatch.
            kept: The whole answer if it is kept for repeats, or None.
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
