"""Overload: goodput stays near the capacity and is shared fairly."""

from __future__ import annotations

import collections
import heapq
import random

import pytest

from magnoliacrank.model import request as request_model
from magnoliacrank.policy import admission
from magnoliacrank.policy import allowance_meter

_SLOTS = 20
_SERVICE_S = 0.05
_DEADLINE_S = 0.4
_RUN_S = 20.0
_CAPACITY_PER_S = _SLOTS / _SERVICE_S
_IDEMPOTENT = request_model.RequestClass.IDEMPOTENT
_DEFERRABLE = request_model.RequestClass.DEFERRABLE


def _run(load, *, mix):
    """Simulates a load; returns the timely answers by customer and class."""
    rng = random.Random(7)
    queue = admission.Admission(allowance_meter.AllowanceMeter())
    queue.set_capacity(_SLOTS)
    in_time = collections.Counter()
    ends = []
    now_s = 0.0

    def start(admitted):
        end_s = now_s + rng.expovariate(1 / _SERVICE_S)
        heapq.heappush(ends, (end_s, id(admitted), admitted.place))

    def end_until(until_s):
        nonlocal now_s
        while ends and ends[0][0] <= until_s:
            now_s, _, place = heapq.heappop(ends)
            if now_s <= place.request.deadline_s:
                kind = (place.request.customer, place.request.request_class)
                in_time[kind] += 1
            queue.on_finished(place, now_s - place.started_s)
            while (admitted := queue.admit_next(now_s)) is not None:
                start(admitted)
            queue.take_dropped(now_s)
        now_s = until_s

    while now_s < _RUN_S:
        end_until(now_s + rng.expovariate(load * _CAPACITY_PER_S))
        customer, kind = rng.choice(mix)
        deadline_s = now_s + (_DEADLINE_S if kind is _IDEMPOTENT else 60.0)
        offered = queue.offer(
            request_model.Request(customer, "s", "r", kind, deadline_s), now_s
        )
        if isinstance(offered, admission.Admitted):
            start(offered)
    return in_time


@pytest.mark.parametrize("load", [0.8, 1.0, 2.0, 5.0])
def test_goodput_stays_near_capacity(load):
    in_time = _run(load, mix=[("c1", _IDEMPOTENT)])
    expected = min(1.0, load) * _CAPACITY_PER_S * _RUN_S
    assert sum(in_time.values()) >= 0.95 * expected


def test_goodput_is_fair_between_customers():
    mix = [("noisy", _IDEMPOTENT)] * 9 + [("quiet", _IDEMPOTENT)]
    in_time = _run(2.0, mix=mix)
    offered = 0.1 * 2.0 * _CAPACITY_PER_S * _RUN_S
    assert in_time["quiet", _IDEMPOTENT] >= 0.93 * offered


def test_goodput_of_deferrable_yields_to_idempotent():
    mix = [("c1", _IDEMPOTENT), ("c1", _DEFERRABLE)]
    in_time = _run(1.8, mix=mix)
    offered = 0.9 * _CAPACITY_PER_S * _RUN_S
    assert in_time["c1", _IDEMPOTENT] >= 0.95 * offered
    assert in_time["c1", _DEFERRABLE] > 0
