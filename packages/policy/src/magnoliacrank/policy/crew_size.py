"""How many members a crew has in each data centre."""

from __future__ import annotations

import math

_MIN_MEMBERS = 2
_MEMBER_RATE_PER_S = 800.0
_SHRINK_THRESHOLD = 0.6


def choose_member_count(present: int, rate_per_s: float, available: int) -> int:
    """Returns the number of crew members that a data centre should have.

    A crew grows as soon as the rate requires it. It shrinks, with hysteresis,
    only if the rate is well below what one member fewer could carry.

    Args:
        present: Members that the data centre has now.
        rate_per_s: Requests per second for the service there.
        available: Instances there that may be members.
    """
    needed = max(_MIN_MEMBERS, math.ceil(rate_per_s / _MEMBER_RATE_PER_S))
    if needed < present:
        smaller_rate = _MEMBER_RATE_PER_S * (present - 1)
        if (
            rate_per_s >= _SHRINK_THRESHOLD * smaller_rate
            and present > _MIN_MEMBERS
        ):
            needed = present
    return min(needed, available)
