"""ConfigurationListing: a configuration with entries that have no effect."""

from __future__ import annotations

import attrs

from magnoliacrank.model import route_plan


@attrs.frozen
class ListedRoute:
    """One route as operators listed it."""

    host: str
    """Host of the route, in lower case."""

    rule: route_plan.RouteRule
    """The route."""

    unused_services: tuple[str, ...] = ()
    """Services that the route names with a weight of zero."""

    has_known_kind: bool = True
    """Whether the kind of its requests is known; otherwise they run at most
    once."""


@attrs.frozen
class ConfigurationListing:
    """Operators' configuration, entry by entry.

    `RoutePlan` holds only what is in force: of several entries with the same
    name, host or path prefix the last.
    """

    plan: route_plan.RoutePlan
    """What would be in force."""

    routes: tuple[ListedRoute, ...]
    """Routes in their order."""

    hosts: tuple[str, ...]
    """Hosts in their order, in lower case."""

    services: tuple[str, ...]
    """Names of the services in their order."""
