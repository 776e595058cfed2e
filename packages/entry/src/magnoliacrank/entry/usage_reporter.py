"""UsageReporter: reports the usage of all customers, on one instance at a time.

The instance that holds the usage duty builds the report of each window from the
counts of all instances, writes it to the store and sends it to the platform.
The other instance that gets all counts watches it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import owned_task
from magnoliacrank.entry import usage_sender
from magnoliacrank.platform import usage_client
from magnoliacrank.policy import usage_windows

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import duty_topic
    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import usage_counter
    from magnoliacrank.entry import usage_outbox
    from magnoliacrank.policy import duty_lease
    from magnoliacrank.policy import instance_roster

_TICK_S = 0.2

_SETTLE_SHARE = 0.3
"""Time after the end of a window before it is reported, as a share of the time
within which its usage is due. Instances have sent their counts by then."""

_INCOMPLETE_SHARE = 0.5
"""Like `_SETTLE_SHARE`, if live instances have not sent their final counts."""

_CHECK_SHARE = 0.6
"""Time after the end of a window when the other instance checks that it was
recorded, as a share of the time within which its usage is due."""

_GATHERING_S = 2.0
"""Time as a recipient after which the counts of recent windows have arrived."""

_CATCH_UP_S = 2.0
"""Time after a takeover in which the new holder records older windows."""

_TAKEOVER_STEP_S = 0.5
"""Further delay per position in the duty order before the duty is taken, so
that instances don't compete."""


class UsageReporter:
    """Holds the usage duty, or watches its holder.

    It does nothing while no customer's request has been counted, or while this
    instance isn't one of the first in the duty order.

    Args:
        node: Name of this instance.
        counter: Provides true time and the current window.
        ledger: Counts of all instances.
        topic: Records of the duty in the store.
        lease: Decides whether this instance may act.
        outbox: Sends recorded reports to the platform.
        roster: Membership, which determines who may hold the duty.
        knows_mesh: Returns whether the membership view can be relied on at a
            monotonic time in seconds.
        log: Log for changes of the holder and for each report.
    """

    def __init__(
        self,
        node: str,
        counter: usage_counter.UsageCounter,
        ledger: usage_windows.UsageLedger,
        topic: duty_topic.DutyTopic,
        lease: duty_lease.DutyLease,
        outbox: usage_outbox.UsageOutbox,
        roster: instance_roster.InstanceRoster,
        knows_mesh: Callable[[float], bool],
        log: event_log.EventLog,
    ) -> None:
        self._node = node
        self._knows_mesh = knows_mesh
        self._late_s = counter.late_s
        self._counter = counter
        self._ledger = ledger
        self._topic = topic
        self._lease = lease
        self._outbox = outbox
        self._roster = roster
        self._log = log
        self._clock = counter.clock
        self._next_window = 0
        self._first_known_window = 0
        self._was_holder = False
        self._own_token = 0
        self._kept_lease = False
        self._era: int | None = None
        self._era_window = 0
        self._recipient_since_s: float | None = None
        self._first_whole_window = 0
        self._active_since_s: float | None = None
        self._next_read_s = float("-inf")
        self._is_watching = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the background task."""
        self._task = owned_task.spawn_loop(self._run, "usage duty", self._log)

    async def close(self) -> None:
        """Stops the background task."""
        await owned_task.stop(self._task)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            await self.step()

    async def step(self) -> None:
        """Does what is due now."""
        now_s = self._clock()
        self._check_era(now_s)
        position = self._roster.duty_order(now_s)
        is_recipient = position < usage_sender.RECIPIENTS
        if not is_recipient or not self._knows_mesh(now_s):
            self._recipient_since_s = None
            self._active_since_s = None
            self._drop("position")
            return
        if self._recipient_since_s is None:
            self._recipient_since_s = now_s
            self._first_whole_window = self._counter.current_window() + 1
        if self._ledger.first_window is None:
            return
        if self._active_since_s is None:
            self._active_since_s = now_s
        if self._lease.is_held:
            await self._record_windows()
            if await self._outbox.send_next():
                self._drop("fenced")
            if not self._lease.is_held:
                self._drop("another-holder")
        else:
            await self._watch(now_s, position)

    def _drop(self, reason: str) -> None:
        """Stops acting as the holder, if this instance was it."""
        self._lease.release()
        self._outbox.clear()
        self._is_watching = False
        if self._was_holder:
            self._was_holder = False
            self._next_read_s = float("-inf")
            self._log.event(
                "usage duty lost", token=self._own_token, reason=reason
            )

    def _check_era(self, now_s: float) -> None:
        """Gives up the duty if the store has returned from an older copy."""
        if self._topic.era != self._era:
            self._era = self._topic.era
            self._era_window = self._counter.current_window()
        if not self._lease.is_held or self._topic.era == self._lease.era:
            return
        # Without its lease, another holder may have reported windows in the
        # records that are lost now.
        self._kept_lease = self._lease.was_exclusive(now_s)
        self._lease.on_era(self._topic.era)
        self._drop("store-era")

    async def _watch(self, now_s: float, position: int) -> None:
        if self._is_watching and not self._is_holder_present(now_s):
            self._is_watching = False
            self._next_read_s = now_s
        if now_s < self._next_read_s or not await self._topic.read():
            return
        now_s = self._clock()
        if self._is_holder_working(now_s):
            self._is_watching = True
            self._next_read_s = now_s + self._time_to_check_s()
            return
        take_s = max(
            self._lease.earliest_take_s(),
            self._active_since_s or now_s,
        )
        take_s += position * _TAKEOVER_STEP_S
        if now_s < take_s:
            self._next_read_s = take_s
            return
        await self._take()

    def _is_holder_present(self, now_s: float) -> bool:
        record = self._lease.record
        ranking = self._roster.mesh(now_s).duty_ranking
        return record is not None and (
            record.holder != self._node
            and record.holder in ranking[: usage_sender.RECIPIENTS]
        )

    def _is_holder_working(self, now_s: float) -> bool:
        """Whether another instance holds the duty and records the windows."""
        if not self._is_holder_present(now_s):
            return False
        due = self._window_before(self._late_s * _CHECK_SHARE)
        newest = self._topic.newest_window
        if newest is not None and newest >= due:
            return True
        # A holder that has just taken over records older windows first, and
        # the first holder of all records its first window at its end.
        allowance_s = _CATCH_UP_S
        if newest is None:
            allowance_s = self._counter.window_s + self._late_s * _CHECK_SHARE
        return now_s - self._lease.seen_s < allowance_s

    def _time_to_check_s(self) -> float:
        """Returns the seconds until the next window has to be recorded."""
        delay_s = self._late_s * _CHECK_SHARE
        window_s = self._counter.window_s
        unix_s = self._counter.unix_s()
        due = self._window_before(delay_s) + 1
        return (due + 1) * window_s + delay_s - unix_s + _TICK_S

    def _window_before(self, delay_s: float) -> int:
        """Returns the newest window that ended at least `delay_s` ago."""
        unix_s = self._counter.unix_s() - delay_s
        return usage_windows.window_at(unix_s, self._counter.window_s) - 1

    async def _take(self) -> None:
        previous = self._lease.record
        is_known = self._kept_lease and self._lease.was_exclusive(self._clock())
        is_reset = not is_known and (
            previous is None or previous.era != self._topic.era
        )
        if not await self._topic.take():
            return
        newest = self._topic.newest_window
        if newest is not None:
            self._next_window = newest + 1
        else:
            first = self._ledger.first_window
            current = self._counter.current_window()
            self._next_window = current if first is None else first
        self._first_known_window = self._next_window
        if is_reset:
            # Windows that had ended before the store lost its newest records
            # may have been reported.
            self._first_known_window = self._era_window
        self._kept_lease = False
        self._is_watching = False
        self._was_holder = True
        self._own_token = self._lease.token
        self._outbox.clear()
        for window, report in self._topic.reports.items():
            if report is not None and self._counter.left_s(window) > 0:
                self._outbox.add(window, report)
        self._log.event(
            "usage duty taken",
            token=self._lease.token,
            previous=None if previous is None else previous.holder,
            window=self._next_window,
        )

    async def _record_windows(self) -> None:
        """Records the windows that can be reported now, oldest first."""
        for window in self._topic.lost_windows():
            content = self._topic.reports[window]
            if not await self._topic.write_report(window, content):
                return
        while self._lease.is_held:
            if not await self._skip_late_windows():
                return
            window = self._next_window
            if window in self._topic.reports:
                # A write without an answer was executed after all.
                content = self._topic.reports[window]
            else:
                decision = self._decide(window)
                if decision is None:
                    return
                content, reason = decision
                if not await self._topic.write_report(window, content):
                    return
                content = self._topic.reports[window]
                if content is None:
                    self._outbox.on_missed(window, reason)
            if content is not None:
                self._outbox.add(window, content)
            self._next_window = window + 1

    async def _skip_late_windows(self) -> bool:
        """Leaves out windows that are too late for any holder.

        Returns:
            Whether the next window can be considered. If not, this instance
            can't show that it still is the holder, and another may have
            reported those windows.
        """
        first_due = self._window_before(self._late_s) + 1
        skipped = range(self._next_window, first_due)
        if not skipped:
            return True
        may_act = self._lease.may_act(self._clock())
        if not may_act and not await self._topic.renew():
            return False
        self._outbox.on_missed(skipped[0], "too-late", len(skipped))
        self._next_window = first_due
        return True

    def _decide(self, window: int) -> tuple[str | None, str] | None:
        """Returns the report of a window, or why none is sent.

        Returns:
            The report and an empty reason, no report and the reason, or None
            if it is too early.
        """
        elapsed_s = self._late_s - self._counter.left_s(window)
        if elapsed_s < self._late_s * _SETTLE_SHARE:
            return None
        if window < self._first_known_window:
            return None, "may-have-been-reported"
        now_s = self._clock()
        since_s = self._recipient_since_s
        if since_s is None or now_s - since_s < _GATHERING_S:
            return None
        missing = self._ledger.missing(window)
        present = {
            usage_windows.Source(fact.node, fact.incarnation)
            for fact in self._roster.mesh(now_s).present
        }
        is_awaited = not present.isdisjoint(missing)
        if is_awaited and elapsed_s < self._late_s * _INCOMPLETE_SHARE:
            return None
        first = self._ledger.first_window
        is_unknown = bool(missing) or first is None or window < first
        if is_unknown and not self._ledger.has_counts(window):
            return None, "no-counts"
        is_whole = window >= self._first_whole_window
        if missing or not is_whole:
            # Instances that were lost before this one gathered counts may have
            # had some that nobody knows.
            self._log.warning(
                "usage incomplete",
                window=window,
                reason="counts-missing" if missing else "gathered-in-part",
                instances=[source.node for source in missing],
            )
        counts = self._ledger.totals(window)
        return usage_client.encode_report(window, counts).decode(), ""
