"""Reviews a configuration before operators put it into force.

Load pattern: operators write thousands of configurations a day, and each acts
on all traffic within seconds. An entry without effect, limits that contradict
each other or a key that is dropped by mistake is found before that.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING
from typing import Any

import attrs

from magnoliacrank.policy import transfer_budget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from magnoliacrank.model import configuration_listing
    from magnoliacrank.model import customer_table
    from magnoliacrank.model import route_plan


class Severity(enum.Enum):
    """How much a finding matters."""

    ERROR = "error"
    """Some entry would not act at all, or not as written."""

    WARNING = "warning"
    """The configuration would act, but perhaps not as meant."""


@attrs.frozen
class Finding:
    """One thing that operators should know before they use a configuration."""

    severity: Severity
    """How much it matters."""

    place: str
    """Entry that it is about, such as a route or a customer."""

    message: str
    """What is wrong with the entry."""


def review(
    listing: configuration_listing.ConfigurationListing,
    memory_bytes: int | None = None,
) -> list[Finding]:
    """Returns the findings about one configuration, errors first.

    Args:
        listing: The configuration.
        memory_bytes: Memory of the smallest instance; None if not known.
    """
    findings = [
        *_repeated(listing),
        *_routes(listing),
        *_services(listing),
        *_customers(listing.plan.customers),
        *_limits(listing.plan.limits, memory_bytes),
        *_empty_fields(listing.plan),
    ]
    findings.sort(key=lambda finding: finding.severity is Severity.WARNING)
    return findings


def _empty_fields(plan: route_plan.RoutePlan) -> Iterator[Finding]:
    for field in plan.empty_fields:
        yield _warning(field, "has no value and counts as missing")


def check_successor(
    before: route_plan.RoutePlan, after: route_plan.RoutePlan
) -> list[Finding]:
    """Returns what keeps a configuration from replacing the one in force.

    Args:
        before: Configuration in force.
        after: Configuration that is to replace it.
    """
    if after.version > before.version:
        return []
    return [
        _error(
            "version",
            f"{after.version} is not above {before.version}, which is in"
            " force; instances would ignore the configuration",
        )
    ]


def differences(
    before: route_plan.RoutePlan, after: route_plan.RoutePlan
) -> list[str]:
    """Returns what a new configuration changes, one line each, without keys.

    Args:
        before: Configuration in force.
        after: Configuration that is to replace it.
    """
    return [
        *_changes("service", before.services, after.services),
        *_changes("route", _by_place(before), _by_place(after)),
        *_changes("limits", {"": before.limits}, {"": after.limits}),
        *_customer_changes(before.customers, after.customers),
    ]


def _error(place: str, message: str) -> Finding:
    return Finding(Severity.ERROR, place, message)


def _warning(place: str, message: str) -> Finding:
    return Finding(Severity.WARNING, place, message)


def _repeated(
    listing: configuration_listing.ConfigurationListing,
) -> Iterator[Finding]:
    places = (
        ("host", listing.hosts),
        ("service", listing.services),
        (
            "route",
            [route.host + route.rule.path_prefix for route in listing.routes],
        ),
    )
    for kind, names in places:
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield _error(
                    f"{kind} {name}",
                    f"listed {count} times; only the last entry has an effect",
                )


def _routes(
    listing: configuration_listing.ConfigurationListing,
) -> Iterator[Finding]:
    for route in listing.routes:
        rule = route.rule
        place = f"route {rule.name}"
        prefix = rule.path_prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            yield _error(
                place,
                f"never matches: path prefix {prefix!r} doesn't begin and end"
                " with a slash",
            )
        if ":" in route.host:
            yield _error(
                place,
                f"never matches: host {route.host!r} has a port, which is cut"
                " off requests",
            )
        if rule.timeout_s <= 0:
            yield _error(place, "every request ends at once: timeout is zero")
        elif rule.timeout_s < rule.target_latency_s:
            yield _warning(
                place,
                f"timeout {rule.timeout_s:g}s is below the latency objective"
                f" {rule.target_latency_s:g}s",
            )
        if not route.has_known_kind:
            yield _warning(place, "kind is unknown: requests run at most once")
        for share in rule.shares:
            if share.service not in listing.plan.services:
                yield _error(place, f"unknown service {share.service!r}")
        for service in route.unused_services:
            yield _warning(
                place, f"service {service!r} has weight 0 and gets no request"
            )


def _services(
    listing: configuration_listing.ConfigurationListing,
) -> Iterator[Finding]:
    used = {
        share.service
        for rules in listing.plan.routes.values()
        for rule in rules.values()
        for share in rule.shares
    }
    for name, service in listing.plan.services.items():
        place = f"service {name}"
        if name not in used:
            yield _warning(place, "no route leads to it")
        if not service.max_connections:
            yield _error(place, "may have no connection")


def _customers(
    table: customer_table.CustomerTable | None,
) -> Iterator[Finding]:
    if table is None:
        return
    if not table.customers:
        yield _warning(
            "customers", "none is listed: all but public routes refuse callers"
        )
    for name in table.customers:
        if not table.key_count(name):
            yield _warning(f"customer {name}", "holds no API key")


def _limits(
    limits: route_plan.CallerLimits, memory_bytes: int | None
) -> Iterator[Finding]:
    if not limits.max_header_bytes:
        yield _error("limits", "every request is refused: no byte of a head")
    if memory_bytes is None:
        return
    body_bytes = int(memory_bytes * transfer_budget.BODY_MEMORY_SHARE)
    if limits.max_body_bytes > body_bytes:
        yield _warning(
            "limits",
            f"bodies may have {limits.max_body_bytes} bytes, but the smallest"
            f" instance takes {body_bytes}",
        )


def _by_place(plan: route_plan.RoutePlan) -> dict[str, route_plan.RouteRule]:
    return {
        host + prefix: rule
        for host, rules in plan.routes.items()
        for prefix, rule in rules.items()
    }


def _changes(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        place = f"{kind} {name}".strip()
        if name not in after:
            yield f"{place}: removed"
        elif name not in before:
            yield f"{place}: added"
        else:
            yield from (
                f"{place}: {change}"
                for change in _field_changes(before[name], after[name])
            )


def _field_changes(before: Any, after: Any) -> Iterable[str]:
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"{field.name}: {_shown(old)} -> {_shown(new)}"


def _shown(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return " ".join(f"{item.service}={item.weight:g}" for item in value)
    return str(value)


def _customer_changes(
    before: customer_table.CustomerTable | None,
    after: customer_table.CustomerTable | None,
) -> Iterator[str]:
    if before is None or after is None:
        if before is not after:
            needed = "are" if after is not None else "are no longer"
            yield f"customers: API keys {needed} required"
        return
    yield from _changes("customer", before.customers, after.customers)
    for name in sorted(before.customers.keys() & after.customers.keys()):
        added, removed = after.key_changes(before, name)
        if added or removed:
            yield f"customer {name}: {added} keys added, {removed} removed"
