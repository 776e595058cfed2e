"""Decodes what operators write to the store, and encodes what they read."""

from __future__ import annotations

from typing import Any

import msgspec

from magnoliacrank.model import orders
from magnoliacrank.model import route_plan
from magnoliacrank.platform import wire_values

CONFIGURATION_KEY = "config"
"""Key of the newest configuration."""

_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"

_KINDS = {"safe": route_plan.RequestKind.IDEMPOTENT}
"""Kinds whose requests may be repeated; all others run at most once."""


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that a key's record takes out, if it does."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX)


def rollout_service(key: str) -> str | None:
    """Returns the service whose roll-out a key's record orders, if it does."""
    if not key.startswith(_ROLLOUT_PREFIX):
        return None
    return key.removeprefix(_ROLLOUT_PREFIX)


def rollout_key(service: str) -> str:
    """Returns the key of a roll-out's status."""
    return _ROLLOUT_PREFIX + service


def decode_rollout(service: str, value: bytes) -> orders.RolloutOrder:
    """Decodes the order of a roll-out.

    Raises:
        WireValueError: It can't be read.
    """
    fields = _decode(value)
    return orders.RolloutOrder(
        service=service,
        target_version=wire_values.read_text(fields, "target-version"),
        duration_s=wire_values.read_duration_s(fields, "duration"),
    )


def encode_rollout_status(status: orders.RolloutStatus) -> bytes:
    """Encodes the state of a roll-out for operators."""
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
        WireValueError: It can't be read.
    """
    fields = _decode(value)
    state = wire_values.read_text(fields, "state")
    try:
        known = orders.RolloutState(state)
    except ValueError as error:
        raise wire_values.WireValueError(f"state: {state!r}") from error
    return orders.RolloutStatus(
        service=service,
        target_version=wire_values.read_text(fields, "target-version"),
        state=known,
    )


def decode_configuration(value: bytes) -> route_plan.RoutePlan:
    """Decodes a configuration.

    Raises:
        WireValueError: It can't be read.
    """
    fields = _decode(value)
    services = [
        _decode_service(item)
        for item in wire_values.read_list(fields, "services")
    ]
    routes = {
        wire_values.read_text(item, "host").lower(): _decode_routes(item)
        for item in wire_values.read_list(fields, "virtual-hosts")
    }
    limits = wire_values.read_table(fields, "limits")
    return route_plan.RoutePlan(
        version=wire_values.read_whole(fields, "version"),
        routes=routes,
        services={service.name: service for service in services},
        limits=route_plan.CallerLimits(
            max_header_bytes=wire_values.read_whole(limits, "max-header-bytes"),
            max_body_bytes=wire_values.read_whole(limits, "max-body-bytes"),
            header_timeout_s=wire_values.read_duration_s(
                limits, "header-timeout"
            ),
            idle_timeout_s=wire_values.read_duration_s(limits, "idle-timeout"),
        ),
    )


def _decode(value: bytes) -> Any:
    try:
        return msgspec.json.decode(value)
    except ValueError as error:
        raise wire_values.WireValueError(str(error)) from error


def _decode_service(fields: Any) -> route_plan.ServicePlan:
    return route_plan.ServicePlan(
        name=wire_values.read_text(fields, "name"),
        health_path=wire_values.read_text(fields, "health-path"),
        max_connections=wire_values.read_whole(fields, "max-connections"),
        warmup_s=wire_values.read_duration_s(fields, "warmup"),
        warmup_per_s=wire_values.read_number(fields, "warmup-per-s"),
    )


def _decode_routes(fields: Any) -> dict[str, route_plan.RouteRule]:
    rules = [
        _decode_route(item) for item in wire_values.read_list(fields, "paths")
    ]
    return {rule.path_prefix: rule for rule in rules}


def _decode_route(fields: Any) -> route_plan.RouteRule:
    kind = wire_values.read_text(fields, "kind")
    return route_plan.RouteRule(
        name=wire_values.read_text(fields, "name"),
        path_prefix=wire_values.read_text(fields, "path-prefix"),
        kind=_KINDS.get(kind, route_plan.RequestKind.AT_MOST_ONCE),
        timeout_s=wire_values.read_duration_s(fields, "timeout"),
        target_latency_s=wire_values.read_duration_s(fields, "target-latency"),
        priority=wire_values.read_whole(fields, "priority"),
        max_attempts=wire_values.read_whole(fields, "max-attempts", 1),
        shares=_decode_shares(fields),
    )


def _decode_shares(fields: Any) -> tuple[route_plan.ServiceShare, ...]:
    if "traffic-split" not in fields:
        name = wire_values.read_text(fields, "service")
        return (route_plan.ServiceShare(name, 1.0),)
    shares = tuple(
        route_plan.ServiceShare(
            wire_values.read_text(item, "service"),
            wire_values.read_number(item, "weight"),
        )
        for item in wire_values.read_list(fields, "traffic-split")
    )
    used = tuple(share for share in shares if share.weight > 0)
    if not used:
        raise wire_values.WireValueError("traffic-split: no positive weight")
    return used
