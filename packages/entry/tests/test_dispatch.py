"""Tests of the verdict on a request after one or two exchanges."""

from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import dispatch
from magnoliacrank.gateway import exchange_failure

FailureKind = exchange_failure.FailureKind
Verdict = dispatch.Verdict

SIGNED = {"Response-Signature": "x"}
SHED = {"Not-Executed": "1"}


def _answer(status, headers):
    found = CIMultiDictProxy(CIMultiDict(headers))
    return backend_link.WholeAnswer(status, found, b"")


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, SIGNED, Verdict.ANSWERED),
        (204, SIGNED, Verdict.ANSWERED),
        (404, SIGNED, Verdict.ANSWERED),
        (500, SIGNED, Verdict.FAILED),
        (504, SIGNED, Verdict.FAILED),
        (200, {}, Verdict.MAY_HAVE_RUN),
        (200, {**SIGNED, "Content-Encoding": "gzip"}, Verdict.MAY_HAVE_RUN),
        (500, {}, Verdict.MAY_HAVE_RUN),
        (503, SIGNED, Verdict.MAY_HAVE_RUN),
        (429, {}, Verdict.MAY_HAVE_RUN),
        (408, SIGNED, Verdict.MAY_HAVE_RUN),
        (503, SHED, Verdict.NOT_RUN),
        (429, SHED, Verdict.NOT_RUN),
        (400, SHED, Verdict.NOT_RUN),
        (421, {}, Verdict.NOT_RUN),
    ],
)
def test_answer_says_whether_the_request_ran(status, headers, verdict):
    assert dispatch.classify(_answer(status, headers)).verdict is verdict


@pytest.mark.parametrize(
    ("kind", "verdict"),
    [
        (FailureKind.CONNECT_FAILED, Verdict.NOT_RUN),
        (FailureKind.CONNECT_TIMEOUT, Verdict.NOT_RUN),
        (FailureKind.CONNECTION_LOST, Verdict.MAY_HAVE_RUN),
        (FailureKind.TIMEOUT, Verdict.MAY_HAVE_RUN),
        (FailureKind.TRUNCATED, Verdict.MAY_HAVE_RUN),
        (FailureKind.MALFORMED, Verdict.MAY_HAVE_RUN),
    ],
)
def test_failure_says_whether_the_request_was_sent(kind, verdict):
    failure = exchange_failure.ExchangeFailure(kind)
    assert dispatch.classify(failure).verdict is verdict


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
        (Verdict.FAILED, Verdict.NOT_RUN, Verdict.FAILED),
        (Verdict.MAY_HAVE_RUN, Verdict.FAILED, Verdict.FAILED),
        (Verdict.FAILED, Verdict.ANSWERED, Verdict.ANSWERED),
        (Verdict.NOT_RUN, Verdict.NOT_RUN, Verdict.NOT_RUN),
    ],
)
def test_refusal_elsewhere_does_not_make_a_request_not_run(
    first, second, expected
):
    combined = dispatch.combine(
        dispatch.DispatchResult(first, "a"),
        dispatch.DispatchResult(second, "b"),
    )
    assert combined.verdict is expected
