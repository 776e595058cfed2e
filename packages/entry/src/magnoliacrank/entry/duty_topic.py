"""DutyTopic: the topic of the store that names the holder of the usage duty.

The topic also holds the report of each recent window. A report is written
before it is sent, so that another holder sends the same bytes or none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.entry import usage_messages
from magnoliacrank.platform import store_client
from magnoliacrank.policy import backoff
from magnoliacrank.policy import duty_lease

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log

_CALL_TIMEOUT_S = 1.0
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0


class DutyTopic:
    """Reads and writes the duty's topic and keeps the lease up to date.

    All methods do nothing and return False while the delay after a failed call
    is running.

    Args:
        store: Client of the store.
        lease: Lease of the duty.
        kept_windows: Number of windows whose reports are kept.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
        log: Log for failed calls.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        lease: duty_lease.DutyLease,
        kept_windows: int,
        clock: Callable[[], float],
        log: event_log.EventLog,
    ) -> None:
        self._store = store
        self._lease = lease
        self._kept_windows = kept_windows
        self._clock = clock
        self._log = log
        self._backoff = backoff.Backoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S)
        self._stored: set[int] = set()
        self.reports: dict[int, str | None] = {}
        """Report of each recent window; None for one that may not be sent."""

    @property
    def era(self) -> int:
        """Newest era that the store has stated; 0 if it states none."""
        return self._store.era or 0

    @property
    def newest_window(self) -> int | None:
        """Newest window with a report; None if there is none."""
        return max(self.reports, default=None)

    def lost_windows(self) -> list[int]:
        """Returns windows whose known reports the store has lost."""
        return sorted(self.reports.keys() - self._stored)

    async def read(self) -> bool:
        """Reads the holder and the reports; returns whether it succeeded."""
        if not self._backoff.may_call(self._clock()):
            return False
        era = self._store.era
        newest = await self._store.newest(
            store_client.DUTY_TOPIC, _CALL_TIMEOUT_S
        )
        if not self._succeeded(newest):
            return False
        assert isinstance(newest, store_client.NewestRecords)
        if era is not None and self._store.era != era:
            # The answer may be of the previous era.
            return False
        holder = None
        self._stored = set()
        for record in newest.records:
            value = record.value or b""
            if record.key == usage_messages.HOLDER_KEY:
                holder = usage_messages.decode_holder(value)
            elif record.key.startswith(usage_messages.REPORT_KEY_PREFIX):
                report = usage_messages.decode_report(value)
                if report is not None:
                    self._merge(report)
        self._drop_old_reports()
        mark = duty_lease.TopicMark(self.era, newest.end)
        self._lease.on_read(holder, mark, self._clock())
        return True

    async def take(self) -> bool:
        """Takes the duty with a new token; returns whether it succeeded."""
        record = self._lease.next_record(self.era)
        started_s = self._clock()
        mark = await self._append(
            usage_messages.HOLDER_KEY, usage_messages.encode_holder(record)
        )
        if mark is None:
            return False
        self._lease.on_taken(record, mark, started_s)
        return self._lease.is_held

    async def renew(self) -> bool:
        """Extends the lease; returns whether this instance may act."""
        record = self._lease.record
        if record is None or not await self._ensure_mark():
            return False
        is_written = await self._write(
            usage_messages.HOLDER_KEY, usage_messages.encode_holder(record)
        )
        return is_written and self._lease.may_act(self._clock())

    async def write_report(self, window: int, content: str | None) -> bool:
        """Writes the report of a window, before it is sent.

        Args:
            window: Number of the window.
            content: The report, or None if no report may be sent.

        Returns:
            Whether `reports` holds the report of the window now. It may be
            another one, which was written before.
        """
        if not await self._ensure_mark():
            return False
        if window in self.reports and window in self._stored:
            return True
        is_written = await self._write(
            usage_messages.report_key(window, self._kept_windows),
            usage_messages.encode_report(window, content),
        )
        if is_written:
            self.reports[window] = content
            self._stored.add(window)
            self._drop_old_reports()
        return is_written

    async def _ensure_mark(self) -> bool:
        """Reads the topic if its end is unknown; False if the duty is lost."""
        if self._lease.mark is None and not await self.read():
            return False
        return self._lease.is_held

    async def _write(self, key: str, value: bytes) -> bool:
        started_s = self._clock()
        mark = await self._append(key, value)
        if mark is None:
            return False
        self._lease.on_written(mark, started_s)
        return self._lease.is_held

    async def _append(
        self, key: str, value: bytes
    ) -> duty_lease.TopicMark | None:
        mark = self._lease.mark
        if mark is None or not self._backoff.may_call(self._clock()):
            return None
        offset = await self._store.append(
            store_client.DUTY_TOPIC, key, value, _CALL_TIMEOUT_S, mark.end
        )
        if not self._succeeded(offset):
            self._lease.on_write_unknown()
            return None
        assert isinstance(offset, int)
        if mark.era != self.era or offset != mark.end:
            self._lease.on_write_unknown()
            return None
        return duty_lease.TopicMark(self.era, offset + 1)

    def _succeeded(self, result: object) -> bool:
        failure = isinstance(result, store_client.StoreFailure)
        is_conflict = (
            isinstance(result, store_client.StoreFailure)
            and result.kind is store_client.StoreFailureKind.CONFLICT
        )
        self._backoff.on_result(
            failed=failure and not is_conflict, now_s=self._clock()
        )
        if isinstance(result, store_client.StoreFailure):
            self._log.warning(
                "usage duty not recorded",
                reason=result.kind.value,
                detail=result.detail,
            )
        return not failure

    def _merge(self, report: usage_messages.ReportRecord) -> None:
        """Adopts a stored report, unless another one is known.

        A report never changes in the store, except that after a reset a delayed
        write may be executed in place of the report that was sent.
        """
        known = self.reports.setdefault(report.window, report.content)
        if known == report.content:
            self._stored.add(report.window)

    def _drop_old_reports(self) -> None:
        newest = max(self.reports, default=0)
        first = newest - self._kept_windows + 1
        self.reports = {
            window: content
            for window, content in self.reports.items()
            if window >= first
        }
        self._stored &= self.reports.keys()
