"""Tests of the verdict type."""

from __future__ import annotations

import pytest

from magnoliacrank.model import verdict


@pytest.mark.parametrize(
    ("value", "may_have_run", "is_done"),
    [
        (verdict.DONE, True, True),
        (verdict.not_run(verdict.Reason.OVERLOADED), False, False),
        (verdict.may_have_run(verdict.Reason.CONNECTION_LOST), True, False),
    ],
)
def test_verdict_states_whether_request_may_have_run(
    value, may_have_run, is_done
):
    assert value.may_have_run is may_have_run
    assert value.is_done is is_done
