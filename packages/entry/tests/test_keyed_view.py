"""Tests of the order of records when the store comes back older."""

import pytest

from magnoliacrank.entry import keyed_view
from magnoliacrank.entry import record_comparison
from magnoliacrank.platform import store_records

WINDOW_S = record_comparison.OperatorComparison.rewrite_window_s


def _record(key, value, offset, era=1):
    return store_records.KeyedRecord(key, value, offset, era)


def _merge(view, *records):
    with view.merging(records) as changed:
        return {record.key: record.value for record in changed}


def _start(view, era, end, *records, now_s=0.0, retained=()):
    listing = keyed_view.EraListing(era, records, end, retained)
    with view.starting_era(listing, now_s) as changed:
        return {record.key: record.value for record in changed}


@pytest.fixture
def view():
    """A view with the keys a to c, complete up to offset 50."""
    made = keyed_view.KeyedView(record_comparison.OperatorComparison())
    _start(
        made,
        1,
        50,
        _record("a", b"1", 10),
        _record("b", b"2", 45),
        _record("c", b"3", 46),
    )
    made.advance(50)
    return made


def _values(view):
    return {key: record.value for key, record in view.values().items()}


def test_known_values_stay_until_the_window_ends(view):
    listing = (_record("a", b"1", 10, 2), _record("b", b"old", 5, 2))
    assert _start(view, 2, 40, *listing) == {}
    assert _values(view) == {"a": b"1", "b": b"2", "c": b"3"}
    assert (view.next_offset, view.mark, view.seen) == (0, (2, 11), (2, 40))
    assert view.due(WINDOW_S - 0.1) == []
    assert _merge(view, *view.due(WINDOW_S)) == {"b": b"old", "c": None}
    assert _values(view) == {"a": b"1", "b": b"old"}
    assert not view.held


def test_value_that_is_written_again_stays_and_others_hear_of_it(view):
    _start(view, 2, 40, _record("a", b"1", 10, 2))
    assert _merge(view, _record("c", b"3", 40, 2)) == {}
    assert view.mark == (2, 41)
    changes = view.changes_since((2, 40))
    assert [record.key for record in changes] == ["c"]
    assert [record.key for record in view.held] == ["b"]


def test_records_after_the_listing_are_newer(view):
    _start(view, 2, 40, _record("a", b"1", 10, 2))
    assert _merge(view, _record("b", b"new", 41, 2)) == {"b": b"new"}
    assert _merge(view, _record("b", b"late", 99, 1)) == {}
    assert _values(view)["b"] == b"new"


def test_record_after_the_first_page_is_newer(view):
    found = _start(view, 2, 40, _record("b", b"new", 40, 2))
    assert found == {"b": b"new"}


def test_listing_of_the_same_era_drops_nothing_that_is_held(view):
    _start(view, 2, 40, _record("a", b"1", 10, 2))
    newest = keyed_view.EraListing(2, (_record("a", b"1", 10, 2),), 44)
    assert _merge(view, *view.expand_listing(newest)) == {}
    assert "c" in _values(view)


def test_empty_topic_gets_its_first_record(view):
    _start(view, 2, 0)
    assert _merge(view, *view.due(WINDOW_S)) == {
        "a": None,
        "b": None,
        "c": None,
    }
    assert _merge(view, _record("a", b"1", 0, 2)) == {"a": b"1"}


def test_failed_start_counts_as_not_started(view):
    listing = keyed_view.EraListing(2, (), 0)
    with (
        pytest.raises(RuntimeError),
        view.starting_era(listing, 0.0),
    ):
        raise RuntimeError("fault of the test")
    assert (view.era, view.next_offset, len(view.held)) == (1, 50, 0)


def test_view_that_began_in_the_era_takes_over_what_another_retains(view):
    listed = (_record("a", b"1", 10, 2), _record("b", b"old", 5, 2))
    _start(view, 2, 40, *listed)
    late = keyed_view.KeyedView(record_comparison.OperatorComparison())
    _start(late, 2, 41, *listed, _record("d", b"4", 40, 2))
    late.advance(41)
    assert late.is_first_era
    retained = [
        record for record in view.changes_since((-1, 0)) if record.era < 2
    ]
    found = _start(late, 2, 40, *view.held, now_s=1.0, retained=retained)
    assert found == {"b": b"2", "c": b"3"}
    assert _values(late) == {**_values(view), "d": b"4"}
    assert late.next_offset == 41
    assert {record.key for record in late.held} == {"b", "c"}


@pytest.mark.parametrize("are_changes", [False, True])
def test_change_of_another_instance_is_passed_on(view, are_changes):
    """Guards against a change that gets lost on its way through this view.

    It missed the value in between, which the receiver knows.
    """
    record = _record("a", b"1", 60)
    with view.merging([record], are_changes=are_changes) as changed:
        assert changed == []
    assert view.changes_since((1, 60)) == ([record] if are_changes else [])
    assert view.mark == ((1, 61) if are_changes else (1, 47))
