"""Who may perform the duty, and with which token."""

import pytest

from magnoliacrank.policy import duty_lease

_LEASE_S = 3.0
_ERA = 1 << 32


def _record(holder, token, era=0):
    return duty_lease.DutyRecord(holder, token, era)


def _mark(end, era=0):
    return duty_lease.TopicMark(era, end)


def _holder(now_s=0.0):
    lease = duty_lease.DutyLease("a", _LEASE_S)
    lease.on_read(None, _mark(0), now_s)
    lease.on_taken(lease.next_record(0), _mark(1), now_s)
    return lease


def test_first_holder_takes_the_duty_at_once():
    lease = duty_lease.DutyLease("a", _LEASE_S)
    lease.on_read(None, _mark(0), 5.0)
    assert lease.earliest_take_s() < 5.0
    assert lease.next_record(0) == _record("a", 1)


def test_holder_acts_for_less_than_others_wait():
    lease = _holder(now_s=10.0)
    assert lease.may_act(10.1)
    assert not lease.may_act(10.0 + _LEASE_S)
    other = duty_lease.DutyLease("b", _LEASE_S)
    other.on_read(lease.record, _mark(1), 10.0)
    assert other.earliest_take_s() > 10.0 + _LEASE_S


def test_each_write_of_the_holder_restarts_the_wait_of_others():
    other = duty_lease.DutyLease("b", _LEASE_S)
    other.on_read(_record("a", 1), _mark(1), 10.0)
    other.on_read(_record("a", 1), _mark(1), 12.0)
    before_s = other.earliest_take_s()
    other.on_read(_record("a", 1), _mark(2), 12.0)
    assert before_s < 13.5
    assert other.earliest_take_s() > 12.0 + _LEASE_S


def test_former_holder_waits_before_it_returns():
    lease = _holder()
    lease.on_read(_record("b", 2), _mark(2), 4.0)
    assert not lease.is_held
    assert not lease.may_act(4.0)
    assert lease.earliest_take_s() > 4.0 + _LEASE_S


@pytest.mark.parametrize(
    ("known", "refused", "era", "token"),
    [
        (None, None, 0, 1),
        (None, None, 4, 4 * _ERA + 1),
        (7, None, 0, 8),
        (4 * _ERA + 7, None, 4, 4 * _ERA + 8),
        (4 * _ERA + 7, None, 5, 5 * _ERA + 1),
        # The store came back without a record of the token.
        (4 * _ERA + 7, None, 3, 4 * _ERA + 8),
    ],
)
def test_tokens_rise_over_holders_and_eras(known, refused, era, token):
    lease = duty_lease.DutyLease("a", _LEASE_S)
    record = None if known is None else _record("b", known, era)
    lease.on_read(record, _mark(1, era), 0.0)
    assert lease.next_record(era).token == token


def test_refused_token_is_never_used_again():
    lease = _holder()
    token = lease.token
    lease.on_refused(1.0)
    assert not lease.may_act(1.0)
    assert lease.earliest_take_s() > 1.0 + _LEASE_S
    assert lease.next_record(0).token > token + 1


def test_write_without_an_answer_requires_a_read():
    lease = _holder()
    lease.on_write_unknown()
    assert lease.mark is None
    lease.on_read(lease.record, _mark(2), 1.0)
    assert lease.is_held


@pytest.mark.parametrize(("now_s", "must_wait"), [(1.0, False), (9.0, True)])
def test_duty_is_taken_anew_in_a_new_era(now_s, must_wait):
    """Without a lease, another holder may have acted; its record is lost."""
    lease = _holder()
    lease.on_era(1)
    assert not lease.may_act(now_s)
    lease.on_read(None, _mark(0, era=1), now_s)
    assert (lease.earliest_take_s() > now_s) is must_wait
    assert lease.next_record(1).token == _ERA + 1
