"""Counts of requests by customer and window, of one and of many instances."""

import pytest

from magnoliacrank.policy import usage_windows

_KEPT = usage_windows.windows_to_keep(window_s=5.0, late_s=10.0)

_A = usage_windows.Source("front-a", 1)
_A_RESTARTED = usage_windows.Source("front-a", 2)
_B = usage_windows.Source("front-b", 1)


def _counts(window, revision, counts, *, is_final=True):
    return usage_windows.WindowCounts(window, revision, is_final, counts)


def test_request_that_did_not_run_is_withdrawn_from_its_own_window():
    meter = usage_windows.UsageMeter(_KEPT)
    for window in (7, 7, 8):
        meter.add("huka", window)
    meter.add("puhu", 7)
    meter.withdraw("puhu", 7)
    meter.withdraw("huka", 7)
    found = {item.window: item.counts for item in meter.report(9)}
    assert found == {7: {"huka": 1}, 8: {"huka": 1}}


def test_window_without_counts_after_one_with_counts_is_stated():
    meter = usage_windows.UsageMeter(_KEPT)
    meter.add("huka", 7)
    found = [
        (item.window, item.is_final, item.counts) for item in meter.report(10)
    ]
    assert found == [(7, True, {"huka": 1}), (8, True, {})]


def test_old_windows_are_dropped():
    meter = usage_windows.UsageMeter(_KEPT)
    ledger = usage_windows.UsageLedger(_KEPT)
    for window in range(100):
        meter.add("huka", window)
        ledger.merge(_A, _counts(window, 1, {"huka": 1}), window)
    newest = range(100 - _KEPT, 100)
    assert [item.window for item in meter.report(99)] == list(newest)
    kept = [window for window in range(100) if ledger.has_counts(window)]
    assert kept == list(newest)


@pytest.mark.parametrize(
    ("messages", "total"),
    [
        ([(_A, 1, 5), (_B, 1, 3)], 8),
        ([(_A, 1, 5), (_A, 1, 5)], 5),
        ([(_A, 2, 6), (_A, 1, 5)], 6),
        ([(_A, 1, 5), (_A, 2, 4)], 4),
        ([(_A, 9, 5), (_A_RESTARTED, 1, 2)], 7),
    ],
)
def test_repeated_and_overtaken_messages_count_once(messages, total):
    ledger = usage_windows.UsageLedger(_KEPT)
    for source, revision, count in messages:
        ledger.merge(source, _counts(7, revision, {"huka": count}), 8)
    assert ledger.totals(7) == {"huka": total}


def test_final_counts_of_known_sources_are_awaited():
    ledger = usage_windows.UsageLedger(_KEPT)
    ledger.merge(_A, _counts(7, 1, {"huka": 5}), 8)
    ledger.merge(_B, _counts(8, 1, {"huka": 5}, is_final=False), 8)
    assert ledger.missing(8) == [_A, _B]
    ledger.merge(_A, _counts(8, 0, {}), 9)
    assert ledger.missing(8) == [_B]
    ledger.merge(_B, _counts(8, 1, {"huka": 5}), 9)
    assert ledger.missing(8) == []
    assert ledger.missing(9) == [_B]
