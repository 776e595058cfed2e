"""EntryHandler: serves the instance's own HTTP paths and service requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib import parse as urllib_parse

import msgspec

from magnoliacrank.gateway import crew_forwarder
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import request_carrier
from magnoliacrank.model import headers
from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import entry_order

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from magnoliacrank.gateway import forwarder
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.gateway import instance_status
    from magnoliacrank.gateway import key_guard
    from magnoliacrank.gateway import peer_directory
    from magnoliacrank.gateway import service_directory
    from magnoliacrank.model import instance

_FORWARD_TIMEOUT_S = 1.0
_JSON = ("Content-Type", "application/json")
_TEXT = ("Content-Type", "text/plain; charset=utf-8")
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503


class EntryHandler:
    """Handles the HTTP requests of callers and operators on one port.

    A request to one of the instance's own paths that names no service is
    answered here; any other is a request for a service.

    Args:
        own: This instance.
        carrier: Handles requests for services.
        services: Services in the configuration, with their crews.
        keys: Issues tickets; a ticket names the instance that deduplicates
            the idempotency keys made under it.
        peers: Directory of the live instances.
        peer_forwarder: Sends requests to other instances.
        status: Contents of the status, notices, readiness and metrics paths.
        entry_ttl_s: Seconds for which callers may cache the list of entry
            instances.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        *,
        own: instance.EntryInstance,
        carrier: request_carrier.RequestCarrier,
        services: service_directory.ServiceDirectory,
        keys: key_guard.KeyGuard,
        peers: peer_directory.PeerDirectory,
        peer_forwarder: forwarder.Forwarder,
        status: instance_status.InstanceStatus,
        entry_ttl_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._carrier = carrier
        self._services = services
        self._keys = keys
        self._peers = peers
        self._forwarder = peer_forwarder
        self._status = status
        self._entry_ttl_s = entry_ttl_s
        self._clock = clock
        self._paths: Mapping[
            str,
            Callable[[inbound_exchange.InboundExchange], Awaitable[None]],
        ] = {
            headers.ENTRIES_PATH: self._on_entries,
            headers.STATUS_PATH: self._on_status,
            headers.NOTICES_PATH: self._on_notices,
            headers.HEALTH_PATH: self._on_health,
            headers.READY_PATH: self._on_ready,
            headers.METRICS_PATH: self._on_metrics,
        }

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers one HTTP request.

        Args:
            exchange: HTTP exchange with the caller.
        """
        path_handler = self._paths.get(exchange.path)
        if path_handler is None or headers.SERVICE in exchange.headers:
            await self._carrier.on_request(exchange)
        else:
            await path_handler(exchange)

    async def _on_entries(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        query = _parse_query(exchange)
        name = ids.ServiceName(query.get("service", ""))
        runtime = self._services.find(name)
        if not self._status.is_ready or (
            runtime is not None and runtime.crew is None
        ):
            await _refuse(exchange, verdict.Reason.NOT_READY)
            return
        if runtime is None or runtime.crew is None:
            await _refuse(exchange, verdict.Reason.UNKNOWN_SERVICE)
            return
        entries = entry_order.order_entries(
            runtime.crew,
            self._live_instances(),
            ids.DataCentre(query.get("data_centre", self._own.data_centre)),
            query.get("caller", str(exchange.received_s)),
        )
        if headers.FORWARDED_BY not in exchange.headers:
            for peer in entries:
                if peer.instance_id == self._own.instance_id:
                    break
                if await self._relay_from_preferred(exchange, peer):
                    return
        await self._answer_entries(exchange, name, entries)

    def _live_instances(self) -> list[instance.EntryInstance]:
        active_configuration = self._services.active_configuration
        return [
            one
            for one in self._peers.members
            if active_configuration.is_data_centre_in(one.data_centre)
        ]

    async def _relay_from_preferred(
        self,
        exchange: inbound_exchange.InboundExchange,
        peer: instance.EntryInstance,
    ) -> bool:
        """Relays the answer of a preferred instance, with a ticket it issued.

        Returns:
            Whether it answered with status 200.
        """
        deadline_s = self._clock() + _FORWARD_TIMEOUT_S
        received = await self._forwarder.send(exchange, peer, b"", deadline_s)
        if isinstance(received, exchange_failure.ExchangeFailure):
            return False
        if received.status != _STATUS_OK:
            received.release()
            return False
        await crew_forwarder.relay_forwarded(exchange, received)
        return True

    async def _answer_entries(
        self,
        exchange: inbound_exchange.InboundExchange,
        name: ids.ServiceName,
        entries: tuple[instance.EntryInstance, ...],
    ) -> None:
        own_id = self._own.instance_id
        ordered = sorted(entries, key=lambda one: one.instance_id != own_id)
        rows = [
            {
                "instance": one.instance_id,
                "data_centre": one.data_centre,
                "host": one.host,
                "port": one.http_port,
            }
            for one in ordered
        ]
        document = {
            "service": name,
            "entries": rows,
            "ttl_s": self._entry_ttl_s,
            "ticket": self._keys.issue_ticket(name),
        }
        await _answer_json(exchange, _STATUS_OK, document)

    async def _on_status(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        await _answer_json(exchange, _STATUS_OK, self._status.describe())

    async def _on_notices(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        text = _parse_query(exchange).get("from_offset", "0")
        from_offset = wire_values.parse_integer(text) or 0
        rows = self._status.notices(from_offset)
        await _answer_json(exchange, _STATUS_OK, {"notices": rows})

    async def _on_health(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        await exchange.answer(_STATUS_OK, [_TEXT], b"ok\n")

    async def _on_ready(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        reason = self._status.readiness
        status = _STATUS_OK if self._status.is_ready else _STATUS_UNAVAILABLE
        await exchange.answer(status, [_TEXT], f"{reason}\n".encode())

    async def _on_metrics(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        content, content_type = self._status.metrics(
            exchange.headers.getall("Accept", [])
        )
        fields = [("Content-Type", content_type)]
        await exchange.answer(_STATUS_OK, fields, content)


def _parse_query(exchange: inbound_exchange.InboundExchange) -> dict[str, str]:
    _, _, text = exchange.target.partition("?")
    return dict(urllib_parse.parse_qsl(text))


async def _refuse(
    exchange: inbound_exchange.InboundExchange, reason: verdict.Reason
) -> None:
    await request_carrier.answer_verdict(exchange, verdict.not_run(reason))


async def _answer_json(
    exchange: inbound_exchange.InboundExchange, status: int, document: object
) -> None:
    await exchange.answer(status, [_JSON], msgspec.json.encode(document))
