"""DrainSchedule: which requests a stopping instance still starts.

Load pattern: a planned stop under load. Callers go on using their connections
until they notice, an upload that began before the stop ends seconds later, and
the platform kills the process at the end of the grace period. A request that
may still be running then is refused before anything of it is sent, so that its
caller can repeat it at another instance.
"""

from __future__ import annotations

import math

_ANSWER_MARGIN_S = 0.1
"""Time after the deadline of a request within which its caller has an answer
in any case."""

_WORK_FACTOR = 2.0
"""Multiple of the usual execution time that has to be left."""


class DrainSchedule:
    """Time limits for requests, counted from the start of a stop.

    Args:
        accept_s: Seconds for which callers may not have noticed the stop. Until
            then a request is started if it usually ends in time, after that
            only if it ends in time for certain.
        finish_s: Seconds after which unfinished requests are aborted.
    """

    def __init__(self, accept_s: float, finish_s: float) -> None:
        self._accept_s = accept_s
        self._finish_s = finish_s
        self._started_s: float | None = None

    def start(self, now_s: float) -> None:
        """Starts the stop; does nothing if it was started before.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        if self._started_s is None:
            self._started_s = now_s

    def latest_start_s(self, work_s: float, deadline_s: float) -> float:
        """Returns the time up to which a request may be sent to a server.

        Args:
            work_s: Usual execution time of the request, in seconds.
            deadline_s: Monotonic time, in seconds, at which the request ends in
                any case.

        Returns:
            The monotonic time in seconds; infinite if nothing limits it.
        """
        if self._started_s is None:
            return math.inf
        finish_s = self._started_s + self._finish_s
        if deadline_s + _ANSWER_MARGIN_S <= finish_s:
            return math.inf
        return min(
            self._started_s + self._accept_s,
            finish_s - _WORK_FACTOR * work_s,
        )

    def may_start(self, now_s: float, work_s: float, deadline_s: float) -> bool:
        """Whether a request may be sent to a server now.

        Args:
            now_s: Current monotonic time, in seconds.
            work_s: See `latest_start_s`.
            deadline_s: See `latest_start_s`.
        """
        return now_s <= self.latest_start_s(work_s, deadline_s)
