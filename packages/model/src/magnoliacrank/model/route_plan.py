"""RoutePlan: the routes and services in the operators' configuration."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import customer_table

if TYPE_CHECKING:
    from collections.abc import Iterator


class RequestKind(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    AT_MOST_ONCE = "at-most-once"
    """Runs at most once for each attempt of the caller."""


@attrs.frozen
class ServiceShare:
    """Fraction of a route's requests that one service gets."""

    service: str
    """Name of the service."""

    weight: float
    """Weight of the service, relative to the other weights of the route."""


@attrs.frozen
class RouteRule:
    """One route of a virtual host: its path prefix, limits and services."""

    name: str
    """Name that the operators gave the route."""

    path_prefix: str
    """Prefix of the request paths that match; begins and ends with a slash."""

    kind: RequestKind
    """Whether the route's requests may run more than once."""

    timeout_s: float
    """Longest time in seconds until the caller has its final response."""

    target_latency_s: float
    """Latency objective in seconds."""

    priority: int
    """Priority of the route's requests; 0 is the most urgent."""

    max_attempts: int
    """Largest number of backend servers that one request may be sent to."""

    shares: tuple[ServiceShare, ...]
    """Services that share the requests; never empty."""

    is_public: bool = False
    """Whether callers without a valid API key may use the route."""


@attrs.frozen
class ServiceSettings:
    """Settings of one service in the operators' configuration."""

    name: str
    """Name of the service."""

    health_path: str
    """Path on which the backend servers report their health and load."""

    max_connections: int
    """Number of connections that a backend server accepts from all callers."""

    warmup_s: float
    """Seconds for which a backend server is cold after its start."""

    warmup_per_s: float
    """Rate of requests that a cold backend server can take, per second."""


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts for the requests of callers."""

    max_header_bytes: int
    """Largest request head, in bytes."""

    max_body_bytes: int
    """Largest request body, in bytes."""

    header_timeout_s: float
    """Longest time for receiving a request head, in seconds."""

    idle_timeout_s: float
    """Longest idle time between two requests on a connection, in seconds."""


@attrs.frozen
class RoutePlan:
    """One version of the operators' configuration, decoded."""

    version: int
    """Version number; grows with each change, not always by one."""

    routes: Mapping[str, Mapping[str, RouteRule]]
    """Routes by host, then by path prefix."""

    services: Mapping[str, ServiceSettings]
    """Services by name."""

    limits: CallerLimits
    """Limits on the requests of callers."""

    customers: customer_table.CustomerTable | None = None
    """Customers and their API keys; None if callers need no key."""

    empty_fields: tuple[str, ...] = ()
    """Top-level fields of the configuration that are there without a value."""

    @property
    def highest_priority(self) -> int:
        """Priority of the most urgent requests; 0 if there are no routes.

        The priority of a customer holds on all routes. The priorities of
        routes count for callers without such a customer.
        """
        table = self.customers
        own = [] if table is None else list(table.customers.values())
        own_ranks = [
            customer.priority
            for customer in own
            if customer.priority is not None
        ]
        uses_routes = table is None or len(own_ranks) < len(own)
        route_ranks = [
            rule.priority
            for rules in self.routes.values()
            for rule in rules.values()
            if rule.is_public or uses_routes
        ]
        return min(own_ranks + route_ranks, default=0)

    def services_of(self, host: str) -> set[str]:
        """Returns the services that get requests of a host's routes.

        Args:
            host: Host, without a port, in lower case.
        """
        return {
            share.service
            for rule in self.routes.get(host, {}).values()
            for share in rule.shares
        }

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            host: Host of the request, without a port, in lower case.
            path: Path without the query.
        """
        rules = self.routes.get(host)
        if rules is None:
            return None
        for prefix in _path_prefixes(path):
            rule = rules.get(prefix)
            if rule is not None:
                return rule
        return None


def _path_prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
