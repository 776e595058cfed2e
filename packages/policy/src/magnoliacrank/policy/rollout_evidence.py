"""Evidence on a new version: blocks of samples that instances exchange."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import move
from magnoliacrank.policy import fault_test

_FULL_BLOCK_ERRORS = 4
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
    """Counts of one route's requests over a short time on one instance."""

    route: str
    """Name of the route."""

    new_requests: int
    """Requests to the new version that were answered or failed."""

    old_requests: int
    """Requests to the old version that were answered or failed."""

    new_errors: int
    """Of `new_requests`, those that failed."""

    old_errors: int
    """Of `old_requests`, those that failed."""

    new_timed: int
    """Successful answers of the new version from servers that are not cold."""

    old_timed: int
    """Successful answers of the old version from servers that are not cold."""

    new_slow: int
    """Of `new_timed`, the ones slower than the old version usually is."""

    old_slow: int
    """Of `old_timed`, the ones slower than the old version usually is."""

    @property
    def errors(self) -> fault_test.FaultCounts:
        """Counts for the fault test of errors."""
        return fault_test.FaultCounts(
            self.new_requests,
            self.new_errors,
            self.old_requests,
            self.old_errors,
        )

    @property
    def latency(self) -> fault_test.FaultCounts:
        """Counts for the fault test of latency."""
        return fault_test.FaultCounts(
            self.new_timed, self.new_slow, self.old_timed, self.old_slow
        )


@attrs.frozen
class Fault:
    """Fault found in a new version."""

    route: str
    """Route on which it was found."""

    reason: move.Reason
    """Kind of fault: errors or latency."""


@attrs.frozen
class Evidence:
    """Message with the blocks closed by one instance since its last message."""

    move_id: str
    """Id of the move, that is, the rollout that the blocks belong to."""

    origin: ids.InstanceId
    """Instance that collected the blocks."""

    incarnation: ids.Incarnation
    """Incarnation of that instance's process."""

    sequence: int
    """Number of the message; a repeat carries the same one."""

    blocks: tuple[Block, ...]
    """Closed blocks."""

    fault: Fault | None = None
    """Fault for which the instance stopped the new version, or None."""


class RouteSamples:
    """Collects the samples of one route into blocks.

    When a block ends depends on time and outcomes, never on which version
    they came from; the fault test requires this.
    """

    def __init__(self, route: str) -> None:
        self._route = route
        self._reference_latencies_s: list[float] = []
        self._reference_index = 0
        self._slow_threshold_s = float("inf")
        self._reset_block()

    def on_sample(
        self, *, is_new: bool, latency_s: float, ok: bool, is_cold: bool
    ) -> bool:
        """Adds one finished request; returns whether the block is full."""
        self._requests[is_new] += 1
        if not ok:
            self._errors[is_new] += 1
            return self._is_block_full()
        if is_cold:
            return False
        self._timed[is_new] += 1
        self._slow[is_new] += latency_s > self._slow_threshold_s
        if not is_new:
            self._add_reference_latency(latency_s)
        return False

    def on_tick(self) -> bool:
        """Counts a tick; returns whether the block should be closed."""
        self._ticks += 1
        requests = sum(self._requests)
        if self._ticks >= _MAX_BLOCK_TICKS or requests >= _MIN_BLOCK_REQUESTS:
            return True
        return any(self._errors) and requests >= _MIN_FAULTY_BLOCK_REQUESTS

    def close_block(self) -> Block | None:
        """Closes the block and returns it, or None when it is empty."""
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
        self._reset_block()
        self._update_slow_threshold()
        return block

    def drop_block(self) -> None:
        """Discards the open block, since it was counted at other shares."""
        self._reset_block()

    def _is_block_full(self) -> bool:
        errors = sum(self._errors)
        return (
            errors >= _FULL_BLOCK_ERRORS
            or sum(self._requests) >= _MIN_BLOCK_REQUESTS
        )

    def _add_reference_latency(self, latency_s: float) -> None:
        """Adds a latency of the old version to the ring buffer."""
        if len(self._reference_latencies_s) < _REFERENCE_SAMPLES:
            self._reference_latencies_s.append(latency_s)
            return
        self._reference_latencies_s[self._reference_index] = latency_s
        self._reference_index += 1
        self._reference_index %= _REFERENCE_SAMPLES

    def _update_slow_threshold(self) -> None:
        """Sets the latency above which an answer counts as slow."""
        if len(self._reference_latencies_s) < _MIN_REFERENCE_SAMPLES:
            return
        ordered = sorted(self._reference_latencies_s)
        usual_s = ordered[int(len(ordered) * _SLOW_QUANTILE)]
        self._slow_threshold_s = max(
            usual_s * _SLOW_FACTOR, usual_s + _SLOW_MARGIN_S
        )

    def _reset_block(self) -> None:
        self._ticks = 0
        self._requests = [0, 0]
        self._errors = [0, 0]
        self._timed = [0, 0]
        self._slow = [0, 0]
