"""How many members a crew has in each data centre."""

from __future__ import annotations

import math

_LEAST = 2
_RATE_PER_MEMBER = 800.0
_SHRINK_BELOW = 0.6


def choose_count(present: int, rate_per_s: float, available: int) -> int:
    """Returns the number of members that one data centre shall have.

    Growth follows the rate at once; a crew shrinks only when the rate is well
    below what one member fewer would carry.

    Args:
        present: Members that it has now.
        rate_per_s: Requests a second for the service there.
        available: Instances that may be members there.
    """
    needed = max(_LEAST, math.ceil(rate_per_s / _RATE_PER_MEMBER))
    if needed < present:
        smaller_rate = _RATE_PER_MEMBER * (present - 1)
        if rate_per_s >= _SHRINK_BELOW * smaller_rate and present > _LEAST:
            needed = present
    return min(needed, available)
