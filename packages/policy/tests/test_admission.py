"""Admission control: bounded, fair and deadline-aware queueing."""

from __future__ import annotations

import attrs
import pytest

from magnoliacrank.model import configuration
from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict
from magnoliacrank.policy import admission
from magnoliacrank.policy import allowance_meter

_IDEMPOTENT = request_model.RequestClass.IDEMPOTENT
_DEFERRABLE = request_model.RequestClass.DEFERRABLE


def _request(customer="c1", request_class=_IDEMPOTENT, deadline_s=1.0):
    return request_model.Request(customer, "s", "r", request_class, deadline_s)


def _admission(slots, allowances=()):
    meter = allowance_meter.AllowanceMeter()
    meter.set_allowances(allowances, 1.0, 0.0)
    queue = admission.Admission(meter)
    queue.set_capacity(slots)
    return queue


def test_offer_within_capacity_is_admitted():
    queue = _admission(1)
    assert isinstance(queue.offer(_request(), 0.0), admission.Admitted)
    assert isinstance(queue.offer(_request(), 0.0), admission.Waiting)


def test_offer_past_deadline_is_refused():
    refused = _admission(1).offer(_request(deadline_s=0.0), 0.0)
    assert refused.verdict == verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)


@pytest.mark.parametrize("rate_per_s", [4.0, 8.0])
def test_offer_over_the_rate_is_refused(rate_per_s):
    allowance = configuration.Allowance("c1", rate_per_s, 100, 0.0)
    queue = _admission(100, [allowance])
    results = [queue.offer(_request(), 0.0) for _ in range(int(rate_per_s))]
    assert all(isinstance(r, admission.Admitted) for r in results)
    refused = queue.offer(_request(), 0.0)
    assert refused.verdict.reason is verdict.Reason.ALLOWANCE_EXCEEDED


def test_admit_next_takes_customers_in_turn():
    queue = _admission(1)
    first = queue.offer(_request(), 0.0)
    for customer in ("c1", "c1", "c1", "c2"):
        queue.offer(_request(customer), 0.0)
    order = []
    while first is not None:
        queue.on_finished(first.place, 0.0)
        first = queue.admit_next(0.0)
        if first is not None:
            order.append(first.place.request.customer)
    assert order == ["c1", "c2", "c1", "c1"]


def test_offer_full_queue_drops_deferrable_first():
    queue = _admission(1)
    queue.offer(_request(), 0.0)
    while isinstance(
        queue.offer(_request("c1", _DEFERRABLE, 9.0), 0.0), admission.Waiting
    ):
        pass
    assert isinstance(queue.offer(_request(), 0.0), admission.Waiting)
    dropped = queue.take_dropped(0.0)
    assert [d.place.request.request_class for d in dropped] == [_DEFERRABLE]


def test_take_dropped_returns_expired():
    queue = _admission(1)
    queue.offer(_request(), 0.0)
    place = queue.offer(_request(deadline_s=0.5), 0.0).place
    assert queue.take_dropped(0.1) == []
    (dropped,) = queue.take_dropped(0.6)
    assert dropped.place is place
    assert not dropped.verdict.may_have_run


def test_offer_is_admitted_when_idle_whatever_the_estimate():
    queue = _admission(1)
    slow = queue.offer(_request(deadline_s=100.0), 0.0)
    queue.on_finished(slow.place, 50.0)
    offer = queue.offer(_request(deadline_s=51.0), 50.0)
    assert isinstance(offer, admission.Admitted)


def test_offer_is_judged_by_its_own_route():
    queue = _admission(4)
    upload = queue.offer(_request(deadline_s=100.0), 0.0)
    other = attrs.evolve(_request(deadline_s=51.0), route="fast")
    fast = queue.offer(other, 0.0)
    queue.on_finished(fast.place, 0.01)
    queue.offer(_request(deadline_s=100.0), 0.0)
    queue.on_finished(upload.place, 50.0)
    offer = queue.offer(other, 50.0)
    assert isinstance(offer, admission.Admitted)
