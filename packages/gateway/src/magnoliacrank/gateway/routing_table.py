"""RoutingTable: looks up the service and route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import configuration
from magnoliacrank.model import ids
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class RoutedService:
    """One service of the routing table, with its customer and routes."""

    customer: ids.CustomerId
    """Customer that the service belongs to."""

    plan: configuration.ServicePlan
    """Configuration of the service."""

    routes: tuple[configuration.Route, ...]
    """Routes, the longest path prefix first."""

    def find_route(self, method: str, path: str) -> configuration.Route | None:
        """Returns the matching route with the longest path prefix, or None.

        Args:
            method: HTTP method of the request.
            path: Path of the request, without the query.
        """
        for route in self.routes:
            if not path.startswith(route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None


@attrs.frozen
class NotRouted:
    """The customer has no service of the requested name."""

    reason: verdict.Reason
    """Whether no service has the name, or the service isn't the customer's."""


class RoutingTable:
    """Services of one configuration by name.

    Args:
        active_configuration: Configuration with the services.
    """

    def __init__(
        self, active_configuration: configuration.Configuration
    ) -> None:
        self._services: Mapping[ids.ServiceName, RoutedService] = {
            service.name: _route_service(plan.customer, service)
            for plan in active_configuration.plans
            for service in plan.services
        }

    def find_service(
        self, name: ids.ServiceName, customer: ids.CustomerId
    ) -> RoutedService | NotRouted:
        """Returns a service if it belongs to the customer.

        Args:
            name: Name of the service.
            customer: Customer named in the request.

        Returns:
            The service, or why there is none.
        """
        service = self._services.get(name)
        if service is None:
            return NotRouted(verdict.Reason.UNKNOWN_SERVICE)
        if service.customer != customer:
            return NotRouted(verdict.Reason.UNKNOWN_CUSTOMER)
        return service


def _route_service(
    customer: ids.CustomerId, plan: configuration.ServicePlan
) -> RoutedService:
    routes = sorted(
        plan.routes, key=lambda route: len(route.path_prefix), reverse=True
    )
    return RoutedService(customer=customer, plan=plan, routes=tuple(routes))
