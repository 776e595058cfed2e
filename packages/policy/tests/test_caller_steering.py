"""Data centres that callers are sent to when their own has no servers."""

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
