"""Budget for the repeats of a service's requests, that is, retries and hedges.

Load pattern: a third of the backend servers fail at once, or all of them
refuse half of their requests, and each failed request would be sent again. The
budget is then too small for all. The share that a repeat may use rises with the
urgency of its request and with what its caller stands to lose, so that the most
urgent find some left, and requests for which others do as well get none:
callers that were not refused before can come back, and their own retries don't
use the budget.
"""

from __future__ import annotations

import collections
import enum

_USED_RATIO_SHARE = 0.92
"""Share of the operators' retry ratio that is used; it is below 1 since each
instance counts only its own requests."""

_CREW_SLACK_SHARE = 0.5
"""Share of the operators' retry slack that the members of the crews divide."""

_OTHER_SLACK_SHARE = 0.2
"""Share of the slack that all other instances divide. The rest is kept for
changes of a crew, during which its old and its new members both spend."""

_SHORT_WINDOW_S = 2.0
"""Span in seconds within which at most `_SHORT_WINDOW_SHARE` of a window's
repeats are spent, so that a long disturbance doesn't use up the budget in its
first second."""

_SHORT_WINDOW_SHARE = 0.3
"""Share of a window's repeats that may be spent within `_SHORT_WINDOW_S`."""


_MAX_RESERVE = 0.25
"""Largest share of the budget that is kept for more urgent requests."""

_RESERVE_FACTOR = 2.0
"""Share of the budget that is kept for more urgent requests, relative to their
share of all requests; above 1, since most of theirs may need a repeat."""


class Urgency(enum.Enum):
    """Share of the budget that a repeat may use, by what its caller loses."""

    HEDGE = 0.5
    """A hedge: the first copy of the request is late, not lost."""

    LATE = 0.55
    """A retry of a failed request that can't be in time any more."""

    NORMAL = 0.45
    """A retry of a failed request whose caller can still come back."""

    RETURNED = 1.0
    """A retry of a failed request whose caller was refused before."""


class SlackShare(enum.Enum):
    """Share of the operators' retry slack that a group of instances divides.

    The crew of a data centre is the group of instances that carry its traffic.
    """

    CREW = _CREW_SLACK_SHARE
    """For the members of the crews."""

    OTHER = _OTHER_SLACK_SHARE
    """For the instances outside the crews, which get few requests."""


class RepeatBudget:
    """Bounds repeats to a share of the requests in a sliding window.

    The ratio applies to the instance's own requests, and the slack is divided
    among the instances, so that the bound holds in total without messages. The
    slack grows during the first window, since an earlier process of this
    instance may have spent it.

    Args:
        ratio: Repeats as a share of requests.
        slack: Further repeats in a window, over all instances.
        window_s: Length of the window in seconds.
        started_s: Monotonic time in seconds at which this instance started.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio * _USED_RATIO_SHARE
        self._slack = slack
        self._window_s = window_s
        self._started_s = started_s
        self._requests: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._by_priority: collections.Counter[int] = collections.Counter()
        self._repeat_times_s: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float, priority: int = 0) -> None:
        """Counts a request from a caller.

        Args:
            now_s: Current monotonic time in seconds.
            priority: Its priority; 0 is the most urgent.
        """
        self._requests.append((now_s, priority))
        self._by_priority[priority] += 1
        self._drop_expired(now_s)

    def try_take(
        self,
        now_s: float,
        slack_share: SlackShare,
        instances: int,
        urgency: Urgency = Urgency.NORMAL,
        priority: int = 0,
    ) -> bool:
        """Takes one repeat from the budget; returns False if there is no room.

        Args:
            now_s: Current monotonic time in seconds.
            slack_share: Share of the slack for this instance's group.
            instances: Number of instances in that group.
            urgency: Share of the budget that the repeat may use.
            priority: Priority of the request; 0 is the most urgent.
        """
        self._drop_expired(now_s)
        slack_growth = min(1.0, (now_s - self._started_s) / self._window_s)
        slack = (
            slack_growth * self._slack * slack_share.value / max(instances, 1)
        )
        allowed = self._ratio * len(self._requests) + slack
        usable = allowed * self._usable_share(urgency, priority)
        if len(self._repeat_times_s) + 1 > usable:
            return False
        recent = sum(
            at_s > now_s - _SHORT_WINDOW_S for at_s in self._repeat_times_s
        )
        if recent + 1 > max(usable * _SHORT_WINDOW_SHARE, 1.0):
            return False
        self._repeat_times_s.append(now_s)
        return True

    def _usable_share(self, urgency: Urgency, priority: int) -> float:
        """Returns the share of the budget that a repeat may use.

        A part is kept for more urgent requests, and the limit by what the
        caller loses counts the less, the more requests are less urgent.
        """
        more = less = 0
        for other, count in self._by_priority.items():
            more += count if other < priority else 0
            less += count if other > priority else 0
        total = max(len(self._requests), 1)
        kept = min(_RESERVE_FACTOR * more / total, _MAX_RESERVE)
        limit = urgency.value
        if urgency is not Urgency.HEDGE:
            limit += (1.0 - limit) * less / total
        return min(limit, 1.0 - kept)

    def _drop_expired(self, now_s: float) -> None:
        """Removes requests and repeats that have left the window."""
        window_start_s = now_s - self._window_s
        while self._requests and self._requests[0][0] < window_start_s:
            _, priority = self._requests.popleft()
            self._by_priority[priority] -= 1
        repeats = self._repeat_times_s
        while repeats and repeats[0] < window_start_s:
            repeats.popleft()
