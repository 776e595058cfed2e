"""Dispatcher: carries one request to backend servers and its answer back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import answer as answers
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
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import sample

if TYPE_CHECKING:
    from collections.abc import Callable


_KEPT_BODY_BYTES = 64 * 1024
_WORK_AFTER_DEADLINE_S = 1.0
_RECHECK_S = 0.005
_MS_PER_S = 1000.0
_NO_RETRY = "no"
_MAX_RETRIES = 2
_DROPPED = frozenset(
    name.lower()
    for name in (
        "Host",
        headers.DEADLINE_MS,
        headers.RETRY,
        headers.TICKET,
        headers.FORWARDED_BY,
    )
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


@attrs.frozen
class Delivered:
    """The whole answer went to the caller."""

    kept: key_entry.KeptAnswer | None
    """The answer where it is small enough to be kept."""


@attrs.define
class _Journey:
    """What one request has been through."""

    exchange: inbound_exchange.InboundExchange
    routed: request_reader.RoutedRequest
    content: bytes | body.BodySource
    excluded: set[ids.ServerId] = attrs.Factory(set)
    reservation: service_runtime.Reservation | None = None

    @property
    def wanted(self) -> request.Request:
        """The request without its body."""
        return self.routed.request

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
    ) -> Delivered | verdict.Verdict:
        """Carries one request.

        Args:
            exchange: The caller's side.
            routed: The request.
            runtime: Its service.
            content: Its body, or where to read it from.

        Returns:
            The answer that was delivered, or the verdict of the failure. The
            exchange has an answer, or was cut, only in the first case or when
            it was started.
        """
        place = await runtime.gate.enter(routed.request)
        if isinstance(place, verdict.Verdict):
            return place
        journey = _Journey(exchange, routed, content)
        try:
            return await self._run(journey, runtime)
        finally:
            runtime.gate.leave(place)

    async def _run(
        self, journey: _Journey, runtime: service_runtime.ServiceRuntime
    ) -> Delivered | verdict.Verdict:
        while True:
            reservation = await self._reserve(journey, runtime)
            if isinstance(reservation, verdict.Verdict):
                return reservation
            result = await self._attempt(journey, runtime, reservation)
            if not isinstance(result, exchange_failure.ExchangeFailure):
                return result
            if not self._may_retry(journey, result):
                return result.verdict
            journey.excluded.add(reservation.dispatch.server_id)

    async def _reserve(
        self, journey: _Journey, runtime: service_runtime.ServiceRuntime
    ) -> service_runtime.Reservation | verdict.Verdict:
        deadline_s = journey.wanted.deadline_s
        started_s = self._clock()
        while True:
            waited_s = self._clock() - started_s
            found = runtime.reserve(journey.wanted, journey.excluded, waited_s)
            if not isinstance(found, sample.NoServer):
                return found
            left_s = deadline_s - self._clock()
            if found.reason is not verdict.Reason.OVERLOADED:
                return verdict.not_run(found.reason)
            if left_s <= 0:
                return verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)
            await runtime.slot_freed(min(left_s, _RECHECK_S))

    async def _attempt(
        self,
        journey: _Journey,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
    ) -> Delivered | verdict.Verdict | exchange_failure.ExchangeFailure:
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
            result = await self._deliver(journey, received)
            is_settled = True
            self._settle_answer(runtime, reservation, wanted, received, result)
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
        fields = [
            pair
            for pair in framing.end_to_end(exchange.headers)
            if pair[0].lower() not in _DROPPED
        ]
        fields.append(("Host", reservation.pool.authority))
        left_ms = max(1, int(left_s * _MS_PER_S))
        fields.append((headers.DEADLINE_MS, str(left_ms)))
        fields.append((headers.RETRY, _NO_RETRY))
        return outbound_head.OutboundHead(
            method=exchange.method, target=exchange.target, headers=fields
        )

    async def _deliver(
        self, journey: _Journey, received: answers.Answer
    ) -> Delivered | verdict.Verdict | exchange_failure.ExchangeFailure:
        length = received.length
        is_small = length is not None and length <= _KEPT_BODY_BYTES
        if is_small or received.is_whole:
            return await self._deliver_whole(journey, received)
        return await self._deliver_stream(journey, received)

    async def _deliver_whole(
        self, journey: _Journey, received: answers.Answer
    ) -> Delivered | exchange_failure.ExchangeFailure:
        content = bytearray()
        while True:
            chunk = await received.read_chunk()
            if isinstance(chunk, exchange_failure.ExchangeFailure):
                return chunk
            if not chunk:
                break
            content += chunk
        fields = _answer_fields(received)
        received.release()
        whole = bytes(content)
        length = received.length if not whole else len(whole)
        journey.exchange.start_answer(received.status, fields, length or 0)
        await journey.exchange.write(whole)
        await journey.exchange.finish()
        kept = None
        if journey.wanted.key is not None and len(whole) <= _KEPT_BODY_BYTES:
            kept = key_entry.KeptAnswer(received.status, tuple(fields), whole)
        return Delivered(kept)

    async def _deliver_stream(
        self, journey: _Journey, received: answers.Answer
    ) -> Delivered | verdict.Verdict:
        exchange = journey.exchange
        fields = _answer_fields(received)
        exchange.start_answer(received.status, fields, received.length)
        try:
            while True:
                chunk = await received.read_chunk()
                if isinstance(chunk, exchange_failure.ExchangeFailure):
                    exchange.abort()
                    return chunk.verdict
                if not chunk:
                    break
                await exchange.write(chunk)
        finally:
            received.release()
        await exchange.finish()
        return Delivered(None)

    def _settle_answer(
        self,
        runtime: service_runtime.ServiceRuntime,
        reservation: service_runtime.Reservation,
        wanted: request.Request,
        received: answers.Answer,
        result: Delivered | verdict.Verdict | exchange_failure.ExchangeFailure,
    ) -> None:
        if isinstance(result, Delivered):
            latency_s = self._clock() - reservation.dispatch.started_s
            seen = outcome.answer_sample(received, latency_s)
            runtime.on_answer(reservation, seen)
            return
        runtime.on_abandoned(
            reservation,
            sample.FailureKind.TRUNCATED,
            wanted.deadline_s + _WORK_AFTER_DEADLINE_S,
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

    def _may_retry(
        self, journey: _Journey, failure: exchange_failure.ExchangeFailure
    ) -> bool:
        if not journey.is_repeatable or len(journey.excluded) >= _MAX_RETRIES:
            return False
        if journey.exchange.headers.get(headers.RETRY) == _NO_RETRY:
            return False
        is_once = (
            journey.wanted.request_class is request.RequestClass.AT_MOST_ONCE
        )
        return not (is_once and failure.verdict.may_have_run)


def _answer_fields(received: answers.Answer) -> list[tuple[str, str]]:
    fields = framing.end_to_end(received.headers)
    fields.append((headers.VERDICT, verdict.Outcome.DONE.value))
    return fields
