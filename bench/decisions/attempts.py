"""Maps the outcome of a simulated dispatch to terms of the policy library.

The status None stands for a dispatch without an answer by the deadline.
"""

from __future__ import annotations

from bench.decisions import fake_server
from magnoliacrank.model import verdict
from magnoliacrank.policy import sample

FAILURE_KINDS = {
    None: sample.FailureKind.TIMEOUT,
    fake_server.Status.RESET: sample.FailureKind.RESET,
    fake_server.Status.REFUSED: sample.FailureKind.CONNECT_FAILED,
}
"""Failure kind by status, for dispatches that ended without an answer."""

ANSWER_STATUSES = {
    fake_server.Status.OK: sample.AnswerStatus.OK,
    fake_server.Status.ERROR: sample.AnswerStatus.ERROR,
    fake_server.Status.SHED: sample.AnswerStatus.SHED,
}
"""The policy's `AnswerStatus` by status of the fake server, for dispatches that
were answered."""

FAILURE_VERDICTS = {
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
"""Verdict by status for failed dispatches: whether the call may have run."""
