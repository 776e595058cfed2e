"""Tests of which versions of a service may get requests.

Entries of the old and of the new version expire and come back in any order,
and the instance may start anew at any moment in between.
"""

import itertools

import attrs
import pytest

from magnoliacrank.model import backend_entry
from magnoliacrank.model import orders
from magnoliacrank.policy import version_choice

ORDER = orders.RolloutOrder("svc", "v2", 12.0)
RUNNING = orders.RolloutState.RUNNING
COMPLETED = orders.RolloutState.COMPLETED
ROLLED_BACK = orders.RolloutState.ROLLED_BACK

OLD, NEW, BOTH, NONE = ("v1",), ("v2",), ("v1", "v2"), ()


def _entries(versions):
    """Returns one entry for each version, the older versions born first."""
    return [
        backend_entry.BackendEntry(
            f"i-{version}",
            "svc",
            "h",
            1,
            "a",
            version,
            2,
            False,
            0.0,
            1000 + int(version[1:]),
        )
        for version in versions
    ]


def _status(state, version="v2"):
    return state and orders.RolloutStatus("svc", version, state)


@pytest.mark.parametrize(
    ("registered", "state", "with_order", "without_order"),
    [
        (BOTH, RUNNING, {"v1", "v2"}, {"v1"}),
        (OLD, RUNNING, {"v1"}, {"v1"}),
        (NEW, RUNNING, {"v2"}, set()),
        (NONE, RUNNING, set(), set()),
        (BOTH, ROLLED_BACK, {"v1"}, {"v1"}),
        (OLD, ROLLED_BACK, {"v1"}, {"v1"}),
        (NEW, ROLLED_BACK, set(), set()),
        (NONE, ROLLED_BACK, set(), set()),
        (BOTH, COMPLETED, {"v2"}, {"v1"}),
        (NEW, COMPLETED, {"v2"}, {"v2"}),
        (OLD, COMPLETED, {"v1"}, {"v1"}),
    ],
)
def test_started_instance_allows(registered, state, with_order, without_order):
    """Neither an order nor a recorded state names the old version."""
    for order, allowed in ((ORDER, with_order), (None, without_order)):
        choice = version_choice.VersionChoice()
        found = choice.allowed(
            "svc", _entries(registered), order, _status(state)
        )
        assert found & set(registered) == allowed


@pytest.mark.parametrize("state", [None, RUNNING, ROLLED_BACK])
@pytest.mark.parametrize("restarts_at", [None, 0, 1, 2, 3])
@pytest.mark.parametrize(
    "steps",
    list(itertools.permutations([BOTH, OLD, NEW, NONE])),
    ids=lambda steps: "-".join("+".join(step) or "none" for step in steps),
)
def test_old_version_is_in_use_when_it_is_back(steps, restarts_at, state):
    """Guards against a version on trial that replaces the old one.

    All entries had expired in an outage of the store, and those of the new
    version were written again first.
    """
    choice = version_choice.VersionChoice()
    choice.allowed("svc", _entries(OLD), None, None)
    for number, registered in enumerate((*steps, BOTH)):
        if number == restarts_at:
            choice = version_choice.VersionChoice()
        found = choice.allowed(
            "svc", _entries(registered), ORDER, _status(state)
        )
        if "v1" in registered:
            assert "v1" in found
        if state is ROLLED_BACK:
            assert "v2" not in found


def test_version_without_an_order_does_not_outlast_its_order():
    """It was the only one registered when the instance started."""
    choice = version_choice.VersionChoice()
    assert choice.allowed("svc", _entries(NEW), None, None) == {"v2"}
    assert "v1" in choice.allowed("svc", _entries(BOTH), ORDER, None)
    status = _status(ROLLED_BACK)
    assert choice.allowed("svc", _entries(BOTH), ORDER, status) == {"v1"}


def test_base_version_returns_after_another_stood_in():
    choice = version_choice.VersionChoice()
    choice.allowed("svc", _entries(("v1", "v3")), None, None)
    assert choice.allowed("svc", _entries(("v3",)), None, None) == {"v3"}
    entries = _entries(("v1", "v3"))
    assert choice.allowed("svc", entries, None, None) == {"v1"}


def test_target_of_a_completed_rollout_is_the_next_base_version():
    choice = version_choice.VersionChoice()
    choice.allowed("svc", _entries(BOTH), ORDER, _status(COMPLETED))
    choice.on_decided(_status(COMPLETED))
    order = orders.RolloutOrder("svc", "v3", 12.0)
    entries = _entries(("v1", "v2", "v3"))
    assert choice.allowed("svc", entries, order, None) == {"v2", "v3"}
    status = _status(ROLLED_BACK, "v3")
    assert choice.allowed("svc", entries, order, status) == {"v2"}


@pytest.mark.parametrize("is_first", [True, False])
def test_version_that_states_no_start_is_not_the_oldest(is_first):
    """Guards against an entry of another writer that hides the servers.

    Without `born` it counted as the oldest entry, and its version as the one
    in use.
    """
    choice = version_choice.VersionChoice()
    foreign = attrs.evolve(_entries(("v0",))[0], born_ms=None)
    entries = [foreign, *_entries(OLD)]
    if not is_first:
        entries.reverse()
    assert choice.allowed("svc", entries, None, None) == {"v1"}


def test_version_without_a_start_is_in_use_where_no_other_is():
    choice = version_choice.VersionChoice()
    entries = [attrs.evolve(item, born_ms=None) for item in _entries(OLD)]
    assert choice.allowed("svc", entries, None, None) == {"v1"}
