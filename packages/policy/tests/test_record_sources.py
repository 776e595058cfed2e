"""Replays of where instances fetch records, and how many read the store."""

import random

import pytest

from magnoliacrank.policy import record_sources

Source = record_sources.Source

MEMBER = record_sources.MeshPosition("a", is_follower=False, position=0)
THIRD = record_sources.MeshPosition("a", is_follower=False, position=2)
FOLLOWER = record_sources.MeshPosition("a", is_follower=True, position=0)


def _sources(*, reads_store_first=False, capacity=0.43, seed=1):
    return record_sources.RecordSources(
        0.0,
        reads_store_first=reads_store_first,
        capacity=capacity,
        rng=random.Random(seed),
    )


def _marks(node="x", data_centre="a", operators=5, servers=5, verified_s=0.0):
    return record_sources.RecordOffsets(
        node, data_centre, f"ip-{node}", operators, servers, verified_s
    )


def _next(sources, place, now_s, *, is_empty=False, may_read_store=True):
    return sources.next_source(
        place, now_s, is_empty=is_empty, may_read_store=may_read_store
    )


@pytest.mark.parametrize(
    ("place", "data_centre", "waited_s", "expected"),
    [
        (MEMBER, "a", 0.0, Source.PEER),
        (MEMBER, "b", 0.0, Source.PEER),
        (THIRD, "a", 0.0, Source.PEER),
        (THIRD, "b", 0.1, Source.NONE),
        (THIRD, "b", 0.21, Source.PEER),
        (FOLLOWER, "a", 0.08, Source.PEER),
        (FOLLOWER, "b", 0.5, Source.NONE),
        (FOLLOWER, "b", 0.61, Source.PEER),
        (MEMBER, "a", 0.81, Source.STORE),
        (FOLLOWER, "a", 2.4, Source.PEER),
        (FOLLOWER, "a", 2.51, Source.STORE),
    ],
)
def test_change_is_fetched_along_a_tree(place, data_centre, waited_s, expected):
    sources = _sources()
    now_s = 10.0
    sources.on_offsets(
        _marks(data_centre=data_centre, verified_s=now_s), (1, 5), now_s
    )
    assert _next(sources, place, now_s + waited_s) is expected


def test_nothing_is_read_while_nothing_is_missing():
    sources = _sources()
    sources.on_offsets(_marks(), (5, 5), 0.0)
    assert not sources.is_behind((5, 5))
    assert _next(sources, MEMBER, 1.0) is Source.NONE


def test_peers_are_used_while_the_store_refuses():
    sources = _sources()
    sources.on_offsets(_marks(verified_s=9.0), (1, 5), 9.0)
    found = _next(sources, MEMBER, 10.0, may_read_store=False)
    assert found is Source.PEER


def test_offsets_beyond_the_store_are_dropped():
    """Otherwise one wrong datagram would cause reads of the store forever."""
    sources = _sources()
    sources.on_offsets(_marks(operators=10**12), (5, 5), 0.0)
    assert sources.is_behind((5, 5))
    sources.on_read((6, 6), 1.0, is_complete=True)
    assert not sources.is_behind((6, 6))


def test_best_source_has_all_records_and_is_local():
    sources = _sources()
    for marks in (
        _marks("old", verified_s=-10.0),
        _marks("behind", operators=4),
        _marks("far", "b"),
        _marks("near"),
    ):
        sources.on_offsets(marks, (1, 1), 0.0)
    found = [marks.node for marks in sources.candidates(MEMBER, 0.1, 3)]
    assert found == ["near", "far", "behind"]


def test_start_of_hundreds_reads_the_store_a_few_times():
    """The first instance whose read succeeds serves the others in 0.2 s."""
    instances = [
        _sources(reads_store_first=number < 3, seed=number)
        for number in range(311)
    ]
    readers = 0
    first_s = None
    for step in range(400):
        now_s = step / 100
        for sources in instances:
            place = FOLLOWER
            if _next(sources, place, now_s, is_empty=True) is Source.STORE:
                readers += first_s is None or now_s < first_s + 0.2
                first_s = now_s if first_s is None else first_s
        if first_s is not None and now_s > first_s + 0.2:
            break
    assert readers <= 3 * 21


def test_start_with_seeds_that_the_store_refuses_spreads_reads():
    small = [_sources(seed=number) for number in range(100, 396)]
    due = [
        sum(
            _next(sources, FOLLOWER, now_s, is_empty=True) is Source.STORE
            for sources in small
        )
        for now_s in (0.59, 0.7, 0.8)
    ]
    assert due[0] == 0
    assert due[1] < 0.1 * len(small)
    assert due[2] < 0.2 * len(small)


def test_large_instance_does_not_wait_for_smaller_ones_to_start():
    """After a loss of all, it may be up a second earlier than its seeds."""
    sources = _sources(capacity=2.15)
    assert _next(sources, MEMBER, 0.0, is_empty=True) is Source.STORE
