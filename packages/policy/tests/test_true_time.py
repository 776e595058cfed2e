"""True time from the clocks of several instances."""

import pytest

from magnoliacrank.policy import true_time

_UNIX_S = 1_700_000_000.0


def _estimate(clock, own_error_s, peer_errors_s, now_s):
    for number, error_s in enumerate(peer_errors_s):
        clock.on_peer_time(f"p{number}", _UNIX_S + now_s + error_s, now_s)
    return clock.unix_s(now_s, _UNIX_S + now_s + own_error_s) - _UNIX_S - now_s


@pytest.mark.parametrize(
    ("own_error_s", "peer_errors_s", "largest_s"),
    [
        (0.0, [], 0.0),
        (2.0, [0.001, 0.002], 0.002),
        (0.0, [2.0, 0.001], 0.001),
        (2.0, [2.0, 0.001, 0.0, -0.001, 0.002], 0.002),
        (-2.0, [2.0, 0.001, 0.0, -0.001, 0.002], 0.002),
        (0.0, [2.0, -2.0, -2.0, 0.0, 0.001, 0.002, 0.001, 0.0], 0.002),
    ],
)
def test_a_third_of_the_clocks_may_be_wrong(
    own_error_s, peer_errors_s, largest_s
):
    clock = true_time.TrueTime()
    error_s = _estimate(clock, own_error_s, peer_errors_s, 50.0)
    assert abs(error_s) <= largest_s + 1e-6


@pytest.mark.parametrize(
    ("own_error_s", "peer_error_s"), [(2.0, 0.0), (0.0, 2.0)]
)
def test_one_of_two_clocks_jumps(own_error_s, peer_error_s):
    clock = true_time.TrueTime()
    _estimate(clock, 0.0, [0.0], 50.0)
    error_s = _estimate(clock, own_error_s, [peer_error_s], 51.0)
    assert abs(error_s) < 1e-6


def test_instances_that_have_gone_silent_do_not_count():
    clock = true_time.TrueTime()
    _estimate(clock, 0.0, [2.0, 2.0, 2.0], 50.0)
    assert abs(_estimate(clock, 0.0, [], 70.0)) < 1e-6
