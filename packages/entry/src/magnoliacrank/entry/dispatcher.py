"""Dispatcher: sends a request to a backend server and records the outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import dispatch as dispatches
from magnoliacrank.entry import request_trace
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import version_trial

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import entry_state
    from magnoliacrank.entry import job as jobs
    from magnoliacrank.policy import caller_access

    ExchangeResult = backend_link.WholeAnswer | exchange_failure.ExchangeFailure

FailureKind = exchange_failure.FailureKind
Outcome = backend_health.Outcome
Verdict = dispatches.Verdict

_ANSWER_GRACE_S = 0.05
"""Time after the deadline for which a late answer is still accepted."""

_CRASH_FAILURES = frozenset({FailureKind.CONNECTION_LOST})
"""Failures that count as a possible crash of the server by the request."""

_OUTCOMES = {
    Verdict.ANSWERED: Outcome.SUCCEEDED,
    Verdict.FAILED: Outcome.FAILED,
    Verdict.NOT_RUN: Outcome.REFUSED,
    Verdict.MAY_HAVE_RUN: Outcome.FAILED,
}


class Dispatcher:
    """Sends one request to backend servers and records each outcome.

    Updates the health and pace of the server, the crash counts of the request
    and the evidence of a rollout. For a hedged request, `send` runs
    concurrently for two servers.

    Args:
        state: State that all requests of the instance share.
        job: The request.
        on_sending: Called right before the request is written to a server.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        job: jobs.Job,
        on_sending: Callable[[], None],
    ) -> None:
        self._state = state
        self._job = job
        self._on_sending = on_sending
        self._clock = state.clock

    async def send(
        self,
        backend: backend_table.Backend,
        grant: caller_access.Grant,
        load_test: int | None = None,
    ) -> dispatches.DispatchResult:
        """Sends the request to one backend server and returns the outcome.

        Args:
            backend: The server.
            grant: The caller's permission by the configuration in force.
            load_test: Number of the load test of a new version that the
                request is part of, or None.
        """
        state = self._state
        job = self._job
        entry = backend.entry
        sent_s = self._clock()
        trial = state.trials.trial(job.service)
        is_new = trial is not None and (
            entry.version == trial.order.target_version
        )
        if trial is not None and is_new:
            trial.on_sent(job.rule.name)
        choice = _describe_choice(backend, sent_s)
        span = job.trace.begin(request_trace.Hop.DISPATCH, choice)
        usage_window = state.usage.add(grant.customer)
        outcome: ExchangeResult
        try:
            outcome = await backend.link.exchange(
                self._outbound_request(backend, grant),
                job.deadline_s - sent_s + _ANSWER_GRACE_S,
            )
        except asyncio.CancelledError:
            # The other server of a hedged request answered first, or the
            # caller disconnected.
            job.trace.end(span, "cancelled")
            self._record_duration(backend, self._clock() - sent_s, choice)
            raise
        dispatch = dispatches.classify(outcome)
        job.trace.end(span, dispatch.reason)
        if dispatch.verdict is Verdict.NOT_RUN:
            state.usage.withdraw(grant.customer, usage_window)
        if (
            isinstance(outcome, backend_link.WholeAnswer)
            and outcome.status != request_wire.MISDIRECTED
        ):
            backend.on_answer(
                outcome.headers,
                was_run=dispatch.verdict is not Verdict.NOT_RUN,
                now_s=self._clock(),
            )
        duration_s = self._clock() - sent_s
        self._record_result(backend, dispatch, duration_s, choice, outcome)
        if trial is not None and dispatch.verdict is not Verdict.NOT_RUN:
            _add_trial_evidence(
                trial,
                job.rule.name,
                dispatch,
                duration_s,
                is_new=is_new,
                load_test=load_test if is_new else None,
                is_busy=version_trial.is_busy(choice.busy + 1, entry.slots),
            )
            if is_new and dispatch.verdict is not Verdict.ANSWERED:
                state.trials.on_failure()
        return dispatch

    def on_overtaken(
        self, backend: backend_table.Backend, load_test: int | None
    ) -> None:
        """Counts a request whose copy was answered sooner by another server.

        Its duration stays unknown, so it counts as a failure of its version;
        without that, a slow version would be judged by its fast answers only.

        Args:
            backend: The server that the request was sent to first.
            load_test: Number of the load test that the request is part of, or
                None.
        """
        job = self._job
        trial = self._state.trials.trial(job.service)
        if trial is None:
            return
        is_new = backend.entry.version == trial.order.target_version
        if is_new and load_test not in (None, version_trial.TAKEOVER):
            # A busy server may be slower without being faulty.
            return
        trial.on_answer(
            job.rule.name, is_new=is_new, failed=True, duration_s=0.0
        )

    def _outbound_request(
        self, backend: backend_table.Backend, grant: caller_access.Grant
    ) -> backend_link.OutboundRequest:
        job = self._job
        left_s = job.deadline_s - self._clock()
        headers = [
            *job.headers,
            *self._identity_headers(grant),
            (request_wire.DEADLINE, request_wire.format_deadline(left_s)),
            (request_wire.TARGET, backend.entry.server_id),
        ]
        return backend_link.OutboundRequest(
            outbound_head.OutboundHead(job.method, job.target, headers),
            job.body,
            job.request_id,
            is_idempotent=job.is_idempotent,
            on_sending=self._on_sending,
        )

    def _identity_headers(
        self, grant: caller_access.Grant
    ) -> tuple[tuple[str, str], ...]:
        """Returns the headers that tell the server who the caller is."""
        if grant.forwards_credentials:
            return self._job.credentials
        if not grant.customer:
            return ()
        return ((request_wire.CUSTOMER, grant.customer),)

    def _record_result(
        self,
        backend: backend_table.Backend,
        dispatch: dispatches.DispatchResult,
        duration_s: float,
        choice: request_trace.ChosenServer,
        outcome: ExchangeResult,
    ) -> None:
        state = self._state
        job = self._job
        now_s = self._clock()
        backend.health.on_outcome(_OUTCOMES[dispatch.verdict], now_s)
        if dispatch.verdict is Verdict.ANSWERED:
            state.crashes.on_answered(job.fingerprint)
            self._record_duration(backend, duration_s, choice)
            state.on_work_duration(
                job.rule, duration_s / max(choice.slowdown, 1.0)
            )
            if dispatch.answer is not None:
                state.on_answer_size(job.rule, len(dispatch.answer.content))
            return
        if (
            isinstance(outcome, exchange_failure.ExchangeFailure)
            and outcome.kind in _CRASH_FAILURES
        ):
            state.crashes.on_crash(job.fingerprint, now_s)
        state.log.request(
            "dispatch failed",
            job.request_id,
            server=backend.entry.server_id,
            verdict=dispatch.verdict.value,
            reason=dispatch.reason,
            duration_s=round(duration_s, 4),
            route=job.rule.name,
        )

    def _record_duration(
        self,
        backend: backend_table.Backend,
        duration_s: float,
        choice: request_trace.ChosenServer,
    ) -> None:
        expected_s = self._state.work_s(self._job.rule) * choice.slowdown
        ratio = duration_s / max(expected_s, 1e-3)
        backend.health.on_duration(ratio)
        crowding = self._state.placer.crowding_of(self._job.service)
        crowding.on_duration(choice.busy, backend.entry.slots, ratio)


def _describe_choice(
    backend: backend_table.Backend, now_s: float
) -> request_trace.ChosenServer:
    report = backend.report
    slowdown, busy = 1.0, 0
    if report is not None:
        slowdown = report.slowdown
        busy = report.running + backend.sent_since_report
    return request_trace.ChosenServer(
        server_id=backend.entry.server_id,
        slowdown=slowdown,
        busy=busy,
        duration_ratio=backend.health.duration_ratio,
        report_age_s=now_s - backend.report_received_s,
    )


def _add_trial_evidence(
    trial: version_trial.VersionTrial,
    route: str,
    dispatch: dispatches.DispatchResult,
    duration_s: float,
    *,
    is_new: bool,
    load_test: int | None,
    is_busy: bool,
) -> None:
    """Counts the outcome of a request as evidence of its version.

    Answers of busy servers in load tests count apart from the others, unless
    time ran out: a busy server may be slower without being faulty.
    """
    failed = dispatch.verdict is not Verdict.ANSWERED
    is_takeover = load_test == version_trial.TAKEOVER
    if load_test is not None and (is_busy or is_takeover):
        if not dispatch.is_timeout:
            trial.on_load_test_answer(load_test, failed=failed)
        if not is_takeover:
            return
    trial.on_answer(route, is_new=is_new, failed=failed, duration_s=duration_s)
