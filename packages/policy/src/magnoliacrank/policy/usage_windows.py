"""UsageMeter and UsageLedger: counts of each customer's requests by window.

A window is a span of the true time of day. Each instance counts in a
`UsageMeter` the requests that backend servers began to run for it. The
instances that may have to report the usage merge the counts of all instances in
a `UsageLedger`.

Load pattern: more than a hundred instances count at once, and messages between
them are lost, repeated and overtaken. Counts are cumulative and numbered by
revision, so that each message replaces the ones before it.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

_SPARE_WINDOWS = 4
"""Windows that are kept beyond those that may be due: the current one, the one
that has just ended, and two for instances whose time differs."""


def windows_to_keep(window_s: float, late_s: float) -> int:
    """Returns the number of windows to remember, the current one included.

    Args:
        window_s: Length of a window in seconds.
        late_s: Seconds after the end of a window until which it is due.
    """
    return math.ceil(late_s / window_s) + _SPARE_WINDOWS


def window_at(unix_s: float, window_s: float) -> int:
    """Returns the number of the window that contains a time.

    Args:
        unix_s: Seconds since 1970 in true time.
        window_s: Length of a window in seconds.
    """
    return math.floor(unix_s / window_s)


@attrs.frozen
class Source:
    """One process that counts requests."""

    node: str
    """Name of the instance."""

    incarnation: int
    """Start time of the process in milliseconds since 1970."""


@attrs.frozen
class WindowCounts:
    """Requests that one process has counted in one window so far."""

    window: int
    """Number of the window."""

    revision: int
    """Rises with each change of the counts."""

    is_final: bool
    """Whether the window has ended, so that only corrections may follow."""

    counts: dict[str, int]
    """Number of requests by customer."""


class UsageMeter:
    """Counts the requests of this instance that backend servers began to run.

    A request is counted when it is sent and withdrawn if the server states that
    it did not run it. Thus requests that still run when a window ends are in
    its counts.

    Args:
        kept_windows: Number of windows to remember, the current one included.
    """

    def __init__(self, kept_windows: int) -> None:
        self._kept_windows = kept_windows
        self._windows: dict[int, collections.Counter[str]] = {}
        self._revisions: dict[int, int] = {}

    def add(self, customer: str, window: int) -> None:
        """Counts a request that is being sent to a server.

        Args:
            customer: Name of the customer.
            window: Number of the current window.
        """
        if window not in self._windows:
            self._windows[window] = collections.Counter()
            for old in sorted(self._windows)[: -self._kept_windows]:
                del self._windows[old]
                self._revisions.pop(old, None)
        self._change(customer, window, 1)

    def withdraw(self, customer: str, window: int) -> None:
        """Takes back a request that the server did not run.

        Args:
            customer: Name of the customer.
            window: Number of the window in which it was counted.
        """
        if window in self._windows:
            self._change(customer, window, -1)

    def report(self, current: int) -> list[WindowCounts]:
        """Returns the counts of the recent windows, oldest first.

        A window without counts is included if the one before it has any, so
        that recipients needn't wait for counts of an instance that has none.

        Args:
            current: Number of the current window.
        """
        recent = range(current - self._kept_windows + 1, current + 1)
        return [
            WindowCounts(
                window,
                self._revisions.get(window, 0),
                window < current,
                {
                    customer: count
                    for customer, count in self._windows.get(window, {}).items()
                    if count
                },
            )
            for window in recent
            if window in self._windows
            or (window - 1 in self._windows and window < current)
        ]

    def _change(self, customer: str, window: int, step: int) -> None:
        self._windows[window][customer] += step
        self._revisions[window] = self._revisions.get(window, 0) + 1


class UsageLedger:
    """Merged counts of all instances, by window.

    Args:
        kept_windows: Number of windows to remember, the current one included.
    """

    def __init__(self, kept_windows: int) -> None:
        self._kept_windows = kept_windows
        self._windows: dict[int, dict[Source, WindowCounts]] = {}

    @property
    def first_window(self) -> int | None:
        """Oldest window with counts; None if no counts have been received."""
        return min(self._windows, default=None)

    def merge(self, source: Source, counts: WindowCounts, current: int) -> None:
        """Replaces the counts of a process in a window by newer ones.

        Args:
            source: The process.
            counts: Its counts so far.
            current: Number of the current window.
        """
        oldest = current - self._kept_windows + 1
        if not oldest <= counts.window <= current + 1:
            return
        for old in [number for number in self._windows if number < oldest]:
            del self._windows[old]
        sources = self._windows.setdefault(counts.window, {})
        known = sources.get(source)
        if known is None or (counts.revision, counts.is_final) > (
            known.revision,
            known.is_final,
        ):
            sources[source] = counts

    def has_counts(self, window: int) -> bool:
        """Returns whether any process has stated counts of a window."""
        return window in self._windows

    def totals(self, window: int) -> dict[str, int]:
        """Returns the number of requests in a window by customer."""
        totals: collections.Counter[str] = collections.Counter()
        for stated in self._windows.get(window, {}).values():
            totals.update(stated.counts)
        return {name: count for name, count in sorted(totals.items()) if count}

    def missing(self, window: int) -> list[Source]:
        """Returns the processes whose final counts of a window are missing.

        These are the processes that have stated counts of this window or the
        one before it.
        """
        stated = self._windows.get(window, {})
        expected = {*stated, *self._sources_with_counts(window - 1)}
        return sorted(
            (
                source
                for source in expected
                if source not in stated or not stated[source].is_final
            ),
            key=lambda source: (source.node, source.incarnation),
        )

    def _sources_with_counts(self, window: int) -> Iterable[Source]:
        return (
            source
            for source, stated in self._windows.get(window, {}).items()
            if stated.counts
        )
