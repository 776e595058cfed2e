"""RequestCarrier: forwards one request, with retries and hedging.

Idempotent requests are retried within the attempts of their route and the
retry budget. All others are retried only while no server can have run them:
servers refused them, or they could not be sent.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import dispatch as dispatches
from magnoliacrank.entry import dispatcher
from magnoliacrank.entry import placement_request as placement_requests
from magnoliacrank.entry import refusal as refusals
from magnoliacrank.entry import request_trace
from magnoliacrank.policy import caller_access
from magnoliacrank.policy import repeat_budget
from magnoliacrank.policy import version_trial
from magnoliacrank.policy import wait_policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import entry_state
    from magnoliacrank.entry import job as jobs
    from magnoliacrank.policy import transfer_budget

Verdict = dispatches.Verdict
Urgency = repeat_budget.Urgency

_HEDGE_DELAY_SHARE = 0.5
"""Delay before an idempotent request is hedged, that is, also sent to a second
server; a share of the latency objective."""

_HEDGE_RETRY_S = 0.1
"""Interval between attempts to find a second server after that delay."""

_MAX_REFUSALS = 4
"""Attempts without execution (refused by a server, or not sent) after which a
request is still retried; one more ends it."""

_REFUSED_RETRY_AFTER_S = 0.03
"""Retry delay stated to the caller after servers with free slots refused its
request. It is short because another server is unlikely to be worse, and only
the caller can retry without using the retry budget."""

_MIN_WAIT_S = 0.06
"""Least time for which a request may wait for a server, unless its deadline
is earlier."""


@attrs.frozen
class RequestResult:
    """Final outcome of a request after all dispatches."""

    verdict: Verdict
    """Whether the request was executed by any server, or may have been."""

    reason: str
    """Short code of the cause, for log lines and refusals."""

    answer: backend_link.WholeAnswer | None = None
    """Answer to pass to the caller; None if no server gave one."""

    retry_after_s: float = 0.0
    """Seconds after which the caller should retry."""

    decision: wait_policy.Decision | None = None
    """What decided on its last placement, if that was rejected."""

    end: str = ""
    """Short code of why it isn't sent to another server; empty if it was
    answered or never sent."""


class RequestCarrier:
    """Forwards one request to backend servers; an object serves one request.

    Args:
        state: State that all requests of the instance share.
        job: The request.
        answers: Memory limit that all answers share.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        job: jobs.Job,
        answers: transfer_budget.TransferBudget,
    ) -> None:
        self._state = state
        self._job = job
        self._answers = answers
        self._dispatcher = dispatcher.Dispatcher(state, job, self._on_sending)
        self._clock = state.clock
        self._tried_server_ids: set[str] = set()
        self._sent_count = 0
        self._is_at_server = False
        self._is_abandoned = False
        self._is_denied = False
        self._refusals = 0
        self._may_have_run = False
        self._failure_answer: backend_link.WholeAnswer | None = None
        self._reason = "no-server"
        self._end = ""
        self._to_new_version = False
        self._load_test: int | None = None
        self._has_returned = False

    @property
    def is_denied(self) -> bool:
        """Whether the caller had lost its access at the latest decision.

        A new configuration may have removed its API key while the request
        waited.
        """
        return self._is_denied

    @property
    def may_be_cancelled(self) -> bool:
        """Whether the request can be ended without aborting work halfway.

        An at-most-once request can't be while a server may be executing it:
        finishing its work is better. Before it is written to a server, and
        after a server refused it, it can be.
        """
        return self._job.is_idempotent or not self._is_at_server

    @property
    def _has_been_sent(self) -> bool:
        """Whether a server was chosen that hasn't refused the request.

        Attempts that a server refused or that were not sent don't count.
        """
        return self._sent_count > 0

    def abandon(self) -> None:
        """Prevents further attempts: nobody waits for the answer anymore."""
        self._is_abandoned = True

    async def carry(self) -> RequestResult:
        """Forwards the request, with retries, and returns the final result."""
        state = self._state
        allowance = state.allowance(self._job.service)
        allowance.on_request(self._clock(), self._job.priority)
        self._has_returned = self._job.asked_s < self._job.arrived_s
        if state.returns.take(self._job.fingerprint, self._clock()):
            self._has_returned = True
        state.load_meter.on_arrival(
            self._job.service, state.work_s(self._job.rule), self._clock()
        )
        self._to_new_version = self._chooses_new_version()
        while True:
            result = await self._attempt()
            if result is not None:
                return result
            if not self._may_retry():
                return self._final_result()

    async def _attempt(self) -> RequestResult | None:
        """Places and sends the request; returns None if a retry may help."""
        trace = self._job.trace
        placing = trace.begin(request_trace.Hop.PLACE)
        found = await self._place()
        if isinstance(found, placement_requests.Rejection):
            trace.end(placing, found.reason.value)
            self._state.load_meter.on_rejected(self._job.service, self._clock())
            self._end = found.reason.value
            if self._has_been_sent or self._refusals:
                return self._final_result(found.retry_after_s, found.decision)
            return RequestResult(
                Verdict.NOT_RUN,
                found.reason.value,
                retry_after_s=found.retry_after_s,
                decision=found.decision,
            )
        if not self._state.may_start(self._job.rule, self._job.deadline_s):
            # This instance began to stop while the request waited.
            trace.end(placing, refusals.LEAVING.reason)
            self._on_finished(found)
            self._reason = self._end = refusals.LEAVING.reason
            return self._final_result(retry_after_s=0.0)
        trace.end(placing, "found")
        self._state.load_meter.on_placed(self._job.service, self._clock())
        dispatch = await self._dispatch_hedged(found)
        return self._record_dispatch(dispatch)

    def _record_dispatch(
        self, dispatch: dispatches.DispatchResult
    ) -> RequestResult | None:
        self._reason = dispatch.reason
        # A retry goes to the version that is known to work.
        self._to_new_version = False
        if dispatch.verdict is Verdict.ANSWERED:
            return RequestResult(
                Verdict.ANSWERED, dispatch.reason, dispatch.answer
            )
        if dispatch.verdict is Verdict.FAILED:
            self._failure_answer = dispatch.answer
        elif dispatch.verdict is Verdict.NOT_RUN:
            self._refusals += 1
        else:
            self._may_have_run = True
        return None

    def _may_retry(self) -> bool:
        job = self._job
        if self._check_access() is None:
            return False
        now_s = self._clock()
        ran = self._may_have_run or self._failure_answer is not None
        obstacles = {
            "caller-left": self._is_abandoned,
            "not-idempotent": ran and not job.is_idempotent,
            "attempts": ran and self._sent_count >= job.rule.max_attempts,
            "refusals": self._refusals > _MAX_REFUSALS,
            "deadline": now_s >= job.deadline_s,
            refusals.LEAVING.reason: not self._state.may_start(
                job.rule, job.deadline_s
            ),
            "crashes-servers": self._state.crashes.is_blocked(
                job.fingerprint, now_s
            ),
        }
        ends = [end for end, applies in obstacles.items() if applies]
        if not ends and not self._take_retry():
            ends = ["retry-budget"]
        self._end = ends[0] if ends else ""
        return not ends

    def _check_access(self) -> caller_access.Grant | None:
        """Decides access anew, since the configuration may have changed.

        Returns:
            The permission, or None if it was withdrawn.
        """
        access = self._state.access(self._job.rule, self._job.api_key)
        self._is_denied = isinstance(access, caller_access.Denial)
        if isinstance(access, caller_access.Grant):
            return access
        self._reason = access.value
        return None

    def _take_retry(self) -> bool:
        job = self._job
        now_s = self._clock()
        urgency = Urgency.NORMAL
        if now_s + self._state.work_s(job.rule) > job.objective_s:
            urgency = Urgency.LATE
        elif self._has_returned:
            urgency = Urgency.RETURNED
        return self._state.try_retry(job.service, urgency, job.priority)

    def _final_result(
        self,
        retry_after_s: float = _REFUSED_RETRY_AFTER_S,
        decision: wait_policy.Decision | None = None,
    ) -> RequestResult:
        if self._failure_answer is not None:
            return RequestResult(
                Verdict.FAILED,
                self._reason,
                self._failure_answer,
                end=self._end,
            )
        if self._may_have_run:
            return RequestResult(
                Verdict.MAY_HAVE_RUN, self._reason, end=self._end
            )
        return RequestResult(
            Verdict.NOT_RUN,
            self._reason,
            retry_after_s=retry_after_s,
            decision=decision,
            end=self._end,
        )

    def _chooses_new_version(self) -> bool:
        trial = self._state.trials.trial(self._job.service)
        if trial is None:
            return False
        now_s = self._clock()
        crew = len(self._state.roster.all_crews(now_s))
        self._load_test = trial.load_test(now_s)
        return trial.wants_request(now_s, crew, self._job.rule.name)

    async def _place(
        self,
    ) -> backend_table.Backend | placement_requests.Rejection:
        if self._to_new_version:
            found = await self._state.placer.place(self._trial_request())
            if not isinstance(found, placement_requests.Rejection):
                return found
            self._to_new_version = False
        return await self._state.placer.place(
            self._placement_request(wants_new_version=False, may_wait=True)
        )

    def _trial_request(self) -> placement_requests.PlacementRequest:
        """Returns the placement of a request that goes to the new version."""
        trial = self._state.trials.trial(self._job.service)
        number = self._load_test
        order = None
        if trial is not None and number not in (None, version_trial.TAKEOVER):
            order = functools.partial(trial.load_test_order, number)
        return self._placement_request(
            wants_new_version=True,
            may_wait=number == version_trial.TAKEOVER,
            server_order=order,
        )

    def _placement_request(
        self,
        *,
        wants_new_version: bool,
        may_wait: bool,
        server_order: Callable[[str], int] | None = None,
    ) -> placement_requests.PlacementRequest:
        job = self._job
        now_s = self._clock()
        work_s = self._state.work_s(job.rule)
        wait_deadline_s = job.objective_s - 1.2 * work_s
        wait_deadline_s = max(wait_deadline_s, now_s + _MIN_WAIT_S)
        wait_deadline_s = min(
            wait_deadline_s,
            job.deadline_s - 0.5 * work_s,
            self._state.latest_start_s(job.rule, job.deadline_s),
        )
        return placement_requests.PlacementRequest(
            service=job.service,
            customer=job.customer,
            priority=job.priority,
            asked_s=job.asked_s,
            wait_deadline_s=wait_deadline_s,
            may_wait=may_wait,
            body_bytes=len(job.body),
            transfer_bytes=len(job.body)
            + self._state.expected_answer_bytes(job.rule),
            excluded=frozenset(self._tried_server_ids),
            wants_new_version=wants_new_version,
            work_s=work_s,
            objective_s=job.objective_s,
            deadline_s=job.deadline_s,
            server_order=server_order,
        )

    async def _dispatch_hedged(
        self, backend: backend_table.Backend
    ) -> dispatches.DispatchResult:
        """Sends the request; hedges an idempotent one that is late.

        The last of the attempts that the route allows is not hedged.
        """
        job = self._job
        if (
            not job.is_idempotent
            or self._sent_count + 1 >= job.rule.max_attempts
        ):
            try:
                return await self._send(backend)
            finally:
                self._on_finished(backend)
        first = self._start_sending(backend)
        tasks = {first}
        hedge_s = job.rule.target_latency_s * _HEDGE_DELAY_SHARE
        try:
            hedge_backend = None
            while hedge_backend is None:
                done, _ = await asyncio.wait(tasks, timeout=hedge_s)
                if done:
                    return done.pop().result()
                hedge_backend = await self._find_hedge_backend()
                hedge_s = _HEDGE_RETRY_S
            tasks.add(self._start_sending(hedge_backend))
            result = await _first_answer(tasks)
            if not first.done():
                self._dispatcher.on_overtaken(backend, self._load_test)
            return result
        finally:
            for task in tasks:
                task.cancel()

    def _start_sending(
        self, backend: backend_table.Backend
    ) -> asyncio.Task[dispatches.DispatchResult]:
        """Starts a task that sends the request.

        A callback releases the server: a task that is cancelled before its
        first step runs none of its code, so a `finally` block would not run.
        """
        task = asyncio.get_running_loop().create_task(self._send(backend))
        task.add_done_callback(lambda _: self._on_finished(backend))
        return task

    def _on_finished(self, backend: backend_table.Backend) -> None:
        self._state.placer.on_finished(backend, len(self._job.body))

    async def _send(
        self, backend: backend_table.Backend
    ) -> dispatches.DispatchResult:
        """Sends the request to one server; counts it if it may have run."""
        grant = self._check_access()
        if grant is None:
            return dispatches.DispatchResult(Verdict.NOT_RUN, self._reason)
        self._tried_server_ids.add(backend.entry.server_id)
        self._sent_count += 1
        dispatch = await self._dispatcher.send(backend, grant, self._load_test)
        if dispatch.verdict is Verdict.NOT_RUN:
            self._sent_count -= 1
            self._is_at_server = False
        return dispatch

    def _on_sending(self) -> None:
        self._is_at_server = True

    async def _find_hedge_backend(self) -> backend_table.Backend | None:
        if self._clock() >= self._job.deadline_s:
            return None
        if self._check_access() is None:
            return None
        if not self._state.may_start(self._job.rule, self._job.deadline_s):
            return None
        expected_bytes = self._state.expected_answer_bytes(self._job.rule)
        if not self._answers.accepts_request(expected_bytes):
            # The second of two large answers would take the memory of others.
            return None
        if self._state.placer.queue(self._job.service).length:
            # Requests that have no server yet take precedence over hedges.
            return None
        found = await self._state.placer.place(
            self._placement_request(wants_new_version=False, may_wait=False)
        )
        if isinstance(found, placement_requests.Rejection):
            return None
        if not self._state.try_retry(
            self._job.service, Urgency.HEDGE, self._job.priority
        ):
            self._on_finished(found)
            return None
        return found


async def _first_answer(
    tasks: set[asyncio.Task[dispatches.DispatchResult]],
) -> dispatches.DispatchResult:
    """Returns the first answered result, or the combined result of all."""
    found: dispatches.DispatchResult | None = None
    while tasks:
        done, pending = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        tasks -= done
        for task in done:
            result = task.result()
            found = (
                result if found is None else dispatches.combine(found, result)
            )
        if found is not None and found.verdict is Verdict.ANSWERED:
            return found
        tasks = pending
    assert found is not None, "at least one task was given"
    return found
