"""Codec of the store records that operators write and read."""

from __future__ import annotations

from typing import Any

import msgspec

from magnoliacrank.model import configuration_listing
from magnoliacrank.model import orders
from magnoliacrank.model import route_plan
from magnoliacrank.platform import customer_wire
from magnoliacrank.platform import wire_values

CONFIGURATION_KEY = "config"
"""Key of the record with the configuration."""

_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"

_REQUEST_KINDS = {
    "safe": route_plan.RequestKind.IDEMPOTENT,
    "download": route_plan.RequestKind.IDEMPOTENT,
    "unsafe": route_plan.RequestKind.AT_MOST_ONCE,
    "upload": route_plan.RequestKind.AT_MOST_ONCE,
}
"""Request kind by its name in the configuration; see docs/design/kinds.md.

Requests of a kind that isn't listed run at most once.
"""


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre of an evacuation record's key.

    An evacuation takes the data centre out of service. The result is None for
    the key of another record.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX)


def rollout_service(key: str) -> str | None:
    """Returns the service of a roll-out record's key, None for another key."""
    if not key.startswith(_ROLLOUT_PREFIX):
        return None
    return key.removeprefix(_ROLLOUT_PREFIX)


def rollout_key(service: str) -> str:
    """Returns the key of the record with a roll-out's order or status."""
    return _ROLLOUT_PREFIX + service


def decode_rollout(service: str, value: bytes) -> orders.RolloutOrder:
    """Decodes an operator's order of a roll-out.

    Raises:
        WireValueError: The order is malformed.
    """
    fields = wire_values.decode_json(value)
    return orders.RolloutOrder(
        service=service,
        target_version=wire_values.read_string(fields, "target-version"),
        duration_s=wire_values.read_duration_s(fields, "duration"),
    )


def encode_rollout_status(status: orders.RolloutStatus) -> bytes:
    """Encodes the recorded state of a roll-out."""
    return msgspec.json.encode(
        {
            "service": status.service,
            "target-version": status.target_version,
            "state": status.state.value,
        }
    )


def decode_rollout_status(service: str, value: bytes) -> orders.RolloutStatus:
    """Decodes the recorded state of a roll-out.

    Raises:
        WireValueError: The record is malformed.
    """
    fields = wire_values.decode_json(value)
    state = wire_values.read_string(fields, "state")
    try:
        known = orders.RolloutState(state)
    except ValueError as error:
        raise wire_values.WireValueError(f"state: {state!r}") from error
    return orders.RolloutStatus(
        service=service,
        target_version=wire_values.read_string(fields, "target-version"),
        state=known,
    )


def decode_configuration(value: bytes) -> route_plan.RoutePlan:
    """Decodes the operators' configuration.

    Raises:
        WireValueError: The configuration is malformed.
    """
    fields = wire_values.decode_json(value)
    if not isinstance(fields, dict):
        # The message doesn't show the document: it may contain API keys.
        raise wire_values.WireValueError("configuration: not a mapping")
    services = [
        _decode_service(item)
        for item in wire_values.read_list(fields, "services")
    ]
    routes = {
        wire_values.read_string(item, "host").lower(): _decode_routes(item)
        for item in wire_values.read_list(fields, "virtual-hosts")
    }
    limits = wire_values.read_mapping(fields, "limits")
    customers = customer_wire.decode_customers(fields)
    empty_fields = set(wire_values.drop_empty(fields, depth=1)[1])
    if customers is not None:
        # An empty list of customers isn't the same as none.
        empty_fields.discard(customer_wire.CUSTOMERS)
    return route_plan.RoutePlan(
        version=wire_values.read_integer(fields, "version"),
        routes=routes,
        services={service.name: service for service in services},
        limits=route_plan.CallerLimits(
            max_header_bytes=wire_values.read_integer(
                limits, "max-header-bytes"
            ),
            max_body_bytes=wire_values.read_integer(limits, "max-body-bytes"),
            header_timeout_s=wire_values.read_duration_s(
                limits, "header-timeout"
            ),
            idle_timeout_s=wire_values.read_duration_s(limits, "idle-timeout"),
        ),
        customers=customers,
        empty_fields=tuple(sorted(empty_fields)),
    )


def decode_listing(
    value: bytes,
) -> configuration_listing.ConfigurationListing:
    """Decodes a configuration with the entries that have no effect.

    Raises:
        WireValueError: The configuration is malformed.
    """
    plan = decode_configuration(value)
    fields = wire_values.decode_json(value)
    hosts = [
        (wire_values.read_string(item, "host").lower(), item["paths"])
        for item in wire_values.read_list(fields, "virtual-hosts")
    ]
    return configuration_listing.ConfigurationListing(
        plan=plan,
        routes=tuple(
            configuration_listing.ListedRoute(
                host,
                _decode_route(path),
                _unused_services(path),
                has_known_kind=path["kind"] in _REQUEST_KINDS,
            )
            for host, paths in hosts
            for path in paths
        ),
        hosts=tuple(host for host, _ in hosts),
        services=tuple(
            wire_values.read_string(item, "name")
            for item in wire_values.read_list(fields, "services")
        ),
    )


def _unused_services(fields: Any) -> tuple[str, ...]:
    """Returns the services that a route names with a weight of zero."""
    return tuple(
        item["service"]
        for item in fields.get("traffic-split") or ()
        if not item["weight"]
    )


def _decode_service(fields: Any) -> route_plan.ServiceSettings:
    return route_plan.ServiceSettings(
        name=wire_values.read_string(fields, "name"),
        health_path=wire_values.read_string(fields, "health-path"),
        max_connections=wire_values.read_integer(fields, "max-connections"),
        warmup_s=wire_values.read_duration_s(fields, "warmup"),
        warmup_per_s=wire_values.read_number(fields, "warmup-per-s"),
    )


def _decode_routes(fields: Any) -> dict[str, route_plan.RouteRule]:
    rules = [
        _decode_route(item) for item in wire_values.read_list(fields, "paths")
    ]
    return {rule.path_prefix: rule for rule in rules}


def _decode_route(fields: Any) -> route_plan.RouteRule:
    kind = wire_values.read_string(fields, "kind")
    return route_plan.RouteRule(
        name=wire_values.read_string(fields, "name"),
        path_prefix=wire_values.read_string(fields, "path-prefix"),
        kind=_REQUEST_KINDS.get(kind, route_plan.RequestKind.AT_MOST_ONCE),
        timeout_s=wire_values.read_duration_s(fields, "timeout"),
        target_latency_s=wire_values.read_duration_s(fields, "target-latency"),
        priority=wire_values.read_integer(fields, "priority"),
        max_attempts=wire_values.read_integer(fields, "max-attempts", 1),
        shares=_decode_shares(fields),
        is_public=wire_values.read_boolean(fields, "public", default=False),
    )


def _decode_shares(fields: Any) -> tuple[route_plan.ServiceShare, ...]:
    if wire_values.is_empty(fields.get("traffic-split")):
        name = wire_values.read_string(fields, "service")
        return (route_plan.ServiceShare(name, 1.0),)
    shares = tuple(
        route_plan.ServiceShare(
            wire_values.read_string(item, "service"),
            wire_values.read_number(item, "weight"),
        )
        for item in wire_values.read_list(fields, "traffic-split")
    )
    used = tuple(share for share in shares if share.weight > 0)
    if not used:
        raise wire_values.WireValueError(
            "traffic-split: no service has a positive weight"
        )
    return used
