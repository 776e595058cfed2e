"""UsageSender: sends the counts of this instance to those that report them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import owned_task
from magnoliacrank.entry import usage_messages
from magnoliacrank.policy import backoff
from magnoliacrank.policy import usage_windows

if TYPE_CHECKING:
    import random

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import peer_fetcher
    from magnoliacrank.entry import usage_counter
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import peer_status

RECIPIENTS = 2
"""Number of instances, first in the duty order, that get all counts: the holder
of the duty and one that can take it over."""

_TICK_S = 0.2

_DELAY_S = 0.3
"""Time after the middle or end of a window before its counts are sent."""

_MAX_JITTER_S = 0.4
"""Largest further delay, so that instances don't all send at once."""

_INITIAL_BACKOFF_S = 0.4
_MAX_BACKOFF_S = 2.0


@attrs.define
class _Recipient:
    """What one recipient has acknowledged."""

    backoff: backoff.Backoff = attrs.field(
        factory=lambda: backoff.Backoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S)
    )
    """Delay after a failed call."""

    acknowledged: dict[int, tuple[int, bool]] = attrs.field(factory=dict)
    """Revision of the counts, and whether they were final, by window."""


class UsageSender:
    """Sends cumulative counts twice a window, in its middle and at its end.

    The counts in the middle make it known which instances have any, and bound
    what is lost with a process. A new recipient gets the counts of all recent
    windows.

    Args:
        source: This process.
        counter: Counts of this instance.
        ledger: Receives the counts of this instance without a message.
        roster: Membership, which determines the recipients.
        fetcher: Client of the port between instances.
        log: Log for exceptions of the task.
        rng: Random numbers for the jitter.
    """

    def __init__(
        self,
        source: usage_windows.Source,
        counter: usage_counter.UsageCounter,
        ledger: usage_windows.UsageLedger,
        roster: instance_roster.InstanceRoster,
        fetcher: peer_fetcher.PeerFetcher,
        log: event_log.EventLog,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._counter = counter
        self._ledger = ledger
        self._roster = roster
        self._fetcher = fetcher
        self._log = log
        self._delay_s = _DELAY_S + rng.random() * _MAX_JITTER_S
        self._recipients: dict[tuple[str, int], _Recipient] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the background task."""
        self._task = owned_task.spawn_loop(self._run, "usage counts", self._log)

    async def close(self) -> None:
        """Stops the background task, then sends the last counts."""
        await owned_task.stop(self._task)
        await self._send(self._counter.current_window() + 1)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            delayed_s = self._counter.unix_s() - self._delay_s
            window_s = self._counter.window_s
            window = usage_windows.window_at(delayed_s, window_s)
            has_half_passed = delayed_s - window * window_s >= window_s / 2
            await self._send(window, includes_current=has_half_passed)

    async def _send(
        self, current: int, *, includes_current: bool = False
    ) -> None:
        """Sends the counts that recipients have not acknowledged.

        Args:
            current: Number of the first window that has not ended.
            includes_current: Whether to send the counts of that window too.
        """
        windows = [
            item
            for item in self._counter.meter.report(current)
            if item.is_final or includes_current
        ]
        if not windows:
            return
        for item in windows:
            self._ledger.merge(self._source, item, current)
        mesh = self._roster.mesh(self._counter.clock())
        facts = [mesh.members[node] for node in mesh.duty_ranking[:RECIPIENTS]]
        own = self._roster.own.node
        known = self._recipients
        self._recipients = {
            key: known.get(key, _Recipient())
            for key in ((fact.node, fact.incarnation) for fact in facts)
            if key[0] != own
        }
        await asyncio.gather(
            *(
                self._send_to(fact, windows, corrects=includes_current)
                for fact in facts
                if fact.node != own
            )
        )

    async def _send_to(
        self,
        fact: peer_status.PeerStatus,
        windows: list[usage_windows.WindowCounts],
        *,
        corrects: bool,
    ) -> None:
        recipient = self._recipients[fact.node, fact.incarnation]
        done = recipient.acknowledged
        changed = [
            item
            for item in windows
            if _is_unsent(item, done, corrects=corrects)
        ]
        if not changed or not recipient.backoff.may_call(self._counter.clock()):
            return
        data = usage_messages.encode_push(self._source, changed)
        is_accepted = await self._fetcher.post(
            fact.ip, usage_messages.PATH, data
        )
        recipient.backoff.on_result(
            failed=not is_accepted, now_s=self._counter.clock()
        )
        if is_accepted:
            for item in changed:
                done[item.window] = (item.revision, item.is_final)


def _is_unsent(
    item: usage_windows.WindowCounts,
    done: dict[int, tuple[int, bool]],
    *,
    corrects: bool,
) -> bool:
    """Whether a recipient lacks counts that are to be sent now.

    Counts of the current window are sent once. Final counts are corrected only
    in the second half of the next window, so that changes are sent together.
    """
    known = done.get(item.window)
    if known is None:
        return True
    _, was_final = known
    if not item.is_final:
        return False
    return not was_final or (corrects and known != (item.revision, True))
