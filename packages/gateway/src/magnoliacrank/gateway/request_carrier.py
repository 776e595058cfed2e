"""RequestCarrier: handles requests for services.

A request runs on this instance if it is a member of the service's crew, that
is, of the instances that own the service's slots. Otherwise it is forwarded
to another instance, which doesn't forward it again.
"""

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

_MAX_KEYED_BODY_BYTES = 1024 * 1024
_MAX_BUFFERED_BODY_BYTES = 64 * 1024
_STATUS_NO_CONTENT = 204


_SECOND_HOP_VERDICTS = {
    dispatcher.NotCrewMember: verdict.not_run(verdict.Reason.NOT_READY),
    dispatcher.OwnedByPeer: verdict.not_run(verdict.Reason.CRASH_SUSPECT),
}
"""Verdicts on a request that was forwarded here and can't be run here.

It is not forwarded again.
"""


@attrs.frozen
class RequestCarrierDependencies:
    """Objects that a `RequestCarrier` uses."""

    services: service_directory.ServiceDirectory
    """Services in the configuration, with their crews."""

    keys: key_guard.KeyGuard
    """Deduplicates requests by idempotency key."""

    request_dispatcher: dispatcher.Dispatcher
    """Runs requests on backend servers."""

    peer_forwarder: forwarder.Forwarder
    """Sends a request to one given instance."""

    key_transfers: key_transfer.KeyTransfer
    """Holds the keys that other instances handed over at their shutdown."""

    crew_request_forwarder: crew_forwarder.CrewForwarder
    """Forwards a request to some member of the service's crew."""

    peers: peer_directory.PeerDirectory
    """Directory of the live instances."""

    metrics: request_metrics.RequestMetrics
    """Counts requests by verdict."""


class RequestCarrier:
    """Handles requests for services and answers them.

    At-most-once requests with a ticket are deduplicated by idempotency key on
    the instance that issued the ticket (the key's owner); on routes without
    tickets they are refused.

    Args:
        own: This instance.
        dependencies: Objects that handling a request needs.
        is_ready: Returns whether the configuration has been read and may be
            used.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        dependencies: RequestCarrierDependencies,
        is_ready: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._dependencies = dependencies
        self._is_ready = is_ready
        self._clock = clock

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Handles one request and answers it.

        Args:
            exchange: HTTP exchange with the caller.
        """
        result = await self._handle(exchange)
        if result is not None:
            await answer_verdict(exchange, result)

    async def _handle(
        self, exchange: inbound_exchange.InboundExchange
    ) -> verdict.Verdict | None:
        if not self._is_ready():
            return _verdict_before_key_lookup(
                exchange, verdict.Reason.NOT_READY
            )
        routed = request_reader.read_request(
            exchange, self._dependencies.services.table, self._clock()
        )
        if isinstance(routed, request_reader.InvalidRequest):
            return _verdict_before_key_lookup(exchange, routed.reason)
        result = await self._handle_routed(exchange, routed)
        self._dependencies.metrics.on_finished(
            routed.request.service,
            routed.request.route,
            result or verdict.DONE,
            self._clock() - exchange.received_s,
        )
        return result

    async def _handle_routed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        if not _is_at_most_once(routed) or self._is_delegated(exchange):
            return await self._handle_unkeyed(exchange, routed)
        if routed.route.key_mode is request.KeyMode.TICKETED:
            return await self._handle_ticketed(exchange, routed)
        return verdict.not_run(verdict.Reason.CLAIM_UNAVAILABLE)

    def _is_delegated(self, exchange: inbound_exchange.InboundExchange) -> bool:
        """Returns whether a live instance states that it owns the key.

        The owner has recorded the key and asks for its only dispatch, so the
        key is not looked up here.
        """
        if headers.DELEGATED not in exchange.headers:
            return False
        sender = ids.InstanceId(exchange.headers.get(headers.FORWARDED_BY, ""))
        return self._dependencies.peers.find(sender) is not None

    async def _handle_unkeyed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        content = await _read_body(exchange)
        if isinstance(content, bodies.BodyFailure):
            return verdict.not_run(verdict.Reason.BAD_REQUEST)
        result = await self._run_or_forward(exchange, routed, content)
        return result if isinstance(result, verdict.Verdict) else None

    async def _run_or_forward(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        content: bytes | bodies.BodySource,
        *,
        is_delegated: bool = False,
    ) -> crew_forwarder.ForwardResult:
        """Runs a request here, or forwards it to a member of the crew."""
        runtime = self._dependencies.services.find(routed.request.service)
        if runtime is None or runtime.crew is None:
            return verdict.not_run(verdict.Reason.NOT_READY)
        result = await self._dependencies.request_dispatcher.dispatch(
            exchange, routed, runtime, content
        )
        if not isinstance(
            result, dispatcher.NotCrewMember | dispatcher.OwnedByPeer
        ):
            return result
        if headers.FORWARDED_BY in exchange.headers:
            return _SECOND_HOP_VERDICTS[type(result)]
        owner = None
        if isinstance(result, dispatcher.OwnedByPeer):
            owner = result.instance_id
        return await self._dependencies.crew_request_forwarder.forward(
            exchange,
            runtime,
            content,
            routed.request.deadline_s,
            owner=owner,
            is_delegated=is_delegated,
        )

    async def _handle_ticketed(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
    ) -> verdict.Verdict | None:
        if not routed.ticket:
            return verdict.not_run(verdict.Reason.TICKET_INVALID)
        content = await exchange.read_body(_MAX_KEYED_BODY_BYTES)
        if not isinstance(content, bytes):
            return verdict.may_have_run(verdict.Reason.BAD_REQUEST)
        digest = dispatcher.digest_request(exchange, content)
        with_digest = attrs.evolve(routed.request, digest=digest)
        routed = attrs.evolve(routed, request=with_digest)
        owner = self._dependencies.keys.find_owner(routed.ticket)
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
        keys = self._dependencies.keys
        decision = await keys.begin(routed.request, routed.ticket)
        if not isinstance(decision, key_table.Dispatch):
            return await _answer_recorded_outcome(exchange, decision)
        outcome = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)
        kept = None
        try:
            result = await self._run_or_forward(
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
        peer = self._dependencies.peers.find(owner.ticket.instance_id)
        if peer is None or peer.incarnation != owner.ticket.incarnation:
            return await self._answer_for_lost_owner(exchange, routed, content)
        if headers.FORWARDED_BY in exchange.headers:
            return verdict.may_have_run(verdict.Reason.OWNER_UNREACHABLE)
        received = await self._dependencies.peer_forwarder.send(
            exchange, peer, content, routed.request.deadline_s
        )
        if isinstance(received, exchange_failure.ExchangeFailure):
            # An earlier copy of the request may have reached the owner.
            return verdict.may_have_run(verdict.Reason.OWNER_UNREACHABLE)
        result = await crew_forwarder.relay_forwarded(exchange, received)
        return result if isinstance(result, verdict.Verdict) else None

    async def _answer_for_lost_owner(
        self,
        exchange: inbound_exchange.InboundExchange,
        routed: request_reader.RoutedRequest,
        content: bytes,
    ) -> verdict.Verdict | None:
        """Answers a request whose key's owner is gone; it is not dispatched.

        The answer comes from a key that the owner handed over to this
        instance or to another member of the crew.
        """
        incoming = routed.request
        assert incoming.key is not None
        key = key_entry.ScopedKey(
            incoming.customer, incoming.service, routed.ticket, incoming.key
        )
        recorded = self._dependencies.key_transfers.inherited.answer(
            key, incoming.digest, self._clock()
        )
        runtime = self._dependencies.services.find(incoming.service)
        may_hold_handed_over_keys = runtime is None or runtime.is_member
        is_forwarded = headers.FORWARDED_BY in exchange.headers
        if (
            isinstance(recorded, key_table.RepeatOutcome)
            or may_hold_handed_over_keys
            or is_forwarded
        ):
            return await _answer_recorded_outcome(exchange, recorded)
        assert runtime is not None
        result = await self._dependencies.crew_request_forwarder.forward(
            exchange, runtime, content, incoming.deadline_s
        )
        if isinstance(result, verdict.Verdict):
            return verdict.may_have_run(verdict.Reason.OWNER_LOST)
        return None


async def answer_verdict(
    exchange: inbound_exchange.InboundExchange, result: verdict.Verdict
) -> None:
    """Answers a request with a verdict, unless an answer has begun.

    Args:
        exchange: HTTP exchange with the caller.
        result: Verdict on the request, other than done.
    """
    refused = refusal.build_refusal(result)
    await exchange.answer(refused.status, refused.headers, refused.body)


async def _answer_recorded_outcome(
    exchange: inbound_exchange.InboundExchange,
    repeat: key_table.RepeatOutcome | key_table.KeyRefused,
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


async def _read_body(
    exchange: inbound_exchange.InboundExchange,
) -> bytes | bodies.BodySource | bodies.BodyFailure:
    length = exchange.body_length
    if length is None or length > _MAX_BUFFERED_BODY_BYTES:
        return exchange
    content = await exchange.read_body(_MAX_BUFFERED_BODY_BYTES)
    if isinstance(content, bodies.BodyTooLarge):
        return bodies.MALFORMED
    return content


def _is_at_most_once(routed: request_reader.RoutedRequest) -> bool:
    return routed.request.request_class is request.RequestClass.AT_MOST_ONCE


def _verdict_before_key_lookup(
    exchange: inbound_exchange.InboundExchange, reason: verdict.Reason
) -> verdict.Verdict:
    """Returns the verdict on a request refused before its key is looked up.

    If the request has a ticket, an earlier copy of it may have run; only the
    key's owner can tell.
    """
    if headers.TICKET in exchange.headers:
        return verdict.may_have_run(reason)
    return verdict.not_run(reason)
