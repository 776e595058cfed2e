"""RequestCarrier: carries one request to backend servers and its answer back.

Safe requests are repeated within the attempts of their route and the retry
budget; all others only when a server states that it did not run them.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from aiohttp import hdrs
import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import placer
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.model import route_plan
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import repeat_allowance

if TYPE_CHECKING:
    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import entry_state
    from magnoliacrank.policy import version_trial

FailureKind = exchange_failure.FailureKind
Outcome = backend_health.Outcome
Urgency = repeat_allowance.Urgency

_HEDGE_SHARE = 0.5
"""Share of the latency objective after which a safe request is also sent to
a second server."""

_HEDGE_RETRY_S = 0.1
"""Interval at which a second server is looked for after that."""

_ANSWER_GRACE_S = 0.05
"""Time beyond the deadline in which an answer that is ready is still taken."""

_MAX_REFUSALS = 4
"""Servers that may refuse a request before it is given up."""

_REFUSED_RETRY_S = 0.03
"""What a caller is told after servers refused its request although they have
room: another server will hardly be worse, and only the caller may repeat it
without the retry budget."""

_MIN_WAIT_S = 0.06
"""Least time for which a request may wait for a server."""

_NOT_SENT = frozenset(
    {
        FailureKind.CONNECT_FAILED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.POOL_CLOSED,
    }
)
"""Failures after which a request was not sent."""

_CRASHES = frozenset({FailureKind.CONNECTION_LOST})
"""Failures that may mean that a request crashed its server."""


class Verdict(enum.Enum):
    """What is known about the execution of one dispatch."""

    ANSWERED = "answered"
    """A server ran it and its whole answer is here."""

    FAILED = "failed"
    """A server ran it and answered with a failure."""

    NOT_RUN = "not-run"
    """No server ran it."""

    MAY_HAVE_RUN = "may-have-run"
    """It was sent, and nothing certain came back."""


@attrs.frozen
class Dispatch:
    """One dispatch of a request and its end."""

    verdict: Verdict
    """Whether it ran."""

    reason: str
    """Why, for logs and callers."""

    answer: backend_link.WholeAnswer | None = None
    """The answer, where there is one."""


@attrs.frozen
class Result:
    """End of a request."""

    verdict: Verdict
    """Whether any dispatch of it ran, or may have."""

    reason: str
    """Why, for logs and callers."""

    answer: backend_link.WholeAnswer | None = None
    """What the caller gets, where a server answered."""

    retry_after_s: float = 0.0
    """When a caller is to come back, in seconds."""


@attrs.frozen
class Job:
    """A request that is ready to be carried."""

    request_id: str
    """Identity of the caller's attempt."""

    rule: route_plan.RouteRule
    """Its route."""

    service: str
    """Service that runs it."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: tuple[tuple[str, str], ...]
    """Headers that travel on, without deadline and target."""

    body: bytes
    """The whole body."""

    arrived_s: float
    """Clock time at which its head arrived."""

    deadline_s: float
    """Clock time until which its caller waits."""

    fingerprint: str
    """Identity of its content and caller."""

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.rule.kind is route_plan.RequestKind.IDEMPOTENT


class RequestCarrier:
    """Carries one request; used once.

    Args:
        state: Parts of the instance that requests share.
        job: The request.
    """

    def __init__(self, state: entry_state.EntryState, job: Job) -> None:
        self._state = state
        self._job = job
        self._clock = state.clock
        self._tried: set[str] = set()
        self._runs = 0
        self._refusals = 0
        self._may_have_run = False
        self._failed: backend_link.WholeAnswer | None = None
        self._reason = "no-server"
        self._is_expected_new = False

    @property
    def has_been_sent(self) -> bool:
        """Whether a server may have seen the request."""
        return self._runs > 0

    async def carry(self) -> Result:
        """Runs the request to its end."""
        state = self._state
        allowance = state.allowance(self._job.service)
        allowance.on_request(self._clock())
        self._is_expected_new = self._draws_new_version()
        while True:
            result = await self._attempt()
            if result is not None:
                return result
            if not self._may_repeat():
                return self._final()

    async def _attempt(self) -> Result | None:
        """Places and sends the request; None if it may be sent once more."""
        found = await self._place()
        if isinstance(found, placer.Rejection):
            if self.has_been_sent or self._refusals:
                return self._final(found.retry_after_s)
            return Result(
                Verdict.NOT_RUN,
                found.reason.value,
                retry_after_s=found.retry_after_s,
            )
        dispatch = await self._dispatch_hedged(found)
        return self._settle(dispatch)

    def _settle(self, dispatch: Dispatch) -> Result | None:
        self._reason = dispatch.reason
        if dispatch.verdict is Verdict.ANSWERED:
            return Result(Verdict.ANSWERED, dispatch.reason, dispatch.answer)
        if dispatch.verdict is Verdict.FAILED:
            self._failed = dispatch.answer
        elif dispatch.verdict is Verdict.NOT_RUN:
            self._refusals += 1
        else:
            self._may_have_run = True
        return None

    def _may_repeat(self) -> bool:
        job = self._job
        now_s = self._clock()
        ran = self._may_have_run or self._failed is not None
        if ran and not job.is_idempotent:
            return False
        if self._runs >= job.rule.max_attempts and ran:
            return False
        if self._refusals > _MAX_REFUSALS or now_s >= job.deadline_s:
            return False
        if self._state.crashes.is_blocked(job.fingerprint, now_s):
            return False
        return self._take_repeat()

    def _take_repeat(self) -> bool:
        job = self._job
        is_first = job.rule.priority <= self._state.highest_priority
        urgency = Urgency.FIRST if is_first else Urgency.NORMAL
        return self._state.try_repeat(job.service, urgency)

    def _final(self, retry_after_s: float = _REFUSED_RETRY_S) -> Result:
        if self._failed is not None:
            return Result(Verdict.FAILED, self._reason, self._failed)
        if self._may_have_run:
            return Result(Verdict.MAY_HAVE_RUN, self._reason)
        return Result(
            Verdict.NOT_RUN, self._reason, retry_after_s=retry_after_s
        )

    def _draws_new_version(self) -> bool:
        trial = self._state.trials.trial(self._job.service)
        if trial is None:
            return False
        now_s = self._clock()
        crew = len(self._state.roster.whole_crew(now_s))
        return trial.wants_request(now_s, crew)

    async def _place(self) -> backend_table.Backend | placer.Rejection:
        if self._is_expected_new:
            found = await self._state.placer.place(
                self._need(wants_new=True, may_wait=self._is_taking_over())
            )
            if not isinstance(found, placer.Rejection):
                return found
        return await self._state.placer.place(
            self._need(wants_new=False, may_wait=True)
        )

    def _is_taking_over(self) -> bool:
        trial = self._state.trials.trial(self._job.service)
        return trial is not None and trial.is_in_force(self._clock())

    def _need(self, *, wants_new: bool, may_wait: bool) -> placer.Need:
        job = self._job
        now_s = self._clock()
        work_s = self._state.work_s(job.rule)
        give_up_s = job.arrived_s + job.rule.target_latency_s - 1.2 * work_s
        give_up_s = max(give_up_s, now_s + _MIN_WAIT_S)
        give_up_s = min(give_up_s, job.deadline_s - 0.5 * work_s)
        return placer.Need(
            service=job.service,
            priority=job.rule.priority,
            arrived_s=job.arrived_s,
            give_up_s=give_up_s if may_wait else job.arrived_s,
            body_bytes=len(job.body),
            excluded=frozenset(self._tried),
            wants_new=wants_new,
            work_s=work_s,
            objective_s=job.arrived_s + job.rule.target_latency_s,
        )

    async def _dispatch_hedged(
        self, backend: backend_table.Backend
    ) -> Dispatch:
        """Sends the request, and a safe one also elsewhere when it is late."""
        job = self._job
        if not job.is_idempotent or self._runs + 1 >= job.rule.max_attempts:
            return await self._dispatch(backend)
        loop = asyncio.get_running_loop()
        tasks = {loop.create_task(self._dispatch(backend))}
        hedge_s = job.rule.target_latency_s * _HEDGE_SHARE
        try:
            second = None
            while second is None:
                done, _ = await asyncio.wait(tasks, timeout=hedge_s)
                if done:
                    return done.pop().result()
                second = await self._find_second()
                hedge_s = _HEDGE_RETRY_S
            tasks.add(loop.create_task(self._dispatch(second)))
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _find_second(self) -> backend_table.Backend | None:
        if self._clock() >= self._job.deadline_s:
            return None
        if self._state.placer.line(self._job.service).length:
            # Requests that no server has yet go first.
            return None
        found = await self._state.placer.place(
            self._need(wants_new=False, may_wait=False)
        )
        if isinstance(found, placer.Rejection):
            return None
        if not self._state.try_repeat(self._job.service, Urgency.HEDGE):
            self._state.placer.on_finished(found)
            return None
        return found

    async def _dispatch(self, backend: backend_table.Backend) -> Dispatch:
        """Sends the request to one server."""
        state = self._state
        job = self._job
        entry = backend.entry
        sent_s = self._clock()
        self._tried.add(entry.server_id)
        self._runs += 1
        trial = state.trials.trial(job.service)
        is_new = trial is not None and (
            entry.version == trial.order.target_version
        )
        if trial is not None and is_new:
            trial.on_sent()
        outcome: backend_link.WholeAnswer | exchange_failure.ExchangeFailure
        report = backend.report
        slowdown = report.slowdown if report else 1.0
        busy = report.running + backend.sent_since_report if report else 0
        try:
            outcome = await backend.link.exchange(
                self._sendable(backend),
                job.deadline_s - sent_s + _ANSWER_GRACE_S,
            )
        except asyncio.CancelledError:
            # Another server was faster, or the caller left.
            self._learn_pace(backend, self._clock() - sent_s, slowdown, busy)
            raise
        finally:
            state.placer.on_finished(backend)
        dispatch = _judge(outcome)
        if dispatch.verdict is Verdict.NOT_RUN:
            self._runs -= 1
        duration_s = self._clock() - sent_s
        self._learn(backend, dispatch, duration_s, slowdown, busy, outcome)
        if trial is not None and dispatch.verdict is not Verdict.NOT_RUN:
            _teach(trial, job.rule.name, dispatch, duration_s, is_new=is_new)
            if is_new and dispatch.verdict is not Verdict.ANSWERED:
                state.trials.on_failure()
        return dispatch

    def _sendable(
        self, backend: backend_table.Backend
    ) -> backend_link.Sendable:
        job = self._job
        left_s = job.deadline_s - self._clock()
        headers = [
            *job.headers,
            (request_wire.DEADLINE, request_wire.format_deadline(left_s)),
            (request_wire.TARGET, backend.entry.server_id),
        ]
        return backend_link.Sendable(
            outbound_head.OutboundHead(job.method, job.target, headers),
            job.body,
            job.request_id,
        )

    def _learn(
        self,
        backend: backend_table.Backend,
        dispatch: Dispatch,
        duration_s: float,
        slowdown: float,
        busy: int,
        outcome: backend_link.WholeAnswer | exchange_failure.ExchangeFailure,
    ) -> None:
        state = self._state
        job = self._job
        now_s = self._clock()
        backend.health.on_outcome(_OUTCOMES[dispatch.verdict], now_s)
        if dispatch.verdict is Verdict.ANSWERED:
            state.crashes.on_answered(job.fingerprint)
            self._learn_pace(backend, duration_s, slowdown, busy)
            if duration_s > job.rule.target_latency_s:
                self._log_late(backend, duration_s, slowdown)
            state.on_work(job.rule, duration_s / max(slowdown, 1.0))
            return
        if (
            isinstance(outcome, exchange_failure.ExchangeFailure)
            and outcome.kind in _CRASHES
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

    def _log_late(
        self,
        backend: backend_table.Backend,
        duration_s: float,
        slowdown: float,
    ) -> None:
        self._state.log.request(
            "answer late",
            self._job.request_id,
            server=backend.entry.server_id,
            route=self._job.rule.name,
            duration_s=round(duration_s, 4),
            slowdown=slowdown,
            in_flight=backend.in_flight,
            pace=round(backend.health.pace, 2),
        )

    def _learn_pace(
        self,
        backend: backend_table.Backend,
        duration_s: float,
        slowdown: float,
        busy: int,
    ) -> None:
        expected_s = self._state.work_s(self._job.rule) * slowdown
        ratio = duration_s / max(expected_s, 1e-3)
        backend.health.on_duration(ratio)
        crowding = self._state.placer.crowding_of(self._job.service)
        crowding.on_duration(busy, backend.entry.slots, ratio)


_OUTCOMES = {
    Verdict.ANSWERED: Outcome.SUCCEEDED,
    Verdict.FAILED: Outcome.FAILED,
    Verdict.NOT_RUN: Outcome.REFUSED,
    Verdict.MAY_HAVE_RUN: Outcome.FAILED,
}


def _judge(
    outcome: backend_link.WholeAnswer | exchange_failure.ExchangeFailure,
) -> Dispatch:
    """Says what is known after one exchange with a server."""
    if isinstance(outcome, exchange_failure.ExchangeFailure):
        if outcome.kind in _NOT_SENT:
            return Dispatch(Verdict.NOT_RUN, outcome.kind.value)
        return Dispatch(Verdict.MAY_HAVE_RUN, outcome.kind.value)
    status, headers = outcome.status, outcome.headers
    if request_wire.is_not_executed(status, headers):
        return Dispatch(Verdict.NOT_RUN, "server-refused")
    is_intact = (
        request_wire.SIGNATURE in headers
        and hdrs.CONTENT_ENCODING not in headers
    )
    if status in request_wire.PROMISES or not is_intact:
        # Such a status without the statement promises what nobody knows.
        return Dispatch(Verdict.MAY_HAVE_RUN, f"status-{status}-unstated")
    if status >= 500:
        return Dispatch(Verdict.FAILED, f"status-{status}", outcome)
    return Dispatch(Verdict.ANSWERED, f"status-{status}", outcome)


def _teach(
    trial: version_trial.VersionTrial,
    route: str,
    dispatch: Dispatch,
    duration_s: float,
    *,
    is_new: bool,
) -> None:
    trial.on_answer(
        route,
        is_new=is_new,
        failed=dispatch.verdict is not Verdict.ANSWERED,
        duration_s=duration_s,
    )


async def _first_answer(tasks: set[asyncio.Task[Dispatch]]) -> Dispatch:
    """Returns the first answer, or the last failure."""
    while True:
        done, tasks_left = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
        tasks -= done
        for result in results:
            if result.verdict is Verdict.ANSWERED or not tasks_left:
                return result
