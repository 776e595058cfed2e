"""Evidence on a new version: blocks of samples that instances exchange."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import move
from magnoliacrank.policy import fault_test

_MAX_BLOCK_ERRORS = 4
_MIN_BLOCK_REQUESTS = 64
_MIN_FAULTY_BLOCK_REQUESTS = 32
_MAX_BLOCK_TICKS = 10
_REFERENCE_SAMPLES = 128
_MIN_REFERENCE_SAMPLES = 20
_SLOW_QUANTILE = 0.9
_SLOW_FACTOR = 1.25
_SLOW_MARGIN_S = 0.001


@attrs.frozen
class Block:
    """Counts of one route's samples over a short time on one instance."""

    route: str
    """Name of the route."""

    new_requests: int
    """Answered requests to the new version."""

    old_requests: int
    """Answered requests to the old version."""

    new_errors: int
    """Errors of the new version."""

    old_errors: int
    """Errors of the old version."""

    new_timed: int
    """Whole answers of the new version from warm servers."""

    old_timed: int
    """Whole answers of the old version from warm servers."""

    new_slow: int
    """Of those, the ones slower than the old version usually is."""

    old_slow: int
    """The same for the old version."""

    @property
    def errors(self) -> fault_test.FaultCounts:
        """Counts for the test of errors."""
        return fault_test.FaultCounts(
            self.new_requests,
            self.new_errors,
            self.old_requests,
            self.old_errors,
        )

    @property
    def latency(self) -> fault_test.FaultCounts:
        """Counts for the test of latency."""
        return fault_test.FaultCounts(
            self.new_timed, self.new_slow, self.old_timed, self.old_slow
        )


@attrs.frozen
class Fault:
    """A fault of a new version."""

    route: str
    """Route on which it showed."""

    reason: move.Reason
    """Errors or latency."""


@attrs.frozen
class Evidence:
    """Blocks that one instance closed since its last message."""

    move_id: str
    """Move that they tell about."""

    origin: ids.InstanceId
    """Instance that counted."""

    incarnation: ids.Incarnation
    """Life of the instance."""

    sequence: int
    """Number of the message; a repeat carries the same one."""

    blocks: tuple[Block, ...]
    """Closed blocks."""

    fault: Fault | None = None
    """Fault for which the instance stopped the new version, or None."""


class RouteSamples:
    """Collects the samples of one route into blocks.

    When a block ends depends on time and outcomes, never on which version
    they came from; the test needs that.
    """

    def __init__(self, route: str) -> None:
        self._route = route
        self._reference: list[float] = []
        self._reference_index = 0
        self._slow_s = float("inf")
        self._clear()

    def on_sample(
        self, *, is_new: bool, latency_s: float, ok: bool, is_cold: bool
    ) -> bool:
        """Takes one answered request; returns whether the block is full."""
        self._requests[is_new] += 1
        if not ok:
            self._errors[is_new] += 1
            return self._is_full()
        if is_cold:
            return False
        self._timed[is_new] += 1
        self._slow[is_new] += latency_s > self._slow_s
        if not is_new:
            self._refer(latency_s)
        return False

    def on_tick(self) -> bool:
        """Counts a tick; returns whether the block has enough to tell."""
        self._ticks += 1
        requests = sum(self._requests)
        if self._ticks >= _MAX_BLOCK_TICKS or requests >= _MIN_BLOCK_REQUESTS:
            return True
        return any(self._errors) and requests >= _MIN_FAULTY_BLOCK_REQUESTS

    def close_block(self) -> Block | None:
        """Ends the block and returns it, or None when it is empty."""
        if not any(self._requests):
            return None
        block = Block(
            route=self._route,
            new_requests=self._requests[True],
            old_requests=self._requests[False],
            new_errors=self._errors[True],
            old_errors=self._errors[False],
            new_timed=self._timed[True],
            old_timed=self._timed[False],
            new_slow=self._slow[True],
            old_slow=self._slow[False],
        )
        self._clear()
        self._set_slow()
        return block

    def drop_block(self) -> None:
        """Forgets the open block, as its shares no longer hold."""
        self._clear()

    def _is_full(self) -> bool:
        errors = sum(self._errors)
        return (
            errors >= _MAX_BLOCK_ERRORS
            or sum(self._requests) >= _MIN_BLOCK_REQUESTS
        )

    def _refer(self, latency_s: float) -> None:
        if len(self._reference) < _REFERENCE_SAMPLES:
            self._reference.append(latency_s)
            return
        self._reference[self._reference_index] = latency_s
        self._reference_index += 1
        self._reference_index %= _REFERENCE_SAMPLES

    def _set_slow(self) -> None:
        if len(self._reference) < _MIN_REFERENCE_SAMPLES:
            return
        ordered = sorted(self._reference)
        usual_s = ordered[int(len(ordered) * _SLOW_QUANTILE)]
        self._slow_s = max(usual_s * _SLOW_FACTOR, usual_s + _SLOW_MARGIN_S)

    def _clear(self) -> None:
        self._ticks = 0
        self._requests = [0, 0]
        self._errors = [0, 0]
        self._timed = [0, 0]
        self._slow = [0, 0]
