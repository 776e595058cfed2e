"""Data centres that callers are sent to when their own has no servers."""

import itertools

import pytest

from magnoliacrank.policy import caller_steering


@pytest.mark.parametrize(
    ("places", "services", "expected"),
    [
        ({"x": {"a", "b"}}, {"x"}, ["a"]),
        ({"x": {"c", "b"}}, {"x"}, ["b", "c"]),
        ({"x": {"b"}, "y": {"a"}}, {"x", "y"}, ["a"]),
        ({"x": {"b"}, "y": {"a"}}, {"x"}, ["b"]),
        ({}, {"x"}, ["a"]),
        ({"x": {"b"}}, set(), ["a"]),
    ],
    ids=[
        "own first",
        "evacuated",
        "part of the services",
        "one service gone",
        "nothing known",
        "unknown host",
    ],
)
def test_callers_connect_where_servers_are(places, services, expected):
    found = caller_steering.data_centres_for("a", services, places)
    assert found == expected


LastingShare = caller_steering.LastingShare


def _lasting(share_at, seconds, steps_per_s=2):
    """Returns the shares stated after some seconds of present shares."""
    found = caller_steering.LastingShares()
    stated = []
    for step in range(round(seconds * steps_per_s) + 1):
        now_s = step / steps_per_s
        found.update("x", share_at(now_s), now_s)
        stated.append(found.stated(now_s))
    return stated


@pytest.mark.parametrize(
    ("share_at", "least", "most"),
    [
        (lambda _: {"b": 0.2}, 0.19, 0.2),
        (lambda _: {}, 0.0, 0.0),
        (lambda now_s: {"b": 0.3} if now_s < 1.5 else {}, 0.0, 0.0),
        (lambda now_s: {"b": 0.2 * (now_s % 10 < 5)}, 0.05, 0.15),
    ],
    ids=["lasting", "none", "short burst", "wave"],
)
def test_only_lasting_shares_steer_callers(share_at, least, most):
    """Callers cache addresses, so they would follow a burst too late."""
    *_, last = _lasting(share_at, 60.0)
    assert least <= sum(share.share for share in last) <= most


def test_lasting_share_of_a_wave_is_stated_without_a_break():
    stated = _lasting(lambda now_s: {"b": 0.2 * (now_s % 10 < 5)}, 60.0)
    changes = [
        bool(before) != bool(after)
        for before, after in itertools.pairwise(stated)
    ]
    assert sum(changes) == 1


def test_steering_settles_when_callers_follow_late():
    """Callers that were steered no longer count as demand here."""
    found = caller_steering.LastingShares()
    steered = [0.0]
    for step in range(400):
        now_s = step / 2
        # Addresses are cached for up to 6 s.
        followed = steered[max(len(steered) - 12, 0)]
        demand = 36 * (1 - followed)
        found.update("x", {"b": max(1 - 27 / demand, 0.0)}, now_s)
        stated = found.stated(now_s)
        steered.append(sum(share.share for share in stated))
    assert max(steered[300:]) - min(steered[300:]) < 0.01
    assert 0.1 < steered[-1] < 0.2


@pytest.mark.parametrize(
    ("reports", "demands", "now_s", "expected"),
    [
        ({"n1": [("x", "b", 0.2)]}, {"x": 5.0}, 1.0, {"b": 0.2}),
        ({"n1": [("x", "b", 0.2)]}, {"x": 5.0, "y": 15.0}, 1.0, {"b": 0.05}),
        (
            {"n1": [("x", "b", 0.2)], "n2": [("x", "c", 0.1)]},
            {"x": 5.0},
            1.0,
            {"b": 0.1, "c": 0.05},
        ),
        ({"n1": [("x", "b", 0.9)]}, {"x": 5.0}, 1.0, {"b": 0.3}),
        ({"n1": [("x", "b", 0.2)]}, {"x": 5.0}, 4.0, {}),
        ({"n1": [("x", "b", 0.2)]}, {"x": 0.0}, 1.0, {}),
        ({"n1": [("x", "b", float("nan"))]}, {"x": 5.0}, 1.0, {}),
    ],
    ids=[
        "one service",
        "part of the demand",
        "differing beliefs",
        "bound",
        "stale",
        "no demand",
        "unusable",
    ],
)
def test_look_ups_are_steered_as_the_instances_state(
    reports, demands, now_s, expected
):
    found = caller_steering.StatedShares()
    for node, rows in reports.items():
        found.on_report(node, [LastingShare(*row) for row in rows], 0.0)
    assert found.steered(demands, now_s) == pytest.approx(expected)


def test_part_of_the_look_ups_is_steered():
    steered = {"b": 0.2, "c": 0.1}
    found = [
        caller_steering.steered_data_centre(steered, (draw + 0.5) / 100)
        for draw in range(100)
    ]
    assert (found.count("b"), found.count("c")) == (20, 10)
