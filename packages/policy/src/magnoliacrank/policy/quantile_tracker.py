"""Estimates a quantile of a stream of values in constant memory."""

from __future__ import annotations

import math

_MIN_STEP = 0.02
_INITIAL_STEP = 0.5
_STEP_DECAY = 0.97


class QuantileTracker:
    """Tracks one quantile by stochastic approximation on a logarithmic scale.

    A value above the estimate raises it by the quantile's share of a step, a
    value below lowers it by the rest, so the two balance at the quantile. The
    step shrinks from `_INITIAL_STEP` to `_MIN_STEP` as values come in.
    """

    __slots__ = ("_quantile", "_step", "_value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._step = _INITIAL_STEP
        self._value = 0.0

    @property
    def value(self) -> float:
        """Current estimate of the quantile, or 0 before the first value."""
        return self._value

    def add(self, value: float) -> None:
        """Updates the estimate with one positive value."""
        if self._value == 0.0:
            self._value = value
            return
        if value > self._value:
            log_change = self._step * self._quantile
        else:
            log_change = self._step * (self._quantile - 1.0)
        self._value *= math.exp(log_change)
        self._step = max(_MIN_STEP, self._step * _STEP_DECAY)
