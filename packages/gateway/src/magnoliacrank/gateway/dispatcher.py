"""Dispatcher: carries one request to backend servers and its answer back."""

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


_WORK_AFTER_DEADLINE_S = 1.0
_RECHECK_S = 0.001
_MS_PER_S = 1000.0
_DIGEST_BYTES = 16
_FORWARDED = framing.HeaderFilter(
    "Host",
    headers.DEADLINE_MS,
    headers.RETRY,
    headers.TICKET,
    headers.FORWARDED_BY,
)

_NOT_DISPATCHED = frozenset(
    {
        exchange_failure.FailureKind.POOL_EXHAUSTED,
        exchange_failure.FailureKind.POOL_CLOSED,
        exchange_failure.FailureKind.CONNECT_FAILED,
        exchange_failure.FailureKind.CONNECT_TIMEOUT,
        exchange_failure.FailureKind.REFUSED,
    }
)


class NotHere(enum.Enum):
    """Sentinel: this instance is no member of the service's crew."""

    NOT_HERE = enum.auto()


@attrs.frozen
class OwnedBy:
    """Another instance alone may run the request, which was not dispatched."""

    instance_id: ids.InstanceId
    """Name of that instance."""


NOT_HERE = NotHere.NOT_HERE
"""The request was not dispatched; a member of the crew can carry it."""

_Attempted = (
    answer_relay.Delivered | verdict.Verdict | exchange_failure.ExchangeFailure
)

Result = answer_relay.Delivered | verdict.Verdict | NotHere | OwnedBy
"""What became of a request."""


@attrs.define
class _Journey:
    """What one request has been through."""

    exchange: inbound_exchange.InboundExchange
    routed: request_reader.RoutedRequest
    content: bytes | body.BodySource
    excluded: set[ids.ServerId] = attrs.Factory(set)
    attempts: int = 0
    unknown: verdict.Verdict | None = None
    """Verdict of an attempt that may have run; later ones can't undo it."""

    service_s: float | None = None

    @property
    def wanted(self) -> request.Request:
        """The request without its body."""
        return self.routed.request

    def fingerprint(self) -> crash_messages.Fingerprint:
        """Returns what names the request by its content."""
        wanted = self.wanted
        digest = wanted.digest or digest_request(self.exchange, self.content)
        return crash_messages.Fingerprint(
            wanted.customer, wanted.service, digest
        )

    @property
    def is_retry_forbidden(self) -> bool:
        """Whether a level above forbade retries."""
        return retry.is_forbidden(self.exchange.headers.get(headers.RETRY))

    @property
    def is_repeatable(self) -> bool:
        """Whether the body can be sent again."""
        return isinstance(self.content, bytes)


class Dispatcher:
    """Runs requests that were read, keyed and routed.

    Args:
        clock: Monotonic time in seconds.
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
        """Carries one request.

        Args:
            exchange: The caller's side.
            routed: The request.
            runtime: Its service.
            content: Its body, or where to read it from.

        Returns:
            What was delivered, the verdict of a failure, or that another
            instance has to carry it. A failure leaves the exchange without an
            answer unless one was begun, which is then cut.
        """
        if not runtime.is_member:
            return NOT_HERE
        place = await runtime.gate.enter(routed.request)
        if isinstance(place, admission_gate.Dismissed):
            return NOT_HERE
        if isinstance(place, verdict.Verdict):
            return place
        journey = _Journey(exchange, routed, content)
        try:
            return await self._run(journey, runtime)
        finally:
            runtime.gate.leave(place, journey.service_s)

    async def _run(
        self, journey: _Journey, runtime: service_runtime.ServiceRuntime
    ) -> Result:
        decision = runtime.suspects.decide(journey.fingerprint)
        if isinstance(decision, crash_suspects.SuspectRefused):
            return decision.verdict
        if isinstance(decision, crash_suspects.ForwardTo):
            return OwnedBy(decision.owner)
        result = await self._run_attempts(journey, runtime)
        if isinstance(decision, crash_suspects.RunSingly):
            runtime.suspects.finish_single(
                journey.fingerprint,
                is_survived=isinstance(result, answer_relay.Delivered),
            )
        return result

    async def _run_attempts(
        self, journey: _Journey, runtime: service_runtime.ServiceRuntime
    ) -> Result:
        runtime.retries.on_first_attempt(self._clock())
        while True:
            reservation = await self._reserve(journey, runtime)
            if not isinstance(reservation, service_runtime.Reservation):
                return journey.unknown or reservation
            result = await self._attempt_watched(journey, runtime, reservation)
            if not isinstance(result, exchange_failure.ExchangeFailure):
                return result
            if result.verdict.may_have_run:
                journey.unknown = result.verdict
            journey.attempts += 1
            journey.excluded.add(reservation.dispatch.server_id)
            again = self._decide_retry(journey, runtime, result)
            if again is None:
                return journey.unknown or result.verdict
            if again.pause_s:
                await asyncio.sleep(again.pause_s)
                journey.excluded.clear()

    async def _attempt_watched(
        self,
        journey: _Journey,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
    ) -> _Attempted:
        """Makes an attempt; tells the crew when the server died in it."""
        server_id = reservation.dispatch.server_id
        fingerprint = journey.fingerprint
        runtime.suspects.begin(server_id, fingerprint)
        try:
            result = await self._attempt(journey, runtime, reservation)
            if _is_death(result):
                await runtime.suspects.on_server_died(
                    server_id, runtime.router.incarnation(server_id)
                )
            return result
        finally:
            runtime.suspects.end(server_id, fingerprint)

    async def _reserve(
        self, journey: _Journey, runtime: service_runtime.ServiceRuntime
    ) -> service_runtime.Reservation | verdict.Verdict | NotHere:
        deadline_s = journey.wanted.deadline_s
        started_s = self._clock()
        while True:
            waited_s = self._clock() - started_s
            found = runtime.reserve(journey.wanted, journey.excluded, waited_s)
            if not isinstance(found, sample.NoServer):
                return found
            if not runtime.is_member:
                return NOT_HERE
            left_s = deadline_s - self._clock()
            if found.reason is not verdict.Reason.OVERLOADED:
                return verdict.not_run(found.reason)
            if left_s <= 0:
                return verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)
            pause_s = min(left_s, max(_RECHECK_S, waited_s))
            await runtime.slot_freed(pause_s)

    async def _attempt(
        self,
        journey: _Journey,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
    ) -> _Attempted:
        wanted = journey.wanted
        needs_fresh = wanted.request_class is request.RequestClass.AT_MOST_ONCE
        is_settled = False
        try:
            received = await reservation.pool.exchange(
                self._outbound_head(journey, reservation),
                journey.content,
                wanted.deadline_s,
                needs_fresh=needs_fresh,
            )
            if isinstance(received, exchange_failure.ExchangeFailure):
                is_settled = True
                self._settle_failure(runtime, reservation, wanted, received)
                return received
            result = await answer_relay.relay(
                journey.exchange, received, _answer_fields(received)
            )
            is_settled = True
            self._settle_answer(journey, runtime, reservation, received, result)
            return result
        finally:
            if not is_settled:
                runtime.on_abandoned(
                    reservation,
                    sample.FailureKind.CALLER_GONE,
                    wanted.deadline_s + _WORK_AFTER_DEADLINE_S,
                )

    def _outbound_head(
        self, journey: _Journey, reservation: service_runtime.Reservation
    ) -> outbound_head.OutboundHead:
        exchange = journey.exchange
        left_s = journey.wanted.deadline_s - self._clock()
        fields = _FORWARDED.apply(exchange.headers)
        fields.append(("Host", reservation.pool.authority))
        left_ms = max(1, int(left_s * _MS_PER_S))
        fields.append((headers.DEADLINE_MS, str(left_ms)))
        below = retry.header_below(
            is_forbidden=journey.is_retry_forbidden,
            is_retry=journey.attempts > 0,
        )
        if below is not None:
            fields.append((headers.RETRY, below))
        return outbound_head.OutboundHead(
            method=exchange.method, target=exchange.target, headers=fields
        )

    def _settle_answer(
        self,
        journey: _Journey,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
        received: answers.Answer,
        result: _Attempted,
    ) -> None:
        if isinstance(result, answer_relay.Delivered):
            latency_s = self._clock() - reservation.dispatch.started_s
            journey.service_s = latency_s
            seen = outcome.answer_sample(received, latency_s)
            runtime.on_answer(reservation, seen)
            return
        runtime.on_abandoned(
            reservation,
            sample.FailureKind.TRUNCATED,
            journey.wanted.deadline_s + _WORK_AFTER_DEADLINE_S,
        )

    def _settle_failure(
        self,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
        wanted: request.Request,
        failure: exchange_failure.ExchangeFailure,
    ) -> None:
        latency_s = self._clock() - reservation.dispatch.started_s
        seen = outcome.failure_sample(failure, latency_s)
        if isinstance(seen, sample.AnswerSample):
            runtime.on_answer(reservation, seen)
        elif failure.kind in _NOT_DISPATCHED:
            runtime.on_failure(reservation, seen)
        else:
            runtime.on_abandoned(
                reservation, seen, wanted.deadline_s + _WORK_AFTER_DEADLINE_S
            )

    def _decide_retry(
        self,
        journey: _Journey,
        runtime: service_runtime.ServiceRuntime,
        failure: exchange_failure.ExchangeFailure,
    ) -> retry.Retry | None:
        if not journey.is_repeatable:
            return None
        failed = retry.FailedAttempt(
            request=journey.wanted,
            verdict=failure.verdict,
            attempts=journey.attempts,
            tried=frozenset(journey.excluded),
            is_suspect=runtime.suspects.is_suspect(journey.fingerprint),
            is_forbidden=journey.is_retry_forbidden,
        )
        again = retry.decide(failed, runtime.retries, self._clock())
        return again if isinstance(again, retry.Retry) else None


def digest_request(
    exchange: inbound_exchange.InboundExchange,
    content: bytes | body.BodySource,
) -> bytes:
    """Returns the digest of a request's method, target and held body."""
    head = f"{exchange.method} {exchange.target}\n".encode()
    whole = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    if isinstance(content, bytes):
        whole.update(content)
    return whole.digest()


def _is_death(result: _Attempted) -> bool:
    return (
        isinstance(result, exchange_failure.ExchangeFailure)
        and result.kind is exchange_failure.FailureKind.CONNECTION_LOST
    )


def _answer_fields(received: answers.Answer) -> list[tuple[str, str]]:
    fields = framing.end_to_end(received.headers)
    fields.append((headers.VERDICT, verdict.Outcome.DONE.value))
    return fields
