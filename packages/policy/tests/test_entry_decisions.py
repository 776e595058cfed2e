"""Load patterns replayed against the decisions of an entry instance."""

import collections
import random

import pytest

from magnoliacrank.model import backend_entry
from magnoliacrank.model import orders
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import crash_register
from magnoliacrank.policy import crowding
from magnoliacrank.policy import drain_estimate
from magnoliacrank.policy import lapsed_entries
from magnoliacrank.policy import placement
from magnoliacrank.policy import repeat_budget
from magnoliacrank.policy import token_bucket
from magnoliacrank.policy import version_choice
from magnoliacrank.policy import version_trial

Fit = placement.Fit
SlackShare = repeat_budget.SlackShare
Urgency = repeat_budget.Urgency


def _report(**fields):
    values = {
        "server_id": "s",
        "is_healthy": True,
        "running": 0,
        "waiting": 0,
        "slots": 4,
        "slowdown": 1.0,
        "cold_s": 0.0,
    }
    return backend_entry.HealthReport(**{**values, **fields})


@pytest.mark.parametrize(
    ("report", "sent", "fit"),
    [
        (_report(), 0, Fit.GOOD),
        (_report(slowdown=5.0), 0, Fit.SLOW),
        (_report(running=4), 0, Fit.FULL),
        (_report(running=2), 2, Fit.FULL),
        (_report(running=1, waiting=3), 0, Fit.FULL),
        (_report(is_healthy=False), 0, Fit.UNFIT),
        (_report(slots=0), 7, Fit.GOOD),
    ],
)
def test_server_is_rated_by_room_and_speed(report, sent, fit):
    rating = placement.rate(
        report, sent, 1.0, 1.0, is_remote=False, transfer_bytes=0
    )
    assert rating.fit is fit


def test_large_body_stays_in_its_data_centre():
    ratings = [
        placement.rate(
            _report(), 0, 1.0, 1.0, is_remote=is_remote, transfer_bytes=100_000
        )
        for is_remote in (False, True)
    ]
    assert ratings[0].order < ratings[1].order


@pytest.mark.parametrize(
    ("slots", "factor", "fit"),
    [(4, 1.0, Fit.GOOD), (4, 1.7, Fit.FULL), (2, 1.7, Fit.SLOW)],
)
def test_last_slot_is_used_where_it_adds_answers(slots, factor, fit):
    report = _report(running=slots - 1, slots=slots)
    rating = placement.rate(
        report, 0, 1.0, factor, is_remote=False, transfer_bytes=0
    )
    assert rating.fit is fit


def test_slowdown_of_nearly_full_servers_is_learned():
    found = crowding.Crowding()
    generator = random.Random(5)
    for step in range(200):
        busy = step % 4 + 1
        noise = generator.uniform(0.7, 1.4)
        found.on_duration(busy, 4, noise * (1.7 if busy == 4 else 1.0))
    assert 1.4 < found.factor < 2.0


@pytest.mark.parametrize("seed", range(20))
def test_noisy_neighbours_do_not_make_nearly_full_servers_look_slow(seed):
    """The last slots would be given up for good when they are needed most."""
    rng = random.Random(seed)
    learned = crowding.Crowding()
    for _ in range(1000):
        ratio = rng.gauss(1.0, 0.2) * (7.0 if rng.random() < 0.15 else 1.0)
        learned.on_duration(rng.choice((2, 5)), 6, ratio)
        assert crowding.is_last_slot_worth_using(6, learned.factor)


@pytest.mark.parametrize("seed", range(20))
def test_slow_last_slots_are_given_up_despite_noisy_neighbours(seed):
    rng = random.Random(seed)
    learned = crowding.Crowding()
    for _ in range(200):
        busy = rng.choice((2, 5))
        ratio = rng.gauss(1.0, 0.2) * (7.0 if rng.random() < 0.15 else 1.0)
        learned.on_duration(busy, 6, ratio * (4.0 if busy == 5 else 1.0))
    assert not crowding.is_last_slot_worth_using(6, learned.factor)


def test_cold_server_is_bounded_over_every_second():
    bucket = token_bucket.TokenBucket(4.0, 1.0)
    taken = [n / 100 for n in range(500) if bucket.try_take(n / 100)]
    for start in taken:
        assert sum(start <= at < start + 1.0 for at in taken) <= 5


def test_two_owners_of_a_cold_server_stay_within_the_bound():
    rate, factor, slack = 4.7, 1.5, 5
    buckets = [token_bucket.TokenBucket(rate * 0.85, 1.0) for _ in range(2)]
    taken = [
        n / 200
        for n in range(1000)
        for bucket in buckets
        if bucket.try_take(n / 200)
    ]
    for start in taken:
        inside = sum(start <= at < start + 1.0 for at in taken)
        assert inside <= rate * factor + slack


def test_repeats_of_all_instances_stay_within_budget():
    """A third of the servers fail at once; six instances send repeats."""
    ratio, slack, window_s = 0.2, 50.0, 10.0
    instances = [
        repeat_budget.RepeatBudget(ratio, slack, window_s, -20.0)
        for _ in range(6)
    ]
    requests, repeats = [], []
    for step in range(3000):
        now_s = step / 100
        for number, allowance in enumerate(instances):
            if (step + number) % 6 == 0:
                allowance.on_request(now_s)
                requests.append(now_s)
            if step % 2 and allowance.try_take(
                now_s, SlackShare.CREW, len(instances), Urgency.RETURNED
            ):
                repeats.append(now_s)
    for start_s in range(20):
        end_s = start_s + window_s
        asked = sum(start_s <= at < end_s for at in requests)
        repeated = sum(start_s <= at < end_s for at in repeats)
        assert repeated <= ratio * asked + slack


def test_restarted_instance_begins_with_no_slack():
    allowance = repeat_budget.RepeatBudget(0.2, 60.0, 10.0, 100.0)
    assert not allowance.try_take(100.0, SlackShare.CREW, 6)
    assert allowance.try_take(110.0, SlackShare.CREW, 6)


def test_repeats_outside_the_crews_stay_within_budget():
    """Instances outside the crews don't spend the crews' part of the slack.

    Requests that reached such instances once made them spend it a second time
    (276 repeats, 271 allowed).
    """
    slack = 64.0
    taken = 0
    for share, instances in ((SlackShare.CREW, 6), (SlackShare.OTHER, 13)):
        for _ in range(instances):
            allowance = repeat_budget.RepeatBudget(0.2, slack, 10.0, -20.0)
            for step in range(1000):
                now_s = step / 100
                taken += allowance.try_take(
                    now_s, share, instances, Urgency.RETURNED
                )
    assert taken <= slack


def test_long_disturbance_leaves_budget():
    """All servers refuse half of their requests for eight seconds."""
    allowance = repeat_budget.RepeatBudget(0.2, 64.0, 10.0, -20.0)
    taken = []
    for step in range(1000):
        now_s = step / 100
        allowance.on_request(now_s)
        if allowance.try_take(now_s, SlackShare.CREW, 1, Urgency.RETURNED):
            taken.append(now_s)
    for start_s in range(0, 8, 2):
        assert sum(start_s <= at < start_s + 2 for at in taken) > 10


def test_urgent_repeats_outlast_hedges():
    allowance = repeat_budget.RepeatBudget(0.2, 0.0, 10.0, -20.0)
    for step in range(1000):
        allowance.on_request(step / 100)

    def spend(urgency, start_s):
        times = (start_s + step / 1000 for step in range(300))
        return sum(
            allowance.try_take(now_s, SlackShare.CREW, 1, urgency)
            for now_s in times
        )

    assert spend(Urgency.HEDGE, 10.0) > 0
    spend(Urgency.HEDGE, 12.5)
    assert spend(Urgency.HEDGE, 15.0) == 0
    assert spend(Urgency.RETURNED, 15.5) > 0


def test_repeats_go_to_urgent_requests_and_callers_that_came_back():
    """All servers refuse more than the budget can repeat."""
    allowance = repeat_budget.RepeatBudget(0.2, 0.0, 10.0, -20.0)
    taken = collections.Counter()
    asked = collections.Counter()
    for step in range(4000):
        now_s = step / 200
        priority = 0 if step % 10 == 0 else 1
        allowance.on_request(now_s, priority)
        urgency = Urgency.RETURNED if step % 5 in (0, 1) else Urgency.NORMAL
        if now_s < 10.0:
            continue
        asked[priority, urgency] += 1
        taken[priority, urgency] += allowance.try_take(
            now_s, SlackShare.CREW, 1, urgency, priority
        )
    shares = {key: taken[key] / asked[key] for key in asked}
    assert shares[0, Urgency.RETURNED] > shares[1, Urgency.RETURNED]
    assert shares[1, Urgency.RETURNED] > 1.5 * shares[1, Urgency.NORMAL]
    assert shares[1, Urgency.NORMAL] > 0


def test_crashing_request_is_blocked_system_wide_after_two():
    register = crash_register.CrashRegister()
    register.on_crash("f", 0.0)
    assert not register.is_blocked("f", 0.1)
    register.update_peer_counts("peer", {"f": 1}, 0.2)
    assert register.is_blocked("f", 0.3)
    assert not register.is_blocked("other", 0.3)
    assert not register.is_blocked("f", 60.0)


def test_request_that_is_answered_was_not_the_cause():
    register = crash_register.CrashRegister()
    register.on_crash("f", 0.0)
    register.on_answered("f")
    register.on_crash("f", 1.0)
    assert not register.is_blocked("f", 1.1)


def test_fast_failing_server_is_avoided_longer_each_time():
    health = backend_health.BackendHealth()
    lengths = []
    now_s = 0.0
    for _ in range(3):
        health.on_outcome(backend_health.Outcome.FAILED, now_s)
        health.on_outcome(backend_health.Outcome.FAILED, now_s)
        start_s = now_s
        while health.is_blocked(now_s):
            now_s += 0.05
        lengths.append(now_s - start_s)
    assert lengths == sorted(lengths)
    assert lengths[0] < lengths[-1]


def test_partly_failing_server_is_avoided():
    health = backend_health.BackendHealth()
    blocked = 0
    for step in range(40):
        failed = step % 5 in (0, 2)
        outcome = (
            backend_health.Outcome.FAILED
            if failed
            else backend_health.Outcome.SUCCEEDED
        )
        health.on_outcome(outcome, step * 0.1)
        blocked += health.is_blocked(step * 0.1)
    assert blocked > 10


def test_long_requests_do_not_make_a_server_slow():
    health = backend_health.BackendHealth()
    for step in range(50):
        health.on_duration(6.0 if step % 10 == 0 else 0.9)
    assert health.duration_ratio < 1.6


def test_slow_server_is_noticed():
    health = backend_health.BackendHealth()
    for _ in range(12):
        health.on_duration(5.0)
    assert health.duration_ratio > 3.0


def test_queue_drain_estimate_returns_wait():
    drain = drain_estimate.DrainEstimate()
    for step in range(50):
        drain.on_dispatch(step / 50)
    assert drain.wait_s(25, 1.0) == pytest.approx(0.5, rel=0.1)
    assert drain.wait_s(25, 1.0, priority=1) == pytest.approx(5.0, rel=0.1)


@pytest.mark.parametrize(
    ("answers", "failure_after", "is_lapsed"),
    [
        pytest.param([5.0, 10.0], None, True, id="outage"),
        pytest.param([5.0, 7.0], 5.0, True, id="short outage, own failure"),
        pytest.param([5.0, 7.0], None, False, id="short silence"),
        pytest.param([5.0, 6.0, 7.0], 5.0, False, id="refused alone"),
        pytest.param([10.0], None, False, id="start"),
        pytest.param([10.0], -1.0, True, id="start in an outage"),
        pytest.param([5.0, 10.0, 9.0], None, True, id="old news"),
    ],
)
def test_entries_lapse_in_an_outage_that_any_instance_sees(
    answers, failure_after, is_lapsed
):
    """Answers of the store to other instances are known by heartbeats."""
    lapsed = lapsed_entries.LapsedEntries()
    if failure_after == -1.0:
        lapsed.on_store_failure()
    for answered_s in answers:
        lapsed.on_store_answer(answered_s)
        if answered_s == failure_after:
            lapsed.on_store_failure()
    lapsed.on_entry_removed("s", max(answers) + 0.1)
    assert lapsed.is_lapsed("s", max(answers) + 0.2) is is_lapsed
    assert lapsed.may_lack_unknown_entries(max(answers) + 0.2) is (
        failure_after == -1.0
    )


@pytest.mark.parametrize(
    ("removed_s", "checked_s", "is_lapsed"),
    [(10.5, 11.0, True), (10.5, 12.1, False), (12.5, 12.6, False)],
)
def test_lapsed_entries_expire_two_seconds_after_store_returns(
    removed_s, checked_s, is_lapsed
):
    lapsed = lapsed_entries.LapsedEntries()
    lapsed.on_store_answer(5.0)
    lapsed.on_store_answer(10.0)
    lapsed.on_entry_removed("s", removed_s)
    assert lapsed.is_lapsed("s", checked_s) is is_lapsed


ORDER = orders.RolloutOrder("svc", "v2", 12.0)


def _trial():
    return version_trial.VersionTrial(ORDER, 7, 0.0, 0.1, 50.0)


def _simulate_traffic(trial, rate_per_s, fails, until_s=12.0, slow=1.0):
    """Simulates one instance's traffic; returns the times of requests to v2."""
    used = []
    for step in range(int(until_s * rate_per_s)):
        now_s = step / rate_per_s
        route = f"r{step % 3}"
        is_new = trial.wants_request(now_s, 1, route)
        if is_new:
            trial.on_sent(route)
            used.append(now_s)
        failed = is_new and fails(now_s, route, step)
        duration_s = 0.1 * (slow if is_new else 1.0)
        trial.on_answer(
            route, is_new=is_new, failed=failed, duration_s=duration_s
        )
    return used


def _under_load(now_s, route, step):
    del route
    return now_s > 9.0 and step % 2 == 0


@pytest.mark.parametrize("rate_per_s", [14, 80, 400])
@pytest.mark.parametrize(
    ("fails", "slow"),
    [
        (lambda now_s, route, step: step % 2 == 0, 1.0),
        (lambda now_s, route, step: now_s > 3 and step % 2 == 0, 1.0),
        (lambda now_s, route, step: route == "r1" and step % 2 == 0, 1.0),
        (_under_load, 1.0),
        (lambda now_s, route, step: False, 8.0),
    ],
    ids=["at once", "late", "one route", "under load", "slow"],
)
def test_bad_version_is_found_within_its_exposure(rate_per_s, fails, slow):
    trial = _trial()
    used = _simulate_traffic(trial, rate_per_s, fails, slow=slow)
    assert trial.phase(12.0) is version_trial.TrialPhase.FAULTY
    assert len(used) <= 0.1 * 12 * rate_per_s + 50


@pytest.mark.parametrize("rate_per_s", [14, 80, 400])
def test_good_version_is_ready_before_the_deadline(rate_per_s):
    trial = _trial()
    used = _simulate_traffic(
        trial, rate_per_s, lambda now_s, route, step: False, 10.45
    )
    assert trial.phase(10.45) is version_trial.TrialPhase.READY
    assert len(used) <= 0.1 * 12 * rate_per_s + 50


def test_occasional_failures_of_both_versions_take_nothing_back():
    """Answers lost on the network hit 3% of the requests of each version."""
    trial = _trial()
    generator = random.Random(3)

    def fails(now_s, route, step):
        return generator.random() < 0.03

    _simulate_traffic(trial, 80, fails, 10.45)
    assert trial.phase(10.45) is version_trial.TrialPhase.READY


@pytest.mark.parametrize(
    ("old", "new", "is_faulty"),
    [
        # Regression, hunt-6124-7 on cirelis-routes: judged not faulty.
        ((1004, 45), (125, 26), True),
        ((1004, 45), (125, 7), False),
        # Incident inc-0fc0 on cirelis-routes: a good version was taken back by
        # an instance that had just started and had only part of the evidence.
        ((583, 7), (55, 4), False),
        ((1000, 4), (60, 2), False),
        ((1000, 4), (60, 6), True),
        ((200, 60), (20, 8), False),
        ((0, 0), (8, 5), True),
        # Incident inc-bcc1 on cirelis-routes: a good version was taken back.
        ((584, 8), (51, 5), False),
        ((20_000, 2000), (20_000, 2100), False),
        ((20_000, 2000), (20_000, 2900), True),
    ],
)
def test_failures_beyond_chance_are_a_fault(old, new, is_faulty):
    pair = version_trial.EvidencePair(
        version_trial.Evidence(*old, 0.1 * (old[0] - old[1])),
        version_trial.Evidence(*new, 0.1 * (new[0] - new[1])),
    )
    assert version_trial.is_faulty(pair, 3.5) is is_faulty


def test_version_without_evidence_does_not_take_over():
    trial = _trial()
    assert trial.phase(11.9) is version_trial.TrialPhase.TRYING


def test_failures_seen_by_another_instance_count():
    trial = _trial()
    pair = version_trial.EvidencePair(
        version_trial.Evidence(20, 0, 2.0), version_trial.Evidence(8, 6, 0.2)
    )
    trial.merge("peer/1", {"r": pair}, [])
    assert not trial.wants_request(1.0, 2, "r")
    assert trial.phase(1.0) is version_trial.TrialPhase.FAULTY


def _entry(version, born_ms=0):
    return backend_entry.BackendEntry(
        f"{version}-{born_ms}",
        "svc",
        "h",
        1,
        "a",
        version,
        2,
        False,
        0.0,
        born_ms,
    )


RUNNING = orders.RolloutState.RUNNING
COMPLETED = orders.RolloutState.COMPLETED
ROLLED_BACK = orders.RolloutState.ROLLED_BACK


@pytest.mark.parametrize(
    ("order", "state", "allowed"),
    [
        (None, None, {"v1"}),
        (ORDER, None, {"v1", "v2"}),
        (ORDER, RUNNING, {"v1", "v2"}),
        (ORDER, COMPLETED, {"v2"}),
        (ORDER, ROLLED_BACK, {"v1"}),
    ],
)
def test_versions_are_allowed_by_order_and_state(order, state, allowed):
    choice = version_choice.VersionChoice()
    entries = [_entry("v1", 1), _entry("v1", 2), _entry("v2", 9)]
    status = state and orders.RolloutStatus("svc", "v2", state)
    assert choice.allowed("svc", entries, order, status) == allowed


def test_new_version_without_order_gets_nothing():
    choice = version_choice.VersionChoice()
    choice.allowed("svc", [_entry("v1", 5)], None, None)
    entries = [_entry("v1", 5), _entry("v0", 1)]
    assert choice.allowed("svc", entries, None, None) == {"v1"}


def test_follower_blocks_request_while_the_mesh_reports_it():
    """A request that crashes servers reaches an instance outside the mesh.

    The mesh is the group of instances that exchange heartbeats with each other.
    """
    member = crash_register.CrashRegister()
    member.on_crash("f", 0.0)
    member.update_peer_counts("other", {"f": 1}, 0.1)
    assert member.blocked(0.2) == ["f"]
    follower = crash_register.CrashRegister()
    follower.apply_peer_blocks(member.blocked(0.2), 0.2)
    assert follower.is_blocked("f", 5.0)
    assert not follower.is_blocked("f", 5.3)
    assert follower.blocked(0.3) == []
