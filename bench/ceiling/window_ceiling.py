"""Upper bound on the requests of a time window that can be answered in time.

No scheduler exceeds it: it ignores everything but the slots that the servers
have between the first arrival of the window and the last latency objective, and
the work of the requests, of which it takes the shortest first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Request:
    """A request as its caller sees it."""

    asked_s: float
    """Time in seconds of the caller's first attempt."""

    work_s: float
    """Execution time in seconds on a server at its usual speed."""

    objective_s: float
    """Seconds after the first attempt up to which an answer is in time."""


@attrs.frozen
class Capacity:
    """Slots that work at their usual speed during a span."""

    start_s: float
    """Start of the span, in seconds."""

    end_s: float
    """End of the span, in seconds."""

    slots: float
    """Number of slots; a slot that is four times slower counts a quarter."""


@attrs.frozen
class Outage:
    """A span in which no entry instance takes connections."""

    start_s: float
    """Start in seconds; requests in flight are lost."""

    end_s: float
    """End in seconds."""


def slot_seconds(
    capacities: Sequence[Capacity], start_s: float, end_s: float
) -> float:
    """Returns the work that slots can do in a span, in seconds."""
    return sum(
        max(min(one.end_s, end_s) - max(one.start_s, start_s), 0.0) * one.slots
        for one in capacities
    )


def in_time_ceiling(
    requests: Sequence[Request],
    capacities: Sequence[Capacity],
    outages: Sequence[Outage] = (),
) -> int:
    """Returns how many requests of one service can be in time at the most.

    Args:
        requests: Requests that callers first asked in the window.
        capacities: Slots of the service's servers.
        outages: Spans without any entry instance.
    """
    possible = [one for one in requests if _survives(one, outages)]
    if not possible:
        return 0
    available_s = slot_seconds(
        capacities,
        min(one.asked_s for one in possible),
        max(one.asked_s + one.objective_s for one in possible),
    )
    count = 0
    for work_s in sorted(one.work_s for one in possible):
        available_s -= work_s
        if available_s < 0:
            break
        count += 1
    return count


def _survives(request: Request, outages: Sequence[Outage]) -> bool:
    """Returns whether the request can be run before or after the outages."""
    latest_start_s = request.asked_s + request.objective_s - request.work_s
    return not any(
        request.asked_s + request.work_s > outage.start_s
        and latest_start_s < outage.end_s
        for outage in outages
    )
