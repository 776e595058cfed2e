"""Tests of what waits and what is rejected while servers are short."""

import random

import attrs
import pytest

from magnoliacrank.policy import placement
from magnoliacrank.policy import service_load
from magnoliacrank.policy import stated_timeouts
from magnoliacrank.policy import wait_policy

Step = wait_policy.Step


@attrs.frozen
class Demand:
    """A request of 0.2 s of work and an objective of 0.6 s."""

    asked_s: float = 0.0
    priority: int = 0
    may_wait: bool = True
    work_s: float = 0.2
    transfer_bytes: int = 0

    @property
    def objective_s(self):
        return self.asked_s + 0.6

    @property
    def wait_deadline_s(self):
        return self.objective_s - self.work_s

    def is_late(self, now_s):
        return now_s + self.work_s > self.objective_s


def _busy_policy():
    """Returns a policy whose service dispatches 50 requests a second."""
    policy = wait_policy.WaitPolicy()
    for number in range(50):
        policy.on_dispatch(Demand(), 10.0 + number / 50)
    return policy


def _line(ahead):
    """Returns a queue whose requests all go before the one that asks."""
    return wait_policy.Line(ahead, ahead)


def test_late_caller_is_rejected_while_servers_are_short():
    policy = _busy_policy()
    late, in_time = Demand(asked_s=10.3), Demand(asked_s=11.0)
    assert policy.on_arrival(late, _line(0), 11.0).step is Step.SEARCH
    policy.on_rejected(in_time, 11.0)
    assert policy.on_arrival(late, _line(0), 11.1).step is Step.REJECT
    assert policy.on_arrival(in_time, _line(0), 11.1).step is Step.SEARCH
    assert policy.on_arrival(late, _line(0), 11.5).step is Step.SEARCH


def test_late_caller_is_rejected_while_others_queue():
    policy = _busy_policy()
    assert (
        policy.on_arrival(Demand(asked_s=10.3), _line(5), 11.0).step
        is Step.REJECT
    )
    assert (
        policy.on_arrival(Demand(asked_s=11.0), _line(5), 11.0).step
        is Step.WAIT
    )


@pytest.mark.parametrize(
    "demand",
    [
        pytest.param(Demand(asked_s=10.0), id="late"),
        pytest.param(Demand(asked_s=11.0, may_wait=False), id="hedge"),
    ],
)
def test_rejection_of_others_does_not_make_servers_short(demand):
    policy = _busy_policy()
    policy.on_rejected(demand, 11.0)
    assert (
        policy.on_arrival(Demand(asked_s=10.3), _line(0), 11.1).step
        is Step.SEARCH
    )


def test_request_is_rejected_on_arrival_if_the_queue_is_too_long():
    policy = _busy_policy()
    assert (
        policy.on_arrival(Demand(asked_s=11.0), _line(15), 11.0).step
        is Step.WAIT
    )
    assert (
        policy.on_arrival(Demand(asked_s=11.0), _line(30), 11.0).step
        is Step.REJECT
    )


def test_urgent_requests_take_the_time_of_others_that_wait():
    """Half of what is dispatched is more urgent than the others."""
    policy = wait_policy.WaitPolicy()
    for number in range(100):
        demand = Demand(priority=number % 2 * 2)
        policy.on_dispatch(demand, 10.0 + number / 100)
    urgent, other = Demand(asked_s=11.0), Demand(asked_s=11.0, priority=2)
    assert policy.on_arrival(urgent, _line(25), 11.0).step is Step.WAIT
    decision = policy.on_arrival(other, _line(25), 11.0)
    assert decision.cause is wait_policy.Cause.WAIT_TOO_LONG
    assert decision.wait_s == pytest.approx(0.5, rel=0.05)
    assert decision.left_s == pytest.approx(0.4)
    assert not policy.should_evict(other, _line(24), 11.0)
    assert policy.should_evict(other, _line(26), 11.0)


def test_queues_of_all_instances_tell_when_there_is_room():
    policy = _busy_policy()
    assert policy.drain_s(25, 11.0) == pytest.approx(0.5, rel=0.05)
    load = service_load.ServiceLoad("svc", 0.0, 50.0, 0.0, 0.2, 75)
    policy.on_peer_loads([load], 11.0)
    assert policy.drain_s(25, 11.0) == pytest.approx(1.0, rel=0.05)


def test_hedge_never_waits():
    policy = _busy_policy()
    hedge = Demand(asked_s=11.0, may_wait=False)
    assert policy.on_arrival(hedge, _line(2), 11.0).step is Step.SEARCH
    assert policy.on_busy(hedge, _line(2), 11.0).step is Step.REJECT


def _learned(timeouts_s):
    timeouts = stated_timeouts.StatedTimeouts()
    for number, timeout_s in enumerate(timeouts_s):
        timeouts.on_request(timeout_s, number / 10)
    return timeouts


@pytest.mark.parametrize("seed", range(5))
def test_returning_caller_is_told_from_patience_that_varies(seed):
    rng = random.Random(seed)
    timeouts = _learned(rng.uniform(1.275, 1.5) for _ in range(100))
    assert timeouts.elapsed_s(1.4) == 0.0
    assert timeouts.elapsed_s(0.9) == pytest.approx(0.49, abs=0.06)


def test_impatient_callers_are_not_taken_for_returning_ones():
    timeouts = _learned(0.8 if number % 8 == 0 else 1.5 for number in range(80))
    assert timeouts.elapsed_s(0.8) == 0.0


def test_nothing_is_learned_while_callers_are_refused():
    timeouts = _learned([1.5] * 30)
    for number in range(100):
        now_s = 4.0 + number / 10
        timeouts.on_refused(now_s)
        timeouts.on_request(0.9, now_s)
    assert timeouts.elapsed_s(0.9) == pytest.approx(0.6)


def test_few_requests_tell_nothing():
    assert _learned([1.5] * 5).elapsed_s(0.5) == 0.0


def test_probe_rounds_do_not_mix_data_centres():
    candidates = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"]
    rounds = placement.probe_rounds(
        candidates, lambda name: name.startswith("b"), 3, 3
    )
    assert list(rounds) == [["a1", "a2", "a3"], ["a4"], ["b1", "b2", "b3"]]


@pytest.mark.parametrize(
    ("transfer_bytes", "now_s", "expected"),
    [(100_000, 0.0, True), (100_000, 0.25, False), (2_000, 0.0, False)],
)
def test_large_transfer_stays_local_while_there_is_time(
    transfer_bytes, now_s, expected
):
    request = Demand(transfer_bytes=transfer_bytes)
    assert placement.should_stay_local(request, now_s) is expected
