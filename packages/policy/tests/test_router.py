"""Routing: choice of a server, concurrency limits, ejection and versions."""

from __future__ import annotations

import random

import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.model import verdict
from magnoliacrank.policy import life
from magnoliacrank.policy import router
from magnoliacrank.policy import sample

_READ = "read"
_IDEMPOTENT = request.RequestClass.IDEMPOTENT
_CONFIRM = request.RequestClass.AT_MOST_ONCE
_HOME = ids.DataCentre("a")
_V1 = ids.SoftwareVersion("1")
_V2 = ids.SoftwareVersion("2")


class _Slots:
    """Grants every server's whole limit to this one instance."""

    def __init__(self):
        self.router = None
        self.used = {}

    def free(self, server_id, now_s):
        used = self.used.get(server_id, 0)
        return self.router.limit(server_id, now_s) - used


def _backend(name, data_centre="a", version=_V1, state=None):
    return server.BackendServer(
        server_id=ids.ServerId(name),
        service=ids.ServiceName("s"),
        version=version,
        data_centre=ids.DataCentre(data_centre),
        host="127.0.0.1",
        port=1,
        slots=4,
        connections=200,
        state=state or server.ListedState.LIVE,
    )


def _router(servers):
    slots = _Slots()
    routing = router.Router(_HOME, slots, random.Random(7))
    slots.router = routing
    routing.set_servers(servers, 0.0)
    return routing


def _serve(routing, name, now_s, latency_s=0.005, count=1, **sample_fields):
    for _ in range(count):
        dispatch = routing.on_dispatch(ids.ServerId(name), _READ, now_s)
        now_s += latency_s
        answer = sample.AnswerSample(latency_s, **sample_fields)
        routing.on_answer(dispatch, answer, now_s)
    return now_s


def _warm(routing, names, now_s=0.0):
    """Serves until each server's limit has reached its slots."""
    for _ in range(200):
        for name in names:
            now_s = _serve(routing, name, now_s)
        now_s += 0.03
    for name in names:
        assert routing.life(ids.ServerId(name)) is life.LifecycleState.READY
    return now_s


def _chosen(routing, now_s, request_class=_CONFIRM, excluded=(), count=300):
    return [
        routing.choose(_READ, request_class, excluded, now_s)
        for _ in range(count)
    ]


def test_choose_own_data_centre_first_uses_no_other():
    routing = _router([_backend("a1"), _backend("b1", "b")])
    now_s = _warm(routing, ["a1", "b1"])
    assert set(_chosen(routing, now_s)) == {"a1"}


def test_choose_full_data_centre_spills_to_other():
    routing = _router([_backend("a1"), _backend("b1", "b")])
    now_s = _warm(routing, ["a1", "b1"])
    routing._slots.used["a1"] = 4
    assert set(_chosen(routing, now_s)) == {"b1"}


def test_choose_data_centre_out_gets_nothing():
    routing = _router([_backend("a1"), _backend("b1", "b")])
    now_s = _warm(routing, ["a1", "b1"])
    routing.set_data_centres_out(frozenset({_HOME}))
    assert set(_chosen(routing, now_s)) == {"b1"}
    routing.set_data_centres_out(frozenset({_HOME, ids.DataCentre("b")}))
    assert set(_chosen(routing, now_s)) == {
        sample.NoServer(verdict.Reason.NO_SERVER)
    }


def test_choose_excluded_server_is_never_chosen():
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    assert set(_chosen(routing, now_s, excluded={"a1"})) == {"a2"}


@pytest.mark.parametrize("gone", ["leaving", "unlisted"])
def test_choose_departed_server_gets_nothing(gone):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    kept = [_backend("a2")]
    if gone == "leaving":
        kept.append(_backend("a1", state=server.ListedState.LEAVING))
    routing.set_servers(kept, now_s)
    assert set(_chosen(routing, now_s)) == {"a2"}


def test_choose_cold_leaving_server_gets_no_trickle():
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a2"])
    assert set(_chosen(routing, now_s, _IDEMPOTENT)) == {"a1"}
    dispatch = routing.on_dispatch(ids.ServerId("a1"), _READ, now_s)
    routing.set_servers(
        [_backend("a1", state=server.ListedState.LEAVING), _backend("a2")],
        now_s,
    )
    answer = sample.AnswerSample(0.005)
    routing.on_state_update(
        sample.ServerStateUpdate(ids.ServerId("a1"), 0, 1, True), now_s
    )
    assert set(_chosen(routing, now_s + 1.0, _IDEMPOTENT)) == {"a2"}
    routing.on_answer(dispatch, answer, now_s + 1.0)
    routing._slots.used["a1"] = -1
    assert set(_chosen(routing, now_s + 2.0, _IDEMPOTENT)) == {"a2"}


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        (0.001, "a1"),
        (0.03, "a2"),
    ],
)
def test_choose_late_request_in_flight_counts_before_it_answers(
    age_s, expected
):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    routing.on_dispatch(ids.ServerId("a1"), _READ, now_s)
    now_s += age_s
    for _ in range(2):
        routing.on_dispatch(ids.ServerId("a2"), _READ, now_s)
    assert set(_chosen(routing, now_s)) == {expected}


def test_choose_fast_failure_attracts_no_work():
    routing = _router([_backend("a1"), _backend("a2"), _backend("a3")])
    now_s = _warm(routing, ["a1", "a2", "a3"])
    now_s = _serve(
        routing, "a1", now_s, 0.0001, 3, status=sample.AnswerStatus.ERROR
    )
    assert routing.life(ids.ServerId("a1")) is life.LifecycleState.SUSPECT
    assert "a1" not in _chosen(routing, now_s)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (7, 7, 4),
        (7, 8, 1),
    ],
)
def test_limit_changed_incarnation_falls_to_cold(first, second, expected):
    routing = _router([_backend("a1")])
    now_s = _warm(routing, ["a1"])
    for incarnation in (first, second):
        report = server.LoadReport(in_flight=0, incarnation=incarnation)
        now_s = _serve(routing, "a1", now_s, report=report)
    assert routing.limit(ids.ServerId("a1"), now_s) == expected


@pytest.mark.parametrize(
    ("kind", "count", "expected"),
    [
        (sample.FailureKind.CONNECT_FAILED, 1, 1),
        (sample.FailureKind.RESET, 1, 1),
        (sample.FailureKind.TIMEOUT, 1, 4),
        (sample.FailureKind.CALLER_GONE, 3, 4),
    ],
)
def test_limit_after_failures_falls_when_they_hint_at_a_restart(
    kind, count, expected
):
    routing = _router([_backend("a1")])
    now_s = _warm(routing, ["a1"])
    for _ in range(count):
        dispatch = routing.on_dispatch(ids.ServerId("a1"), _READ, now_s)
        routing.on_failure(dispatch, kind, now_s + 0.001)
    assert routing.limit(ids.ServerId("a1"), now_s) == expected


@pytest.mark.parametrize(("incarnation", "expected"), [(7, 4), (8, 1)])
def test_limit_after_reset_recovers_if_the_process_is_the_same(
    incarnation, expected
):
    routing = _router([_backend("a1")])
    now_s = _warm(routing, ["a1"])
    report = server.LoadReport(in_flight=0, incarnation=7)
    now_s = _serve(routing, "a1", now_s, report=report)
    dispatch = routing.on_dispatch(ids.ServerId("a1"), _READ, now_s)
    routing.on_failure(dispatch, sample.FailureKind.RESET, now_s)
    report = server.LoadReport(in_flight=0, incarnation=incarnation)
    now_s = _serve(routing, "a1", now_s, report=report)
    assert routing.limit(ids.ServerId("a1"), now_s) == expected


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (sample.FailureKind.RESET, life.LifecycleState.COLD),
        (sample.FailureKind.TIMEOUT, life.LifecycleState.READY),
    ],
)
@pytest.mark.parametrize("gap_s", [0.001, 0.2])
def test_failures_of_concurrent_requests_count_as_one(kind, expected, gap_s):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    a1 = ids.ServerId("a1")
    running = [routing.on_dispatch(a1, _READ, now_s) for _ in range(4)]
    for dispatch in running:
        now_s += gap_s
        routing.on_failure(dispatch, kind, now_s)
    assert routing.life(a1) is expected


@pytest.mark.parametrize(
    "kind", [sample.FailureKind.RESET, sample.FailureKind.TIMEOUT]
)
def test_failures_one_after_the_other_eject(kind):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    a1 = ids.ServerId("a1")
    for _ in range(3):
        dispatch = routing.on_dispatch(a1, _READ, now_s)
        now_s += 0.001
        routing.on_failure(dispatch, kind, now_s)
    assert routing.life(a1) is life.LifecycleState.SUSPECT


@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        (None, 1),
        (4, 1),
        (2, 2),
    ],
)
def test_limit_of_slow_cold_server_follows_reported_limit(reported, expected):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    report = server.LoadReport(in_flight=0, incarnation=7)
    now_s = _serve(routing, "a1", now_s, report=report)
    for limit in (1 if reported == 2 else reported,) * 2 + (reported,) * 40:
        report = server.LoadReport(0, 0, 8, limit)
        now_s = _serve(routing, "a1", now_s, 0.012, report=report)
        now_s = _serve(routing, "a2", now_s, count=8)
    assert routing.limit(ids.ServerId("a1"), now_s) == expected


@pytest.mark.parametrize(("waited_s", "is_used"), [(0.0, False), (0.5, True)])
def test_choose_far_slower_server_only_after_waiting_as_long(waited_s, is_used):
    routing = _router([_backend("a1"), _backend("a2")])
    now_s = _warm(routing, ["a1", "a2"])
    routing._slots.used["a2"] = 4
    routing.on_dispatch(ids.ServerId("a1"), _READ, now_s)
    chosen = routing.choose(_READ, _CONFIRM, (), now_s + 0.1, waited_s=waited_s)
    assert (chosen == "a1") == is_used


def test_limit_update_of_restart_reaches_other_instances():
    here, there = _router([_backend("a1")]), _router([_backend("a1")])
    now_s = max(_warm(here, ["a1"]), _warm(there, ["a1"]))
    for incarnation in (1, 2):
        report = server.LoadReport(in_flight=0, incarnation=incarnation)
        now_s = _serve(here, "a1", now_s, report=report)
    for state_update in here.take_state_updates():
        there.on_state_update(state_update, now_s)
    assert there.limit(ids.ServerId("a1"), now_s) == 1
    assert here.take_state_updates() == ()


def test_choose_version_shares_are_kept_also_when_the_other_is_full():
    routing = _router([_backend("a1"), _backend("a2", version=_V2)])
    now_s = _warm(routing, ["a1", "a2"])
    routing.set_version_shares({_READ: {_V1: 0.95, _V2: 0.05}})
    assert _chosen(routing, now_s, count=100).count("a2") == 5
    routing._slots.used["a1"] = 4
    assert _chosen(routing, now_s, count=100).count("a2") == 5
    routing.set_version_shares({_READ: {_V1: 1.0}})
    assert "a2" not in _chosen(routing, now_s)
