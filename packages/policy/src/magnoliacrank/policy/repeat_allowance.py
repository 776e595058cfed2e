"""RepeatAllowance: how many repeats of requests a service may get.

Load pattern: a third of the backend servers fail at once, and each failed
request would be sent again.
"""

from __future__ import annotations

import collections

_SAFETY = 0.8
"""Part of the operators' bound that is used; instances count separately."""


class RepeatAllowance:
    """Repeats within a sliding window, as a share of this instance's requests.

    The share is spent from own traffic and the slack is divided among the
    instances that carry traffic, so the bound holds in sum without messages.
    The slack grows over the first window, since an earlier process of this
    instance may have spent it.

    Args:
        ratio: Repeats as a share of requests.
        slack: Repeats beyond that in a window, over all instances.
        window_s: Length of the window in seconds.
        started_s: Monotonic time in seconds at which this instance started.
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, started_s: float
    ) -> None:
        self._ratio = ratio * _SAFETY
        self._slack = slack * _SAFETY
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

    def try_take(self, now_s: float, instances: int) -> bool:
        """Takes one repeat, if the window has room for it.

        Args:
            now_s: Monotonic time in seconds.
            instances: Instances among which the slack is divided.
        """
        self._forget(now_s)
        ramp = min(1.0, (now_s - self._started_s) / self._window_s)
        allowed = self._ratio * len(self._requests)
        allowed += ramp * self._slack / max(instances, 1)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        limit_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < limit_s:
                times.popleft()
