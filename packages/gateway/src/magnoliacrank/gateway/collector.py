"""Keeps Python's cycle collector off the path of requests."""

from __future__ import annotations

import gc

_YOUNG_OBJECTS = 20_000
"""Objects allocated beyond those freed before the young are collected."""

_MIDDLE_RUNS = 50
"""Collections of the young for one of the middle generation."""

_OLD_RUNS = 1000
"""Collections of the middle generation for one of the old."""


def settle() -> None:
    """Takes what start-up allocated out of later collections.

    Requests leave next to no cycles, so the collector may run less often.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _MIDDLE_RUNS, _OLD_RUNS)
