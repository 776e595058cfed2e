"""RepeatAllowance: how many repeats of requests a service may get.

Load pattern: a third of the backend servers fail at once, or all of them
refuse half of their requests, and each failed request would be sent again.
"""

from __future__ import annotations

import collections
import enum

_RATIO_SHARE = 0.92
"""Part of the operators' ratio that is used; instances count separately."""

_CREW_SLACK_SHARE = 0.5
"""Part of the operators' slack that the crews divide among themselves."""

_OTHER_SLACK_SHARE = 0.2
"""Part of the slack that all other instances divide. The rest is kept for
crews that change, whose old and new members both spend."""

_SPREAD_S = 2.0
"""Span within which at most `_SPREAD_SHARE` of a window is spent, so that a
long disturbance doesn't meet an empty budget after its first second."""

_SPREAD_SHARE = 0.4
"""Part of a window's repeats that may be spent within `_SPREAD_S`."""


class Urgency(enum.Enum):
    """How much of the budget a repeat may draw on."""

    HEDGE = 0.5
    """A request that is late, not lost."""

    NORMAL = 0.75
    """A request that failed."""

    FIRST = 1.0
    """A request of the highest priority that failed."""


class SlackShare(enum.Enum):
    """Which part of the operators' slack an instance has."""

    CREW = _CREW_SLACK_SHARE
    """A member of a crew."""

    OTHER = _OTHER_SLACK_SHARE
    """An instance that gets a request now and then."""


class RepeatAllowance:
    """Repeats within a sliding window, as a share of this instance's requests.

    The share is spent from own traffic and the slack is divided among the
    instances, so the bound holds in sum without messages. The slack grows
    over the first window, since an earlier process of this instance may have
    spent it.

    Args:
        ratio: Repeats as a share of requests.
        slack: Repeats beyond that in a window, over all instances.
        window_s: Length of the window in seconds.
        started_s: Monotonic time in seconds at which this instance started.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio * _RATIO_SHARE
        self._slack = slack
        self._window_s = window_s
        self._started_s = started_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float) -> None:
        """Counts a request of a caller.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._requests.append(now_s)
        self._forget(now_s)

    def try_take(
        self,
        now_s: float,
        share: SlackShare,
        instances: int,
        urgency: Urgency = Urgency.NORMAL,
    ) -> bool:
        """Takes one repeat, if the window has room for it.

        Args:
            now_s: Monotonic time in seconds.
            share: Which part of the slack this instance has.
            instances: Instances among which that part is divided.
            urgency: How much of the budget the repeat may draw on.
        """
        self._forget(now_s)
        ramp = min(1.0, (now_s - self._started_s) / self._window_s)
        slack = ramp * self._slack * share.value / max(instances, 1)
        allowed = self._ratio * len(self._requests) + slack
        if len(self._repeats) + 1 > allowed * urgency.value:
            return False
        recent = sum(at_s > now_s - _SPREAD_S for at_s in self._repeats)
        if recent + 1 > max(allowed * _SPREAD_SHARE, 1.0):
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        limit_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < limit_s:
                times.popleft()
