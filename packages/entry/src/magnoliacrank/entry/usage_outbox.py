"""UsageOutbox: sends recorded usage reports until the platform accepts them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.platform import usage_client
from magnoliacrank.policy import backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import duty_topic
    from magnoliacrank.entry import event_log
    from magnoliacrank.policy import duty_lease

Result = usage_client.UsageResult

_CALL_TIMEOUT_S = 1.5
"""Timeout of a call to the platform."""

_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0

_USED_CALL_SHARE = 0.5
"""Share of the platform's bound on calls that the holder uses at most."""

_REPEATED = frozenset({Result.THROTTLED, Result.UNAVAILABLE, Result.UNKNOWN})
"""Results after which the same report is sent again."""


class UsageOutbox:
    """Reports that are recorded in the store but not accepted yet.

    A report is repeated byte by byte, so that a call which is executed late
    changes nothing.

    Args:
        node: Name of this instance.
        calls_per_s: The platform's bound on calls per second.
        client: Client of the platform.
        lease: Decides whether this instance may act.
        topic: Extends the lease.
        left_s: Returns the seconds until the usage of a window is due.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
        log: Log for each report.

    Attributes:
        accepted: Number of reports that the platform accepted.
        missed: Number of windows that were not reported.
    """

    def __init__(
        self,
        node: str,
        calls_per_s: float,
        client: usage_client.UsageClient,
        lease: duty_lease.DutyLease,
        topic: duty_topic.DutyTopic,
        left_s: Callable[[int], float],
        clock: Callable[[], float],
        log: event_log.EventLog,
    ) -> None:
        self._node = node
        self._call_interval_s = 1 / (calls_per_s * _USED_CALL_SHARE)
        self._client = client
        self._lease = lease
        self._topic = topic
        self._left_s = left_s
        self._clock = clock
        self._log = log
        self._reports: dict[int, str] = {}
        self._last_result: Result | None = None
        self._next_call_s = float("-inf")
        self._backoff = backoff.Backoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S)
        self.accepted = 0
        self.missed = 0

    def clear(self) -> None:
        """Drops all reports; another holder sends them."""
        self._reports = {}
        self._last_result = None

    def add(self, window: int, content: str) -> None:
        """Adds a recorded report.

        Args:
            window: Number of the window.
            content: The encoded report.
        """
        self._reports[window] = content

    def on_missed(self, window: int, reason: str, windows: int = 1) -> None:
        """Counts and logs windows that are not reported.

        Args:
            window: Number of the first window.
            reason: Why it isn't.
            windows: Number of windows.
        """
        self.missed += windows
        self._log.warning(
            "usage not reported", window=window, windows=windows, reason=reason
        )

    async def send_next(self) -> bool:
        """Sends the oldest report, unless it is too early to call again.

        Returns:
            Whether the platform refused the fencing token, so that the duty is
            lost.
        """
        now_s = self._clock()
        is_due = now_s >= self._next_call_s and self._backoff.may_call(now_s)
        if not self._reports or not is_due:
            return False
        if not self._lease.may_act(now_s) and not await self._topic.renew():
            return False
        self._drop_late()
        if not self._reports:
            return False
        window, content = min(self._reports.items())
        token = self._lease.token
        result = await self._client.report(
            self._node, token, content.encode(), _CALL_TIMEOUT_S
        )
        now_s = self._clock()
        self._last_result = result
        self._next_call_s = now_s + self._call_interval_s
        self._backoff.on_result(failed=result in _REPEATED, now_s=now_s)
        if result is Result.FENCED:
            self._lease.on_refused(now_s)
            return True
        if result not in _REPEATED:
            del self._reports[window]
            self._on_done(window, content, token, result)
        return False

    def _on_done(
        self, window: int, content: str, token: int, result: Result
    ) -> None:
        if result is not Result.ACCEPTED:
            self.on_missed(window, result.value)
            return
        self.accepted += 1
        counts = usage_client.decode_counts(content)
        self._log.event(
            "usage reported",
            window=window,
            token=token,
            customers=len(counts),
            requests=sum(counts.values()),
        )

    def _drop_late(self) -> None:
        last = self._last_result
        for window in sorted(self._reports):
            if self._left_s(window) > 0:
                return
            del self._reports[window]
            self.on_missed(window, "not-sent" if last is None else last.value)
