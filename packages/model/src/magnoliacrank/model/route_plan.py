"""RoutePlan: the routes and services that operators have put into force."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    AT_MOST_ONCE = "at-most-once"
    """Runs at most once for each attempt of a caller."""


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that one service gets."""

    service: str
    """Name of the service."""

    weight: float
    """Share in proportion to the other weights of the route."""


@attrs.frozen
class RouteRule:
    """One route of a host."""

    name: str
    """Name that operators gave it."""

    path_prefix: str
    """Prefix of the paths that it takes; begins and ends with a slash."""

    kind: RequestKind
    """What may be repeated."""

    timeout_s: float
    """Longest time in seconds until a caller has its final answer."""

    target_latency_s: float
    """Latency objective in seconds."""

    priority: int
    """Rank; 0 is the highest."""

    max_attempts: int
    """Most backend servers that one request may be sent to."""

    shares: tuple[ServiceShare, ...]
    """Services that share the requests; never empty."""


@attrs.frozen
class ServicePlan:
    """What operators say of one service."""

    name: str
    """Name of the service."""

    health_path: str
    """Path that reports health and load."""

    max_connections: int
    """Connections that one backend server accepts from all callers."""

    warmup_s: float
    """Seconds for which a started backend server is cold."""

    warmup_per_s: float
    """Requests a second that a cold backend server bears."""


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take."""

    max_header_bytes: int
    """Largest head of a request."""

    max_body_bytes: int
    """Largest body of a request."""

    header_timeout_s: float
    """Longest time for a head, in seconds."""

    idle_timeout_s: float
    """Longest time between two requests on a connection, in seconds."""


@attrs.frozen
class RoutePlan:
    """One accepted version of the configuration."""

    version: int
    """Grows with each change, in uneven steps."""

    routes: Mapping[str, Mapping[str, RouteRule]]
    """Routes by host, then by path prefix."""

    services: Mapping[str, ServicePlan]
    """Services by name."""

    limits: CallerLimits
    """Limits on callers."""

    @property
    def highest_priority(self) -> int:
        """Rank of the most urgent routes."""
        ranks = [
            rule.priority
            for rules in self.routes.values()
            for rule in rules.values()
        ]
        return min(ranks, default=0)

    def services_of(self, host: str) -> set[str]:
        """Returns the services that a host's routes lead to.

        Args:
            host: Host, without a port, in lower case.
        """
        return {
            share.service
            for rule in self.routes.get(host, {}).values()
            for share in rule.shares
        }

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
            host: Host of the request, without a port, in lower case.
            path: Path without the query.
        """
        rules = self.routes.get(host)
        if rules is None:
            return None
        for prefix in _prefixes(path):
            rule = rules.get(prefix)
            if rule is not None:
                return rule
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
