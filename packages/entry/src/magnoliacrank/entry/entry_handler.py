"""EntryHandler: handles callers' requests from arrival to answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import hdrs
import attrs
import msgspec
import xxhash

from magnoliacrank.entry import dispatch as dispatches
from magnoliacrank.entry import job as jobs
from magnoliacrank.entry import request_carrier
from magnoliacrank.entry import request_trace
from magnoliacrank.gateway import body as bodies
from magnoliacrank.gateway import framing
from magnoliacrank.model import route_plan
from magnoliacrank.platform import request_wire
from magnoliacrank.policy import caller_access

if TYPE_CHECKING:
    from magnoliacrank.entry import entry_state
    from magnoliacrank.entry import site_reader
    from magnoliacrank.entry import site_view
    from magnoliacrank.gateway import answer_memory
    from magnoliacrank.gateway import inbound_exchange

Verdict = dispatches.Verdict

_UNAVAILABLE_RETRY_AFTER_S = 0.5
"""Retry delay stated to callers while the configuration is not known or the
memory for bodies is used up."""

_CRASH_RETRY_AFTER_S = 5.0
"""Retry delay stated to the caller of a request that crashes servers."""

_UNKNOWN_MAX_AGE_S = 1.0
"""Age of the cached configuration beyond which a request with an unknown route
or API key triggers a read; half of the time within which a new configuration
must be in force."""

_UNAUTHORIZED = 401

_MIN_REMAINING_S = 0.001
"""Least time to the deadline for which a request is still forwarded."""

_REQUEST_HEADER_FILTER = framing.HeaderFilter(
    request_wire.DEADLINE, request_wire.TARGET
)


@attrs.frozen
class _Refusal:
    """An error answer that this instance generates itself."""

    status: int
    reason: str
    retry_after_s: float | None = None
    fields: dict[str, Any] = attrs.field(factory=dict)
    """Further fields of its log line."""


_Admission = tuple[route_plan.RouteRule, caller_access.Grant]
"""Route of a request and the permission to use it."""


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
        answers: answer_memory.AnswerMemory,
    ) -> None:
        self._state = state
        self._view = view
        self._reader = reader
        self._body_memory_bytes = body_memory_bytes
        self._answers = answers
        self._body_bytes = 0

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Handles one request and writes its answer."""
        arrived_s = self._state.clock()
        trace = request_trace.RequestTrace(arrived_s, self._state.clock)
        await self._reader.refresh_for_request()
        found = await self._admit(exchange)
        if isinstance(found, _Refusal):
            await self._refuse(exchange, found, None, trace)
            return
        rule, grant = found
        size = exchange.body_length or 0
        if self._body_bytes + size > self._body_memory_bytes:
            refusal = _Refusal(503, "body-memory", _UNAVAILABLE_RETRY_AFTER_S)
            await self._refuse(exchange, refusal, rule, trace)
            return
        self._body_bytes += size
        try:
            await self._serve(exchange, rule, grant, trace, size)
        finally:
            self._body_bytes -= size

    async def _admit(
        self, exchange: inbound_exchange.InboundExchange
    ) -> _Admission | _Refusal:
        found = self._look_up(exchange)
        if isinstance(found, _Refusal):
            # The route or the API key may have been added since the last read.
            await self._reader.refresh(_UNKNOWN_MAX_AGE_S)
            found = self._look_up(exchange)
        return found

    def _look_up(
        self, exchange: inbound_exchange.InboundExchange
    ) -> _Admission | _Refusal:
        plan = self._view.plan
        if plan is None:
            return _Refusal(503, "no-configuration", _UNAVAILABLE_RETRY_AFTER_S)
        host = exchange.headers.get(hdrs.HOST, "").partition(":")[0].lower()
        rule = plan.find_route(host, exchange.path)
        if rule is None:
            return _Refusal(404, "no-route")
        key = request_wire.read_api_key(exchange.headers)
        access = caller_access.decide(plan, rule, key)
        if isinstance(access, caller_access.Denial):
            return _Refusal(_UNAUTHORIZED, access.value)
        return rule, access

    async def _serve(
        self,
        exchange: inbound_exchange.InboundExchange,
        rule: route_plan.RouteRule,
        grant: caller_access.Grant,
        trace: request_trace.RequestTrace,
        stated_bytes: int,
    ) -> None:
        plan = self._view.plan
        assert plan is not None, "a route was found"
        available_bytes = (
            self._body_memory_bytes - self._body_bytes + stated_bytes
        )
        limit = min(plan.limits.max_body_bytes, available_bytes)
        reading = trace.begin(request_trace.Hop.READ)
        body = await exchange.read_body(limit)
        refusal = _check_body(body, is_short_of_memory=limit == available_bytes)
        trace.end(reading, "whole" if refusal is None else refusal.reason)
        if refusal is not None:
            await self._refuse(exchange, refusal, rule, trace)
            return
        assert isinstance(body, bytes)
        job = self._prepare(exchange, rule, grant, body, trace)
        now_s = self._state.clock()
        if job.deadline_s - now_s < _MIN_REMAINING_S:
            refusal = _Refusal(503, "deadline-passed", 0.0)
        elif self._state.crashes.is_blocked(job.fingerprint, now_s):
            refusal = _Refusal(503, "crashes-servers", _CRASH_RETRY_AFTER_S)
        if refusal is not None:
            await self._refuse(exchange, refusal, rule, trace)
            return
        carrier = request_carrier.RequestCarrier(self._state, job)
        result = await self._carry(exchange, carrier, job)
        if result is not None:
            await self._answer(exchange, carrier, job, result)

    def _prepare(
        self,
        exchange: inbound_exchange.InboundExchange,
        rule: route_plan.RouteRule,
        grant: caller_access.Grant,
        body: bytes,
        trace: request_trace.RequestTrace,
    ) -> jobs.Job:
        headers = exchange.headers
        caller_timeout_s = request_wire.read_deadline_s(headers)
        elapsed_s = 0.0
        if caller_timeout_s is not None:
            elapsed_s = self._state.record_timeout(rule, caller_timeout_s)
        if caller_timeout_s is None or caller_timeout_s > rule.timeout_s:
            caller_timeout_s = rule.timeout_s
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
            deadline_s=trace.arrived_s + caller_timeout_s,
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

        An at-most-once request that was already sent is not cancelled when
        its caller disconnects: finishing its work is better than aborting it
        halfway.
        """
        work = asyncio.get_running_loop().create_task(carrier.carry())
        try:
            await asyncio.wait(
                (work, exchange.caller_gone),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done() and not (
                carrier.has_been_sent and not job.is_idempotent
            ):
                work.cancel()
            result = await work
        except asyncio.CancelledError:
            if not exchange.is_caller_gone:
                raise
            self._state.log.request(
                "caller left", job.request_id, spans=job.trace.fields
            )
            self._state.metrics.on_request(job.rule.name, "caller-left", 0.0)
            return None
        return result

    async def _answer(
        self,
        exchange: inbound_exchange.InboundExchange,
        carrier: request_carrier.RequestCarrier,
        job: jobs.Job,
        result: request_carrier.RequestResult,
    ) -> None:
        answer = result.answer
        if answer is None:
            refusal = _to_refusal(
                result, job, self._state.clock(), is_denied=carrier.is_denied
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
            await exchange.write(answer.content)
            await exchange.finish()
        finally:
            self._answers.release(length)

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
        refusal: _Refusal,
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
        if refusal.status == _UNAUTHORIZED:
            fields.append(request_wire.CHALLENGE)
        if refusal.retry_after_s is not None:
            value = f"{refusal.retry_after_s:.3f}"
            fields.append((request_wire.RETRY_AFTER, value))
        content = msgspec.json.encode({"reason": refusal.reason})
        await exchange.answer(refusal.status, fields, content)


def _check_body(
    body: bytes | bodies.BodyTooLarge | bodies.BodyFailure,
    *,
    is_short_of_memory: bool,
) -> _Refusal | None:
    if isinstance(body, bodies.BodyTooLarge):
        if is_short_of_memory:
            return _Refusal(503, "body-memory", _UNAVAILABLE_RETRY_AFTER_S)
        return _Refusal(413, "body-too-large")
    if isinstance(body, bodies.BodyFailure):
        return _Refusal(body.status, body.kind.value)
    return None


def _to_refusal(
    result: request_carrier.RequestResult,
    job: jobs.Job,
    now_s: float,
    *,
    is_denied: bool,
) -> _Refusal:
    shown = _decision_fields(result, job)
    if result.verdict is Verdict.NOT_RUN:
        if is_denied:
            return _Refusal(_UNAUTHORIZED, result.reason)
        return _Refusal(503, result.reason, result.retry_after_s, shown)
    # The request may have run, so the status must not promise that it didn't.
    status = 504 if now_s >= job.deadline_s else 502
    return _Refusal(status, result.reason, fields=shown)


def _decision_fields(
    result: request_carrier.RequestResult, job: jobs.Job
) -> dict[str, Any]:
    """Returns what decided on a request, as fields of its log line."""
    shown: dict[str, Any] = {
        "service": job.service,
        "priority": job.priority,
        "customer": job.customer,
    }
    decision = result.decision
    if decision is None:
        return shown | {"decided_by": result.end or result.reason}
    return shown | {
        "decided_by": decision.cause_code,
        "ahead": decision.ahead,
        "wait_s": round(decision.wait_s, 4),
        "left_s": round(decision.left_s, 4),
    }
