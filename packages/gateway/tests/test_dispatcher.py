"""Tests of the verdict on a request after several attempts."""

from __future__ import annotations

import types

import multidict
import pytest

from magnoliacrank.gateway import dispatcher
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import request_reader
from magnoliacrank.gateway import service_runtime
from magnoliacrank.model import request
from magnoliacrank.model import verdict
from magnoliacrank.policy import crash_suspects
from magnoliacrank.policy import retry_budget
from magnoliacrank.policy import sample

_Kind = exchange_failure.FailureKind
_Reason = verdict.Reason
_TRUNCATED = verdict.may_have_run(_Reason.ANSWER_TRUNCATED)


class _Pool:
    authority = "127.0.0.1:1"

    def __init__(self, kind):
        self._kind = kind

    async def exchange(self, *arguments, **options):
        return exchange_failure.ExchangeFailure(self._kind)


class _Gate:
    async def enter(self, incoming):
        return object()

    def leave(self, place, service_time_s):
        pass


class _Suspects:
    def decide(self, compute_fingerprint):
        return crash_suspects.RunUnrestricted()

    def is_suspect(self, compute_fingerprint):
        return False

    def track_request(self, server_id, compute_fingerprint):
        pass

    def untrack_request(self, server_id, compute_fingerprint):
        pass


class _Runtime:
    """Reserves a server that fails with each kind in turn, then none.

    Without a last reason, this instance then leaves the crew.
    """

    gate = _Gate()
    suspects = _Suspects()

    def __init__(self, kinds, last):
        self._kinds = list(kinds)
        self._last = last
        self.is_member = True
        self.retries = retry_budget.RetryBudget()
        self.retries.on_first_attempt(0.0)

    def reserve(self, incoming, excluded, waited_s=0.0):
        if not self._kinds:
            self.is_member = self._last is not None
            return sample.NoServer(self._last or _Reason.OVERLOADED)
        kind = self._kinds.pop(0)
        handle = sample.Dispatch(f"b{len(self._kinds)}", "r", 0.0, 0.1, 1.0)
        return service_runtime.Reservation(_Pool(kind), None, handle, "1")

    def on_answer(self, reservation, observed):
        pass

    def on_failure(self, reservation, kind):
        pass

    def on_abandoned(self, reservation, kind, until_s):
        pass


@pytest.mark.parametrize(
    ("kinds", "last", "wanted"),
    [
        ([], _Reason.NO_SERVER, verdict.not_run(_Reason.NO_SERVER)),
        ([], None, dispatcher.NOT_CREW_MEMBER),
        (
            [_Kind.REFUSED],
            _Reason.NO_SERVER,
            verdict.not_run(_Reason.NO_SERVER),
        ),
        ([_Kind.TRUNCATED], _Reason.NO_SERVER, _TRUNCATED),
        ([_Kind.TRUNCATED, _Kind.REFUSED], _Reason.NO_SERVER, _TRUNCATED),
        ([_Kind.TRUNCATED], None, _TRUNCATED),
    ],
)
async def test_verdict_after_several_attempts_keeps_may_have_run(
    kinds, last, wanted
):
    clock_s = 100.0
    runtime = _Runtime(kinds, last)
    typed = request.Request(
        "c", "s", "r", request.RequestClass.IDEMPOTENT, clock_s + 1.0
    )
    exchange = types.SimpleNamespace(
        method="GET",
        target="/",
        headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
    )
    result = await dispatcher.Dispatcher(lambda: clock_s).dispatch(
        exchange,
        request_reader.RoutedRequest(typed, None, None, ""),
        runtime,
        b"",
    )
    assert result == wanted
