"""CrewForwarder: finds a member of a crew that carries a request."""

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

_PASSED_ON = frozenset(
    reason.value
    for reason in (
        verdict.Reason.NOT_READY,
        verdict.Reason.SHUTTING_DOWN,
    )
)

Forwarded = answer_relay.Delivered | verdict.Verdict
"""What became of a request that was passed on."""


class CrewForwarder:
    """Passes requests on to members of a crew, the nearest first.

    Args:
        own: This instance.
        peers: Live instances.
        forwards: Passes a request on to one instance.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        peers: peer_directory.PeerDirectory,
        forwards: forwarder.Forwarder,
    ) -> None:
        self._own = own
        self._peers = peers
        self._forwards = forwards

    async def forward(
        self,
        exchange: inbound_exchange.InboundExchange,
        runtime: service_runtime.ServiceRuntime,
        content: bytes | body.BodySource,
        deadline_s: float,
        *,
        owner: ids.InstanceId | None = None,
        is_delegated: bool = False,
    ) -> Forwarded:
        """Passes a request on until a member may have run it.

        Args:
            exchange: The caller's side.
            runtime: The service.
            content: Body; a streamed one goes to one member only.
            deadline_s: Monotonic time in seconds.
            owner: The only member that may run it, or None for any.
            is_delegated: Whether this instance owns the request's key.
        """
        result = verdict.not_run(verdict.Reason.NOT_READY)
        for peer in self._candidates(runtime, owner):
            received = await self._forwards.send(
                exchange,
                peer,
                content,
                deadline_s,
                is_delegated=is_delegated,
            )
            if isinstance(received, exchange_failure.ExchangeFailure):
                result = received.verdict
            elif _is_passed_on(received):
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
) -> Forwarded:
    """Relays the answer of another instance with the verdict that it states.

    Args:
        exchange: The caller's side.
        received: The answer; it is released.

    Returns:
        What was delivered, or the verdict that the answer stated or came to.
    """
    stated = _stated_verdict(received)
    fields = framing.end_to_end(received.headers)
    result = await answer_relay.relay(exchange, received, fields)
    if isinstance(result, exchange_failure.ExchangeFailure):
        return result.verdict
    if stated is not None and isinstance(result, answer_relay.Delivered):
        return stated
    return result


def _is_passed_on(received: answers.Answer) -> bool:
    stated = received.headers.get(headers.VERDICT)
    if stated != verdict.Outcome.NOT_RUN.value:
        return False
    return received.headers.get(headers.REASON) in _PASSED_ON


def _stated_verdict(received: answers.Answer) -> verdict.Verdict | None:
    """Returns the verdict that an answer states, or None for a done one."""
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
