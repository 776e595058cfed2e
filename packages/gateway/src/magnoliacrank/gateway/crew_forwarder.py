"""CrewForwarder: forwards a request to a member of the service's crew.

The crew of a service is the set of instances that own its slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import answer_relay
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import framing
from magnoliacrank.model import headers
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from magnoliacrank.gateway import answer as answers
    from magnoliacrank.gateway import body
    from magnoliacrank.gateway import forwarder
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import service_runtime
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance

_TRY_NEXT_REASONS = frozenset(
    reason.value
    for reason in (
        verdict.Reason.NOT_READY,
        verdict.Reason.SHUTTING_DOWN,
    )
)

ForwardResult = answer_relay.Delivered | verdict.Verdict
"""Outcome of a forwarded request."""


class CrewForwarder:
    """Forwards requests to crew members, those in this data centre first.

    Args:
        own: This instance.
        peers: Directory of the live instances.
        peer_forwarder: Sends a request to one given instance.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        peers: peer_directory.PeerDirectory,
        peer_forwarder: forwarder.Forwarder,
    ) -> None:
        self._own = own
        self._peers = peers
        self._peer_forwarder = peer_forwarder

    async def forward(
        self,
        exchange: inbound_exchange.InboundExchange,
        runtime: service_runtime.ServiceRuntime,
        content: bytes | body.BodySource,
        deadline_s: float,
        *,
        owner: ids.InstanceId | None = None,
        is_delegated: bool = False,
    ) -> ForwardResult:
        """Tries crew members in turn until one may have run the request.

        Args:
            exchange: HTTP exchange with the caller.
            runtime: State of the request's service on this instance.
            content: Body of the request; a streamed body can be sent to only
                one member.
            deadline_s: Deadline on the monotonic clock, in seconds.
            owner: The only member that may run the request, or None for any.
            is_delegated: Whether this instance owns the request's idempotency
                key and asks the member for the key's only dispatch.

        Returns:
            The delivered answer, or the verdict on a request that failed.
        """
        result = verdict.not_run(verdict.Reason.NOT_READY)
        for peer in self._candidates(runtime, owner):
            received = await self._peer_forwarder.send(
                exchange,
                peer,
                content,
                deadline_s,
                is_delegated=is_delegated,
            )
            if isinstance(received, exchange_failure.ExchangeFailure):
                result = received.verdict
            elif _should_try_next(received):
                received.release()
                result = verdict.not_run(verdict.Reason.NOT_READY)
            else:
                return await relay_forwarded(exchange, received)
            if result.may_have_run or not isinstance(content, bytes):
                break
        return result

    def _candidates(
        self,
        runtime: service_runtime.ServiceRuntime,
        owner: ids.InstanceId | None,
    ) -> list[instance.EntryInstance]:
        if runtime.crew is None:
            return []
        found = [
            self._peers.find(member.instance_id)
            for member in runtime.crew.members
            if owner is None or member.instance_id == owner
        ]
        others = [
            peer
            for peer in found
            if peer is not None and peer.instance_id != self._own.instance_id
        ]
        own = self._own.data_centre
        others.sort(key=lambda peer: peer.data_centre != own)
        return others


async def relay_forwarded(
    exchange: inbound_exchange.InboundExchange, received: answers.Answer
) -> ForwardResult:
    """Relays the answer of another instance to the caller.

    Args:
        exchange: HTTP exchange with the caller.
        received: Answer of the other instance; it is released here.

    Returns:
        The delivered answer if its verdict is done; otherwise the verdict in
        the answer's headers, or that of the failure to relay it.
    """
    stated = _stated_verdict(received)
    fields = framing.end_to_end(received.headers)
    result = await answer_relay.relay(exchange, received, fields)
    if isinstance(result, exchange_failure.ExchangeFailure):
        return result.verdict
    if stated is not None and isinstance(result, answer_relay.Delivered):
        return stated
    return result


def _should_try_next(received: answers.Answer) -> bool:
    stated = received.headers.get(headers.VERDICT)
    if stated != verdict.Outcome.NOT_RUN.value:
        return False
    return received.headers.get(headers.REASON) in _TRY_NEXT_REASONS


def _stated_verdict(received: answers.Answer) -> verdict.Verdict | None:
    """Returns the verdict in an answer's headers, or None if it is done.

    Unreadable headers count as a request that may have run.
    """
    stated = received.headers.get(headers.VERDICT, "")
    if stated == verdict.Outcome.DONE.value:
        return None
    try:
        return verdict.Verdict(
            verdict.Outcome(stated),
            verdict.Reason(received.headers.get(headers.REASON, "")),
        )
    except ValueError:
        return verdict.may_have_run(verdict.Reason.OWNER_UNREACHABLE)
