"""A running quantile of a stream in constant memory."""

from __future__ import annotations

import math

_STEP = 0.02
_FIRST_STEP = 0.5
_STEP_DECAY = 0.97


class QuantileTracker:
    """Follows one quantile by stochastic approximation on a log scale.

    A value above the estimate raises it by the quantile's share of a step, a
    value below lowers it by the rest, so the two balance at the quantile.
    """

    __slots__ = ("_quantile", "_step", "_value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._step = _FIRST_STEP
        self._value = 0.0

    @property
    def value(self) -> float:
        """The estimate, or 0 before the first value."""
        return self._value

    def add(self, value: float) -> None:
        """Takes in one positive value."""
        if self._value == 0.0:
            self._value = value
            return
        if value > self._value:
            move = self._step * self._quantile
        else:
            move = self._step * (self._quantile - 1.0)
        self._value *= math.exp(move)
        self._step = max(_STEP, self._step * _STEP_DECAY)
