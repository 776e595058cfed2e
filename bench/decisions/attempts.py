"""What the end of a dispatch means to the policy library."""

from __future__ import annotations

from bench.decisions import fake_server
from magnoliacrank.model import verdict
from magnoliacrank.policy import sample

KINDS = {
    None: sample.FailureKind.TIMEOUT,
    fake_server.Status.RESET: sample.FailureKind.RESET,
    fake_server.Status.REFUSED: sample.FailureKind.CONNECT_FAILED,
}
"""Kind of failure by status, where there was no answer."""

STATUSES = {
    fake_server.Status.OK: sample.AnswerStatus.OK,
    fake_server.Status.ERROR: sample.AnswerStatus.ERROR,
    fake_server.Status.SHED: sample.AnswerStatus.SHED,
}
"""Kind of answer by status, where there was one."""

VERDICTS = {
    None: verdict.may_have_run(verdict.Reason.DEADLINE_EXPIRED),
    fake_server.Status.RESET: verdict.may_have_run(
        verdict.Reason.CONNECTION_LOST
    ),
    fake_server.Status.REFUSED: verdict.not_run(verdict.Reason.CONNECT_FAILED),
    fake_server.Status.SHED: verdict.not_run(verdict.Reason.SERVER_REFUSED),
    fake_server.Status.ERROR: verdict.may_have_run(
        verdict.Reason.ANSWER_MALFORMED
    ),
}
"""Verdict on a failed dispatch by status."""
