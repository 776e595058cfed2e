"""Tests of when a server that states no load is asked whether it is cold."""

import math

import pytest

from magnoliacrank.policy import warmup_check

Check = warmup_check.WarmupCheck


@pytest.mark.parametrize(
    ("report_age_s", "idle_s", "check"),
    [
        pytest.param(0.1, 9.0, Check.NONE, id="fresh report"),
        pytest.param(0.6, 0.1, Check.CONCURRENT, id="in use"),
        pytest.param(0.6, 5.0, Check.BEFORE_USE, id="out of use"),
        pytest.param(None, math.inf, Check.NONE, id="never asked"),
    ],
)
def test_due_check(report_age_s, idle_s, check):
    assert warmup_check.due_check(report_age_s, idle_s) is check
