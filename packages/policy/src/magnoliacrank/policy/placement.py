"""Rates a backend server by the load report that it has just sent.

Load pattern: other programs on the same machine make a server several times
slower. How much slower changes every 150 ms, so only a report from the same
moment is of use.
"""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import attrs

from magnoliacrank.policy import crowding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from magnoliacrank.model import backend_entry

_ServerT = TypeVar("_ServerT")

GOOD_SLOWDOWN = 1.5
"""Slowdown up to which a free server is used without asking others."""

_MAX_USUAL_DURATION_RATIO = 1.6
"""Ratio of actual to expected duration above which a server costs more."""

_MIN_CROWDING_FACTOR = 1.2
"""Least cost factor of a nearly full server; it applies where the slowdown of
nearly full servers is unknown."""

_REMOTE_COST = 1.1
"""Least cost factor of a server in another data centre; traffic between data
centres has a price even where they are close."""

_REMOTE_COST_PER_MB = 8.0
"""Addition to `_REMOTE_COST` for each megabyte sent between data centres."""

_LOCAL_WAIT_MARGIN = 2.0
"""Execution times that are kept before the latency objective while a request
waits for a server of its own data centre."""


def probe_rounds(
    candidates: Sequence[_ServerT],
    is_remote: Callable[[_ServerT], bool],
    per_round: int,
    max_rounds: int,
) -> Iterator[list[_ServerT]]:
    """Yields the servers to probe concurrently, round by round.

    Local and remote servers aren't probed in the same round: mostly a local
    one is good, and probes between data centres are then spared.

    Args:
        candidates: Servers in the order of preference.
        is_remote: Returns whether a server is in another data centre.
        per_round: Largest number of servers in a round.
        max_rounds: Largest number of rounds.
    """
    batches = (
        batch
        for _, group in itertools.groupby(candidates, is_remote)
        for batch in _batched(group, per_round)
    )
    return itertools.islice(batches, max_rounds)


class Transfer(Protocol):
    """What a request needs in time and bytes."""

    @property
    def transfer_bytes(self) -> int:
        """Size of its body plus the expected size of its answer."""

    @property
    def work_s(self) -> float:
        """Expected execution time at a server's usual speed, in seconds."""

    @property
    def objective_s(self) -> float:
        """Monotonic time in seconds up to which an answer is in time."""


def should_stay_local(request: Transfer, now_s: float) -> bool:
    """Returns whether a request should only use servers of its data centre.

    This is so for a large transfer while there is time to wait for one of
    them: their slowdowns are short, and the bytes are sent only once.

    Args:
        request: The request.
        now_s: Current monotonic time in seconds.
    """
    if _distance_cost(request.transfer_bytes) <= GOOD_SLOWDOWN:
        return False
    return now_s + _LOCAL_WAIT_MARGIN * request.work_s < request.objective_s


class Fit(enum.IntEnum):
    """How well a server suits a request, the best first."""

    GOOD = 0
    """Has a free slot and runs at its usual speed."""

    SLOW = 1
    """Has a free slot and is slowed down."""

    FULL = 2
    """Has no free slot, or only a last one that is not worth using."""

    UNFIT = 3
    """Reports that it is not healthy."""


@attrs.frozen
class Rating:
    """Comparable rating of one server; the lowest `order` is the best."""

    fit: Fit
    """How well the server suits the request."""

    cost: float
    """Expected duration as a multiple of the usual one."""

    @property
    def order(self) -> tuple[int, float]:
        """Sort key: fit first, then cost."""
        return (self.fit, self.cost)


def rate(
    report: backend_entry.HealthReport,
    sent_since: int,
    duration_ratio: float,
    crowding_factor: float,
    *,
    is_remote: bool,
    transfer_bytes: int,
    distance_ratio: float = 0.0,
) -> Rating:
    """Rates a server for a request by its newest load report.

    Args:
        report: Newest load report of the server.
        sent_since: Requests that this instance sent to it after the report.
        duration_ratio: Smoothed ratio of the actual to the expected duration of
            its requests.
        crowding_factor: Ratio of the duration at nearly full servers to that at
            others.
        is_remote: Whether the server is in another data centre.
        transfer_bytes: Size of the bodies of the request and its answer.
        distance_ratio: For a remote server, the additional round trip as a
            multiple of the expected execution time.

    Returns:
        The rating.
    """
    if not report.is_healthy:
        return Rating(Fit.UNFIT, 1.0)
    cost = _duration_factor(report, duration_ratio)
    if is_remote:
        cost *= _distance_cost(transfer_bytes, distance_ratio)
    if not report.tells_load:
        return Rating(Fit.GOOD, cost * (1 + sent_since))
    busy = report.running + report.waiting + sent_since
    if busy >= report.slots:
        return Rating(Fit.FULL, cost * (1 + (busy + 1) / report.slots))
    if crowding.is_nearly_full(busy + 1, report.slots):
        if not crowding.is_last_slot_worth_using(report.slots, crowding_factor):
            return Rating(Fit.FULL, cost * crowding_factor)
        cost *= max(crowding_factor, _MIN_CROWDING_FACTOR)
    if cost <= GOOD_SLOWDOWN:
        return Rating(Fit.GOOD, cost)
    return Rating(Fit.SLOW, cost)


def speed(report: backend_entry.HealthReport, duration_ratio: float) -> float:
    """Returns a server's speed as a share of its usual one.

    Args:
        report: Newest load report of the server.
        duration_ratio: Smoothed ratio of the actual to the expected duration of
            its requests.
    """
    if not report.is_healthy:
        return 0.0
    return 1.0 / max(_duration_factor(report, duration_ratio), 1.0)


def crossing_cost_s(work_s: float, distance_s: float) -> float:
    """Returns what a small request costs more in another data centre.

    Args:
        work_s: Expected execution time in seconds.
        distance_s: Additional round trip in seconds.
    """
    ratio = distance_s / work_s if work_s else 0.0
    return (_distance_cost(0, ratio) - 1) * work_s


def is_near(work_s: float, distance_s: float) -> bool:
    """Whether a server at its usual speed is good in spite of its distance.

    Args:
        work_s: Expected execution time in seconds.
        distance_s: Additional round trip in seconds.
    """
    return crossing_cost_s(work_s, distance_s) <= (GOOD_SLOWDOWN - 1) * work_s


def _duration_factor(
    report: backend_entry.HealthReport, duration_ratio: float
) -> float:
    """Returns the expected duration as a multiple of the usual one."""
    return report.slowdown * max(
        duration_ratio / _MAX_USUAL_DURATION_RATIO, 1.0
    )


def _distance_cost(transfer_bytes: int, distance_ratio: float = 0.0) -> float:
    """Returns the cost factor of a server in another data centre."""
    return (
        max(_REMOTE_COST, 1 + distance_ratio)
        + _REMOTE_COST_PER_MB * transfer_bytes / 1e6
    )


def _batched(items: Iterable[_ServerT], size: int) -> Iterator[list[_ServerT]]:
    rest = iter(items)
    return iter(lambda: list(itertools.islice(rest, size)), [])
