"""Tests of the delay after failed calls."""

from magnoliacrank.policy import backoff


def test_delay_grows_to_its_bound_and_starts_over_after_a_success():
    delays = backoff.Backoff(0.25, 2.0)
    now_s = 10.0
    waited = []
    for _ in range(5):
        assert delays.may_call(now_s)
        delays.on_result(failed=True, now_s=now_s)
        started_s = now_s
        while not delays.may_call(now_s):
            now_s += 0.125
        waited.append(now_s - started_s)
    assert waited == [0.25, 0.5, 1.0, 2.0, 2.0]
    delays.on_result(failed=False, now_s=now_s)
    assert delays.may_call(now_s)
    delays.on_result(failed=True, now_s=now_s)
    assert not delays.may_call(now_s + 0.125)
    assert delays.may_call(now_s + 0.25)
