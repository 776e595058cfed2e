"""Tests of recognizing callers that were refused a moment ago."""

from magnoliacrank.policy import return_register


def test_each_refusal_accounts_for_one_return():
    register = return_register.ReturnRegister()
    register.on_refused("a", 10.0)
    register.on_refused("a", 11.5)
    assert not register.take("b", 11.5)
    assert register.take("a", 11.6)
    assert register.take("a", 13.0)
    assert not register.take("a", 13.0)


def test_caller_that_stays_away_is_forgotten():
    register = return_register.ReturnRegister()
    register.on_refused("a", 10.0)
    assert not register.take("a", 12.5)
    register.on_refused("b", 20.0)
    for number in range(5000):
        register.on_refused(f"other {number}", 20.0)
    assert not register.take("b", 20.1)
