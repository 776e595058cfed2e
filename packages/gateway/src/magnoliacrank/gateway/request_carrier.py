"""RequestCarrier: decides where a caller's request goes and answers it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import body as bodies
from magnoliacrank.gateway import crew_forwarder
from magnoliacrank.gateway import dispatcher
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import forwarder
from magnoliacrank.gateway import key_guard
from magnoliacrank.gateway import key_transfer
from magnoliacrank.gateway import peer_directory
from magnoliacrank.gateway import refusal
from magnoliacrank.gateway import request_metrics
from magnoliacrank.gateway import request_reader
from magnoliacrank.gateway import service_directory
from magnoliacrank.model import headers
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.model import instance

_KEYED_BODY_BYTES = 1024 * 1024
_HELD_BODY_BYTES = 64 * 1024
_STATUS_NO_CONTENT = 204


_REFUSED_HERE = {
    dispatcher.NotHere: verdict.not_run(verdict.Reason.NOT_READY),
    dispatcher.OwnedBy: verdict.not_run(verdict.Reason.CRASH_SUSPECT),
}
"""Verdicts on a request that was passed on here and would have to go on."""


@attrs.frozen
class Collaborators:
    """What the carrier works with."""

    services: service_directory.ServiceDirectory
    """Services of this instance."""

    keys: key_guard.KeyGuard
    """Keys of this instance."""

    dispatches: dispatcher.Dispatcher
    """Carries requests to backend servers."""

    forwards: forwarder.Forwarder
    """Passes requests on to one other instance."""

    transfers: key_transfer.KeyTransfer
    """Keys of instances that have left."""

    crews: crew_forwarder.CrewForwarder
    """Passes requests on to members of a crew."""

    peers: peer_directory.PeerDirectory
    """Live instances."""

    metrics: request_metrics.RequestMetrics
    """Counts requests by verdict."""


class RequestCarrier:
    """Handles every request for a service.

    Args:
        own: This instance.
        parts: What it works with.
        is_ready: Whether the configuration may be acted on.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        parts: Collaborators,
        is_ready: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._parts = parts
        self._is_ready = is_ready
        self._clock = clock

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers one request."""
        result = await self._carry(exchange)
        if result is not None:
            await answer_verdict(exchange, result)

    async def _carry(
        self, exchange: inbound_exchange.InboundExchange
    ) -> verdict.Verdict | None:
        if not self._is_ready():
            return _unconsulted(exchange, verdict.Reason.NOT_READY)
        routed = request_reader.read_request(
            exchange, self._parts.services.table, self._clock()
        )
        if isinstance(routed, request_reader.InvalidRequest):
            return _unconsulted(exchange, routed.reason)
        result = await self._carry_routed(exchange, routed)
        self._parts.metrics.on_finished(
            routed.request.service,
            routed.request.route,
            result or verdict.DONE,
            self._clock() - exchange.received_s,
        )
        return result

    async def _carry_routed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        if not _is_once(routed) or self._is_delegated(exchange):
            return await self._carry_unkeyed(exchange, routed)
        if routed.route.key_mode is request.KeyMode.TICKETED:
            return await self._carry_ticketed(exchange, routed)
        return verdict.not_run(verdict.Reason.CLAIM_UNAVAILABLE)

    def _is_delegated(self, exchange: inbound_exchange.InboundExchange) -> bool:
        """Returns whether the owner of the request's key asks for its run."""
        if headers.DELEGATED not in exchange.headers:
            return False
        sender = ids.InstanceId(exchange.headers.get(headers.FORWARDED_BY, ""))
        return self._parts.peers.find(sender) is not None

    async def _carry_unkeyed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        content = await _read_content(exchange)
        if isinstance(content, bodies.BodyFailure):
            return verdict.not_run(verdict.Reason.BAD_REQUEST)
        result = await self._run(exchange, routed, content)
        return result if isinstance(result, verdict.Verdict) else None

    async def _run(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        content: bytes | bodies.BodySource,
        *,
        is_delegated: bool = False,
    ) -> crew_forwarder.Forwarded:
        """Dispatches a request here, or lets a member of the crew do it."""
        runtime = self._parts.services.find(routed.request.service)
        if runtime is None or runtime.crew is None:
            return verdict.not_run(verdict.Reason.NOT_READY)
        result = await self._parts.dispatches.dispatch(
            exchange, routed, runtime, content
        )
        if not isinstance(result, dispatcher.NotHere | dispatcher.OwnedBy):
            return result
        if headers.FORWARDED_BY in exchange.headers:
            return _REFUSED_HERE[type(result)]
        owner = None
        if isinstance(result, dispatcher.OwnedBy):
            owner = result.instance_id
        return await self._parts.crews.forward(
            exchange,
            runtime,
            content,
            routed.request.deadline_s,
            owner=owner,
            is_delegated=is_delegated,
        )

    async def _carry_ticketed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        if not routed.ticket:
            return verdict.not_run(verdict.Reason.TICKET_INVALID)
        content = await exchange.read_body(_KEYED_BODY_BYTES)
        if not isinstance(content, bytes):
            return verdict.may_have_run(verdict.Reason.BAD_REQUEST)
        digest = dispatcher.digest_request(exchange, content)
        typed = attrs.evolve(routed.request, digest=digest)
        routed = attrs.evolve(routed, request=typed)
        owner = self._parts.keys.find_owner(routed.ticket)
        if isinstance(owner, verdict.Verdict):
            return owner
        if owner is not None:
            return await self._forward_to_owner(
                exchange, routed, owner, content
            )
        return await self._run_keyed(exchange, routed, content)

    async def _run_keyed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        content: bytes,
    ) -> verdict.Verdict | None:
        keys = self._parts.keys
        decision = await keys.begin(routed.request, routed.ticket)
        if not isinstance(decision, key_table.Dispatch):
            return await _answer_known(exchange, decision)
        outcome = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)
        kept = None
        try:
            result = await self._run(
                exchange, routed, content, is_delegated=True
            )
            if isinstance(result, verdict.Verdict):
                outcome = result
                return result
            outcome = verdict.DONE
            kept = result.kept
            return None
        finally:
            keys.finish(decision, outcome, kept)

    async def _forward_to_owner(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        owner: key_guard.OwnedElsewhere,
        content: bytes,
    ) -> verdict.Verdict | None:
        peer = self._parts.peers.find(owner.ticket.instance_id)
        if peer is None or peer.incarnation != owner.ticket.incarnation:
            return await self._answer_for_lost(exchange, routed, content)
        if headers.FORWARDED_BY in exchange.headers:
            return verdict.may_have_run(verdict.Reason.OWNER_UNREACHABLE)
        received = await self._parts.forwards.send(
            exchange, peer, content, routed.request.deadline_s
        )
        if isinstance(received, exchange_failure.ExchangeFailure):
            # An earlier copy of the request may have reached the owner.
            return verdict.may_have_run(verdict.Reason.OWNER_UNREACHABLE)
        result = await crew_forwarder.relay_forwarded(exchange, received)
        return result if isinstance(result, verdict.Verdict) else None

    async def _answer_for_lost(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        content: bytes,
    ) -> verdict.Verdict | None:
        """Answers for an owner that is gone; nothing is dispatched."""
        wanted = routed.request
        assert wanted.key is not None
        key = key_entry.ScopedKey(
            wanted.customer, wanted.service, routed.ticket, wanted.key
        )
        known = self._parts.transfers.inherited.answer(
            key, wanted.digest, self._clock()
        )
        runtime = self._parts.services.find(wanted.service)
        is_heir = runtime is None or runtime.is_member
        is_forwarded = headers.FORWARDED_BY in exchange.headers
        if isinstance(known, key_table.Repeat) or is_heir or is_forwarded:
            return await _answer_known(exchange, known)
        assert runtime is not None
        result = await self._parts.crews.forward(
            exchange, runtime, content, wanted.deadline_s
        )
        if isinstance(result, verdict.Verdict):
            return verdict.may_have_run(verdict.Reason.OWNER_LOST)
        return None


async def answer_verdict(
    exchange: inbound_exchange.InboundExchange, result: verdict.Verdict
) -> None:
    """Answers a request with a verdict, unless an answer has begun."""
    refused = refusal.build_refusal(result)
    await exchange.answer(refused.status, refused.headers, refused.body)


async def _answer_known(
    exchange: inbound_exchange.InboundExchange,
    repeat: key_table.Repeat | key_table.KeyRefused,
) -> verdict.Verdict | None:
    if isinstance(repeat, key_table.KeyRefused):
        return repeat.verdict
    kept = repeat.answer
    if not repeat.verdict.is_done:
        return repeat.verdict
    if kept is None:
        fields = [
            (headers.VERDICT, repeat.verdict.outcome.value),
            (headers.REASON, repeat.verdict.reason.value),
        ]
        await exchange.answer(_STATUS_NO_CONTENT, fields, b"")
        return None
    fields = [
        pair
        for pair in kept.headers
        if pair[0].lower() != headers.REASON.lower()
    ]
    fields.append((headers.REASON, repeat.verdict.reason.value))
    await exchange.answer(kept.status, fields, kept.body)
    return None


async def _read_content(
    exchange: inbound_exchange.InboundExchange,
) -> bytes | bodies.BodySource | bodies.BodyFailure:
    length = exchange.body_length
    if length is None or length > _HELD_BODY_BYTES:
        return exchange
    content = await exchange.read_body(_HELD_BODY_BYTES)
    if isinstance(content, bodies.BodyTooLarge):
        return bodies.MALFORMED
    return content


def _is_once(routed: request_reader.RoutedRequest) -> bool:
    return routed.request.request_class is request.RequestClass.AT_MOST_ONCE


def _unconsulted(
    exchange: inbound_exchange.InboundExchange, reason: verdict.Reason
) -> verdict.Verdict:
    """Returns the verdict on a request whose key's owner was not asked."""
    if headers.TICKET in exchange.headers:
        return verdict.may_have_run(reason)
    return verdict.not_run(reason)
