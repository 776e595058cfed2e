"""Chooses when a caller that was refused for lack of servers should return.

Load pattern: more requests arrive than the backend servers can run. Callers
that return too late for their latency objective find the same shortage, and are
refused again; callers that return together make a shortage of their own.

While a caller can still be in time, it returns within that time: it then goes
before callers of its priority that come anew. One that can't be in time returns
as late as callers wait, when the shortage is more likely to be over. Returns
are spread over their range, as arrivals are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    import random

_HONOURED_SHARE = 1 / 3
"""Part of the time that a caller has left for which it waits as it is told."""

_IN_TIME_SHARES = (0.25, 0.75)
"""Range of a return that can still be in time, as a share of the time within
which the request has to get a server for that."""

_LATE_SHARES = (0.7, 1.0)
"""Range of a return that can't be in time, as a share of the longest time that
the caller waits."""

_MIN_IN_TIME_S = 0.03
"""Time left for getting a server in time from which a return can be in time;
the way back takes some of it."""

_MIN_RETRY_AFTER_S = 0.02
"""Least time in seconds after which a caller is told to return."""

_MAX_RETRY_AFTER_S = 2.0
"""Longest time in seconds after which a caller is told to return."""


class Caller(Protocol):
    """What matters of a refused request."""

    @property
    def wait_deadline_s(self) -> float:
        """Monotonic time in seconds until which it may wait for a server."""

    @property
    def deadline_s(self) -> float:
        """Monotonic time in seconds until which its caller waits."""

    def is_late(self, now_s: float) -> bool:
        """Whether an answer can no longer meet its latency objective."""


def retry_after_s(
    caller: Caller, drain_s: float, now_s: float, rng: random.Random
) -> float:
    """Returns after how many seconds a refused caller should return.

    Args:
        caller: Its request.
        drain_s: Time in seconds until the present queue of the service is
            served; a caller that can't be in time returns no sooner.
        now_s: Current monotonic time in seconds.
        rng: Source of the spread.
    """
    in_time_s = caller.wait_deadline_s - now_s
    honoured_s = (caller.deadline_s - now_s) * _HONOURED_SHARE
    if in_time_s >= _MIN_IN_TIME_S and not caller.is_late(now_s):
        delay_s = min(in_time_s, honoured_s) * rng.uniform(*_IN_TIME_SHARES)
    else:
        delay_s = max(honoured_s * rng.uniform(*_LATE_SHARES), drain_s)
    return min(max(delay_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
