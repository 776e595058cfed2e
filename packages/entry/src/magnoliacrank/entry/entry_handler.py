"""EntryHandler: handles callers' requests from arrival to answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import hdrs
import attrs
import msgspec
import xxhash

from magnoliacrank.entry import body_reader
from magnoliacrank.entry import dispatch as dispatches
from magnoliacrank.entry import job as jobs
from magnoliacrank.entry import refusal as refusals
from magnoliacrank.entry import request_carrier
from magnoliacrank.entry import request_trace
from magnoliacrank.gateway import framing
from magnoliacrank.model import route_plan
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import caller_access
from magnoliacrank.policy import transfer_budget

if TYPE_CHECKING:
    from magnoliacrank.entry import entry_state
    from magnoliacrank.entry import site_reader
    from magnoliacrank.entry import site_view
    from magnoliacrank.gateway import inbound_exchange

Verdict = dispatches.Verdict

_CRASH_RETRY_AFTER_S = 5.0
"""Retry delay stated to the caller of a request that crashes servers."""

_UNKNOWN_MAX_AGE_S = 1.0
"""Age of the cached configuration beyond which a request with an unknown route
or API key triggers a read; half of the time within which a new configuration
must be in force."""

_MIN_REMAINING_S = 0.001
"""Least time to the deadline for which a request is still forwarded."""

_REQUEST_HEADER_FILTER = framing.HeaderFilter(
    request_wire.DEADLINE, request_wire.TARGET
)


_UNREAD_GRACE_S = 0.5
"""Time after the deadline of a caller for which its answer is still kept if it
hasn't read all of it."""


@attrs.frozen
class _Admission:
    """Permission to use the route of a request."""

    rule: route_plan.RouteRule
    """The route."""

    grant: caller_access.Grant
    """The caller's permission."""

    deadline_s: float
    """Clock time in seconds at which the request ends in any case."""


class EntryHandler:
    """Request handler of the port for callers.

    Finds the route of a request, reads its body, forwards it to a backend
    server and writes the answer or a refusal.

    Args:
        state: State that all requests of the instance share.
        view: Configuration and registered servers.
        reader: Refreshes the view before a request is routed.
        body_memory_bytes: Maximum number of bytes of request bodies in memory
            at a time.
        answers: Memory limit that all answers share.
    """

    def __init__(
        self,
        state: entry_state.EntryState,
        view: site_view.SiteView,
        reader: site_reader.SiteReader,
        body_memory_bytes: int,
        answers: transfer_budget.TransferBudget,
    ) -> None:
        self._state = state
        self._view = view
        self._reader = reader
        self._bodies = transfer_budget.TransferBudget(body_memory_bytes)
        self._answers = answers
        self._body_reader = body_reader.BodyReader(state)

    def start_draining(self) -> None:
        """Bounds the bodies being read; see `BodyReader.start_draining`."""
        self._body_reader.start_draining()

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Handles one request and writes its answer."""
        arrived_s = self._state.clock()
        trace = request_trace.RequestTrace(arrived_s, self._state.clock)
        await self._reader.refresh_for_request()
        found = await self._admit(exchange, arrived_s)
        if isinstance(found, refusals.Refusal):
            await self._refuse(exchange, found, None, trace)
            return
        reservation = transfer_budget.Reservation(self._bodies)
        try:
            refusal = self._reserve(exchange, found, reservation)
            if refusal is None:
                await self._serve(exchange, found, trace, reservation)
            else:
                await self._refuse(exchange, refusal, found.rule, trace)
        finally:
            reservation.release()

    def _reserve(
        self,
        exchange: inbound_exchange.InboundExchange,
        admission: _Admission,
        reservation: transfer_budget.Reservation,
    ) -> refusals.Refusal | None:
        """Reserves memory for a request and its answer, or refuses it.

        While the instance stops, a request that couldn't be finished is refused
        before its body is read.
        """
        rule = admission.rule
        if not self._state.may_start(rule, admission.deadline_s):
            return refusals.LEAVING
        expected_bytes = self._state.expected_answer_bytes(rule)
        if not self._answers.accepts_request(expected_bytes):
            return refusals.Refusal(
                503, "answer-memory", refusals.UNAVAILABLE_RETRY_AFTER_S
            )
        if not reservation.try_grow(exchange.body_length or 0):
            return refusals.Refusal(
                503, "body-memory", refusals.UNAVAILABLE_RETRY_AFTER_S
            )
        return None

    async def _admit(
        self, exchange: inbound_exchange.InboundExchange, arrived_s: float
    ) -> _Admission | refusals.Refusal:
        found = self._look_up(exchange, arrived_s)
        if isinstance(found, refusals.Refusal):
            # The route or the API key may have been added since the last read.
            await self._reader.refresh(_UNKNOWN_MAX_AGE_S)
            found = self._look_up(exchange, arrived_s)
        return found

    def _look_up(
        self, exchange: inbound_exchange.InboundExchange, arrived_s: float
    ) -> _Admission | refusals.Refusal:
        plan = self._view.plan
        if plan is None:
            return refusals.Refusal(
                503, "no-configuration", refusals.UNAVAILABLE_RETRY_AFTER_S
            )
        host = exchange.headers.get(hdrs.HOST, "").partition(":")[0].lower()
        rule = plan.find_route(host, exchange.path)
        if rule is None:
            return refusals.Refusal(404, "no-route")
        key = request_wire.read_api_key(exchange.headers)
        access = caller_access.decide(plan, rule, key)
        if isinstance(access, caller_access.Denial):
            return refusals.Refusal(refusals.UNAUTHORIZED, access.value)
        timeout_s = rule.timeout_s
        stated_s = request_wire.read_deadline_s(exchange.headers)
        if stated_s is not None:
            timeout_s = min(stated_s, timeout_s)
        return _Admission(rule, access, arrived_s + timeout_s)

    async def _serve(
        self,
        exchange: inbound_exchange.InboundExchange,
        admission: _Admission,
        trace: request_trace.RequestTrace,
        reservation: transfer_budget.Reservation,
    ) -> None:
        rule = admission.rule
        reading = trace.begin(request_trace.Hop.READ)
        plan = self._view.plan
        assert plan is not None, "a route was found"
        body = await self._body_reader.read(
            exchange,
            rule,
            admission.deadline_s,
            plan.limits.max_body_bytes,
            reservation,
        )
        refusal = refusals.of_body(body)
        trace.end(reading, "whole" if refusal is None else refusal.reason)
        if refusal is not None:
            await self._refuse(exchange, refusal, rule, trace)
            return
        assert isinstance(body, bytes)
        job = self._prepare(exchange, admission, body, trace)
        now_s = self._state.clock()
        if job.deadline_s - now_s < _MIN_REMAINING_S:
            refusal = refusals.Refusal(503, "deadline-passed", 0.0)
        elif not self._state.may_start(rule, job.deadline_s):
            refusal = refusals.LEAVING
        elif self._state.crashes.is_blocked(job.fingerprint, now_s):
            refusal = refusals.Refusal(
                503, "crashes-servers", _CRASH_RETRY_AFTER_S
            )
        if refusal is not None:
            await self._refuse(exchange, refusal, rule, trace)
            return
        carrier = request_carrier.RequestCarrier(
            self._state, job, self._answers
        )
        result = await self._carry(exchange, carrier, job)
        if result is None:
            return
        # While a slow caller reads its answer, only that is in memory.
        is_denied = carrier.is_denied
        del carrier, body
        job = attrs.evolve(job, body=b"")
        reservation.release()
        await self._answer(exchange, job, result, is_denied=is_denied)

    def _prepare(
        self,
        exchange: inbound_exchange.InboundExchange,
        admission: _Admission,
        body: bytes,
        trace: request_trace.RequestTrace,
    ) -> jobs.Job:
        rule, grant = admission.rule, admission.grant
        headers = exchange.headers
        stated_s = request_wire.read_deadline_s(headers)
        elapsed_s = 0.0
        if stated_s is not None:
            elapsed_s = self._state.record_timeout(rule, stated_s)
        digest = xxhash.xxh64(f"{exchange.method} {exchange.target}\n".encode())
        digest.update(body)
        forwarded, credentials = request_wire.split_credentials(
            _REQUEST_HEADER_FILTER.apply(headers)
        )
        return jobs.Job(
            request_id=headers.get(request_wire.REQUEST_ID, ""),
            rule=rule,
            service=self._state.choose_service(rule),
            customer=grant.customer,
            priority=grant.priority,
            method=exchange.method,
            target=exchange.target,
            headers=forwarded,
            body=body,
            arrived_s=trace.arrived_s,
            asked_s=trace.arrived_s - elapsed_s,
            deadline_s=admission.deadline_s,
            fingerprint=digest.hexdigest(),
            trace=trace,
            api_key=request_wire.read_api_key(headers),
            credentials=credentials,
        )

    async def _carry(
        self,
        exchange: inbound_exchange.InboundExchange,
        carrier: request_carrier.RequestCarrier,
        job: jobs.Job,
    ) -> request_carrier.RequestResult | None:
        """Forwards a request; returns None if its caller disconnected.

        An at-most-once request that a server may be executing isn't cancelled
        then, but it isn't sent to another one either.
        """
        if exchange.is_caller_gone:
            self._record_caller_left(job)
            return None
        work = asyncio.get_running_loop().create_task(carrier.carry())
        try:
            await asyncio.wait(
                (work, exchange.caller_gone),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done():
                carrier.abandon()
                if carrier.may_be_cancelled:
                    work.cancel()
            result = await work
        except asyncio.CancelledError:
            if not exchange.is_caller_gone:
                raise
            self._record_caller_left(job)
            return None
        return result

    def _record_caller_left(self, job: jobs.Job) -> None:
        self._state.log.request(
            "caller left", job.request_id, spans=job.trace.fields
        )
        self._state.metrics.on_request(job.rule.name, "caller-left", 0.0)

    async def _answer(
        self,
        exchange: inbound_exchange.InboundExchange,
        job: jobs.Job,
        result: request_carrier.RequestResult,
        *,
        is_denied: bool,
    ) -> None:
        answer = result.answer
        if answer is None:
            refusal = refusals.of_result(
                result, job, self._state.clock(), is_denied=is_denied
            )
            if result.verdict is Verdict.NOT_RUN:
                self._state.returns.on_refused(
                    job.fingerprint, self._state.clock()
                )
            if result.decision is not None:
                self._state.metrics.on_rejection(
                    job.service, job.priority, result.decision.cause_code
                )
            await self._refuse(exchange, refusal, job.rule, job.trace)
            return
        duration_s = self._state.clock() - job.arrived_s
        outcome = result.verdict.value
        self._state.metrics.on_request(job.rule.name, outcome, duration_s)
        if result.verdict is Verdict.ANSWERED:
            self._log_answer(job, answer.status, duration_s)
        length = len(answer.content)
        if exchange.method == hdrs.METH_HEAD:
            length = int(answer.headers.get(hdrs.CONTENT_LENGTH, "0"))
        fields = framing.end_to_end(answer.headers)
        exchange.start_answer(answer.status, fields, length)
        self._answers.hold(length)
        try:
            async with asyncio.timeout(self._reading_time_s(exchange, job)):
                await exchange.write(answer.content)
                await exchange.finish()
        except TimeoutError:
            exchange.abort()
            self._state.log.request(
                "answer unread", job.request_id, route=job.rule.name
            )
        finally:
            self._answers.release(length)

    def _reading_time_s(
        self, exchange: inbound_exchange.InboundExchange, job: jobs.Job
    ) -> float | None:
        """Returns how long the caller may take to read its answer, in seconds.

        None if the caller states no deadline; then only the write timeout of
        its connection holds.
        """
        stated_s = request_wire.read_deadline_s(exchange.headers)
        if stated_s is None:
            return None
        left_s = job.arrived_s + stated_s - self._state.clock()
        return max(left_s, 0.0) + _UNREAD_GRACE_S

    def _log_answer(
        self, job: jobs.Job, status: int, duration_s: float
    ) -> None:
        log = self._state.log
        is_late = duration_s > job.rule.target_latency_s
        if not is_late and not log.is_sampled(job.request_id):
            return
        log.request(
            "answer late" if is_late else "request answered",
            job.request_id,
            route=job.rule.name,
            status=status,
            duration_s=round(duration_s, 4),
            spans=job.trace.fields,
        )

    async def _refuse(
        self,
        exchange: inbound_exchange.InboundExchange,
        refusal: refusals.Refusal,
        rule: route_plan.RouteRule | None,
        trace: request_trace.RequestTrace,
    ) -> None:
        state = self._state
        duration_s = state.clock() - trace.arrived_s
        route = "" if rule is None else rule.name
        state.metrics.on_refusal(refusal.reason)
        if rule is not None:
            state.on_refused(rule)
        state.metrics.on_request(route, str(refusal.status), duration_s)
        state.log.request(
            "request refused",
            exchange.headers.get(request_wire.REQUEST_ID, ""),
            route=route,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            duration_s=round(duration_s, 4),
            **refusal.fields,
            spans=trace.fields,
        )
        fields = [("Content-Type", "application/json")]
        if refusal.status == refusals.UNAUTHORIZED:
            fields.append(request_wire.CHALLENGE)
        if refusal.retry_after_s is not None:
            value = f"{refusal.retry_after_s:.3f}"
            fields.append((request_wire.RETRY_AFTER, value))
        content = msgspec.json.encode({"reason": refusal.reason})
        await exchange.answer(refusal.status, fields, content)
