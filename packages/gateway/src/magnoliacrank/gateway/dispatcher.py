"""Dispatcher: sends a request to backend servers and relays the answer.

A request waits for admission, reserves a slot (permission for one concurrent
request on one backend server) for each attempt, and is retried within the
service's retry budget.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import admission_gate
from magnoliacrank.gateway import answer as answers
from magnoliacrank.gateway import answer_relay
from magnoliacrank.gateway import body
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.gateway import inbound_exchange
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import outcome
from magnoliacrank.gateway import request_reader
from magnoliacrank.gateway import service_runtime
from magnoliacrank.model import headers
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import verdict
from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import crash_suspects
from magnoliacrank.policy import retry
from magnoliacrank.policy import sample

if TYPE_CHECKING:
    from collections.abc import Callable


_SLOT_HOLD_AFTER_DEADLINE_S = 1.0
_MIN_SLOT_WAIT_S = 0.001
_MS_PER_S = 1000.0
_DIGEST_BYTES = 16
_REQUEST_HEADER_FILTER = framing.HeaderFilter(
    "Host",
    headers.DEADLINE_MS,
    headers.RETRY,
    headers.TICKET,
    headers.FORWARDED_BY,
)

_NOT_RUN_KINDS = frozenset(
    {
        exchange_failure.FailureKind.POOL_EXHAUSTED,
        exchange_failure.FailureKind.POOL_CLOSED,
        exchange_failure.FailureKind.CONNECT_FAILED,
        exchange_failure.FailureKind.CONNECT_TIMEOUT,
        exchange_failure.FailureKind.REFUSED,
    }
)


class NotCrewMember(enum.Enum):
    """Type of the sentinel `NOT_CREW_MEMBER`."""

    NOT_CREW_MEMBER = enum.auto()


@attrs.frozen
class OwnedByPeer:
    """The request was not dispatched; only another instance may run it.

    It is suspected of crashing backend servers, and one member of the crew
    owns each suspected request.
    """

    instance_id: ids.InstanceId
    """Name of the instance that owns the request."""


NOT_CREW_MEMBER = NotCrewMember.NOT_CREW_MEMBER
"""The request was not dispatched, because this instance isn't in the crew.

The crew of a service is the set of instances that own its slots; any member
can run the request.
"""

_AttemptResult = (
    answer_relay.Delivered | verdict.Verdict | exchange_failure.ExchangeFailure
)

Result = answer_relay.Delivered | verdict.Verdict | NotCrewMember | OwnedByPeer
"""Outcome of one request, over all of its attempts."""


@attrs.define
class _RequestContext:
    """One request and the state of its attempts."""

    exchange: inbound_exchange.InboundExchange
    routed: request_reader.RoutedRequest
    content: bytes | body.BodySource
    excluded: set[ids.ServerId] = attrs.Factory(set)
    attempts: int = 0
    may_have_run_verdict: verdict.Verdict | None = None
    """Verdict of the latest failed attempt that may have run, or None.

    It takes precedence over the verdicts of attempts that did not run.
    """

    service_time_s: float | None = None

    @property
    def incoming(self) -> request.Request:
        """The request without its body."""
        return self.routed.request

    def compute_fingerprint(self) -> crash_messages.Fingerprint:
        """Returns the fingerprint that identifies the request by content."""
        incoming = self.incoming
        digest = incoming.digest or digest_request(self.exchange, self.content)
        return crash_messages.Fingerprint(
            incoming.customer, incoming.service, digest
        )

    @property
    def is_retry_forbidden(self) -> bool:
        """Whether the request's header forbids retries at this level."""
        return retry.is_forbidden(self.exchange.headers.get(headers.RETRY))

    @property
    def is_repeatable(self) -> bool:
        """Whether the body is in memory, so that it can be sent again."""
        return isinstance(self.content, bytes)


class Dispatcher:
    """Runs routed requests; deduplication has to be done before.

    Args:
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock

    async def dispatch(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        runtime: service_runtime.ServiceRuntime,
        content: bytes | body.BodySource,
    ) -> Result:
        """Runs one request on a backend server and relays the answer.

        Args:
            exchange: HTTP exchange with the caller, which receives the answer.
            routed: The request with its service and route.
            runtime: State of the request's service on this instance.
            content: Body of the request, or a source to read it from.

        Returns:
            The delivered answer, the verdict of a failure, or the reason why
            another instance has to run the request. After a failure the
            caller has received no answer, unless relaying had begun; then the
            answer was cut off.
        """
        if not runtime.is_member:
            return NOT_CREW_MEMBER
        place = await runtime.gate.enter(routed.request)
        if isinstance(place, admission_gate.ForwardToCrew):
            return NOT_CREW_MEMBER
        if isinstance(place, verdict.Verdict):
            return place
        context = _RequestContext(exchange, routed, content)
        try:
            return await self._run(context, runtime)
        finally:
            runtime.gate.leave(place, context.service_time_s)

    async def _run(
        self, context: _RequestContext, runtime: service_runtime.ServiceRuntime
    ) -> Result:
        decision = runtime.suspects.decide(context.compute_fingerprint)
        if isinstance(decision, crash_suspects.SuspectRefused):
            return decision.verdict
        if isinstance(decision, crash_suspects.ForwardTo):
            return OwnedByPeer(decision.owner)
        result = await self._run_attempts(context, runtime)
        if isinstance(decision, crash_suspects.RunAsTrial):
            runtime.suspects.on_exclusive_run_finished(
                context.compute_fingerprint,
                is_survived=isinstance(result, answer_relay.Delivered),
            )
        return result

    async def _run_attempts(
        self, context: _RequestContext, runtime: service_runtime.ServiceRuntime
    ) -> Result:
        runtime.retries.on_first_attempt(self._clock())
        while True:
            reservation = await self._reserve(context, runtime)
            if not isinstance(reservation, service_runtime.Reservation):
                return context.may_have_run_verdict or reservation
            result = await self._attempt_with_crash_tracking(
                context, runtime, reservation
            )
            if not isinstance(result, exchange_failure.ExchangeFailure):
                return result
            if result.verdict.may_have_run:
                context.may_have_run_verdict = result.verdict
            context.attempts += 1
            context.excluded.add(reservation.dispatch.server_id)
            next_retry = self._decide_retry(context, runtime, result)
            if next_retry is None:
                return context.may_have_run_verdict or result.verdict
            if next_retry.pause_s:
                await asyncio.sleep(next_retry.pause_s)
                context.excluded.clear()

    async def _attempt_with_crash_tracking(
        self,
        context: _RequestContext,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
    ) -> _AttemptResult:
        """Makes one attempt; notifies the crew if the server seems to crash.

        A connection that is lost before the answer counts as a crash. The
        request is reported together with all others on that server.
        """
        server_id = reservation.dispatch.server_id
        compute_fingerprint = context.compute_fingerprint
        runtime.suspects.track_request(server_id, compute_fingerprint)
        try:
            result = await self._attempt(context, runtime, reservation)
            if _may_be_server_crash(result):
                await runtime.suspects.on_server_died(
                    server_id, runtime.router.incarnation(server_id)
                )
            return result
        finally:
            runtime.suspects.untrack_request(server_id, compute_fingerprint)

    async def _reserve(
        self, context: _RequestContext, runtime: service_runtime.ServiceRuntime
    ) -> service_runtime.Reservation | verdict.Verdict | NotCrewMember:
        deadline_s = context.incoming.deadline_s
        started_s = self._clock()
        while True:
            waited_s = self._clock() - started_s
            found = runtime.reserve(
                context.incoming, context.excluded, waited_s
            )
            if not isinstance(found, sample.NoServer):
                return found
            if not runtime.is_member:
                return NOT_CREW_MEMBER
            left_s = deadline_s - self._clock()
            if found.reason is not verdict.Reason.OVERLOADED:
                return verdict.not_run(found.reason)
            if left_s <= 0:
                return verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)
            pause_s = min(left_s, max(_MIN_SLOT_WAIT_S, waited_s))
            await runtime.wait_for_slot(pause_s)

    async def _attempt(
        self,
        context: _RequestContext,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
    ) -> _AttemptResult:
        incoming = context.incoming
        needs_live = incoming.request_class is request.RequestClass.AT_MOST_ONCE
        is_outcome_recorded = False
        try:
            received = await reservation.pool.exchange(
                self._outbound_head(context, reservation),
                context.content,
                incoming.deadline_s,
                needs_live=needs_live,
            )
            if isinstance(received, exchange_failure.ExchangeFailure):
                is_outcome_recorded = True
                self._record_failure(runtime, reservation, incoming, received)
                return received
            result = await answer_relay.relay(
                context.exchange, received, _answer_fields(received)
            )
            is_outcome_recorded = True
            self._record_answer(context, runtime, reservation, received, result)
            return result
        finally:
            if not is_outcome_recorded:
                runtime.on_abandoned(
                    reservation,
                    sample.FailureKind.CALLER_GONE,
                    incoming.deadline_s + _SLOT_HOLD_AFTER_DEADLINE_S,
                )

    def _outbound_head(
        self, context: _RequestContext, reservation: service_runtime.Reservation
    ) -> outbound_head.OutboundHead:
        exchange = context.exchange
        left_s = context.incoming.deadline_s - self._clock()
        fields = _REQUEST_HEADER_FILTER.apply(exchange.headers)
        fields.append(("Host", reservation.pool.authority))
        left_ms = max(1, int(left_s * _MS_PER_S))
        fields.append((headers.DEADLINE_MS, str(left_ms)))
        retry_header = retry.header_below(
            is_forbidden=context.is_retry_forbidden,
            is_retry=context.attempts > 0,
        )
        if retry_header is not None:
            fields.append((headers.RETRY, retry_header))
        return outbound_head.OutboundHead(
            method=exchange.method, target=exchange.target, headers=fields
        )

    def _record_answer(
        self,
        context: _RequestContext,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
        received: answers.Answer,
        result: _AttemptResult,
    ) -> None:
        if isinstance(result, answer_relay.Delivered):
            latency_s = self._clock() - reservation.dispatch.started_s
            context.service_time_s = latency_s
            observed = outcome.answer_sample(received, latency_s)
            runtime.on_answer(reservation, observed)
            return
        runtime.on_abandoned(
            reservation,
            sample.FailureKind.TRUNCATED,
            context.incoming.deadline_s + _SLOT_HOLD_AFTER_DEADLINE_S,
        )

    def _record_failure(
        self,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
        incoming: request.Request,
        failure: exchange_failure.ExchangeFailure,
    ) -> None:
        latency_s = self._clock() - reservation.dispatch.started_s
        observed = outcome.failure_sample(failure, latency_s)
        if isinstance(observed, sample.AnswerSample):
            runtime.on_answer(reservation, observed)
        elif failure.kind in _NOT_RUN_KINDS:
            runtime.on_failure(reservation, observed)
        else:
            runtime.on_abandoned(
                reservation,
                observed,
                incoming.deadline_s + _SLOT_HOLD_AFTER_DEADLINE_S,
            )

    def _decide_retry(
        self,
        context: _RequestContext,
        runtime: service_runtime.ServiceRuntime,
        failure: exchange_failure.ExchangeFailure,
    ) -> retry.Retry | None:
        if not context.is_repeatable:
            return None
        failed = retry.FailedAttempt(
            request=context.incoming,
            verdict=failure.verdict,
            attempts=context.attempts,
            tried=frozenset(context.excluded),
            is_suspect=runtime.suspects.is_suspect(context.compute_fingerprint),
            is_forbidden=context.is_retry_forbidden,
        )
        next_retry = retry.decide(failed, runtime.retries, self._clock())
        return next_retry if isinstance(next_retry, retry.Retry) else None


def digest_request(
    exchange: inbound_exchange.InboundExchange,
    content: bytes | body.BodySource,
) -> bytes:
    """Returns the digest of a request's method, target and buffered body.

    A body that is streamed is left out.

    Args:
        exchange: HTTP exchange with the caller.
        content: Body of the request, or a source to read it from.
    """
    head = f"{exchange.method} {exchange.target}\n".encode()
    whole = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    if isinstance(content, bytes):
        whole.update(content)
    return whole.digest()


def _may_be_server_crash(result: _AttemptResult) -> bool:
    return (
        isinstance(result, exchange_failure.ExchangeFailure)
        and result.kind is exchange_failure.FailureKind.CONNECTION_LOST
    )


def _answer_fields(received: answers.Answer) -> list[tuple[str, str]]:
    fields = framing.end_to_end(received.headers)
    fields.append((headers.VERDICT, verdict.Outcome.DONE.value))
    return fields
