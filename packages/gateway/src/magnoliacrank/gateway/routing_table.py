"""RoutingTable: finds service and route of a request in one configuration."""

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
    """One service with its customer, ready for look-ups."""

    customer: ids.CustomerId
    """Customer whose plan names the service."""

    plan: configuration.ServicePlan
    """The service's plan."""

    routes: tuple[configuration.Route, ...]
    """Routes, the longest path prefix first."""

    def find_route(self, method: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self.routes:
            if not path.startswith(route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None


@attrs.frozen
class NotRouted:
    """No service or route matches."""

    reason: verdict.Reason
    """Why."""


class RoutingTable:
    """Services of one configuration by name."""

    def __init__(self, lists: configuration.Configuration) -> None:
        self._services: Mapping[ids.ServiceName, RoutedService] = {
            service.name: _route_service(plan.customer, service)
            for plan in lists.plans
            for service in plan.services
        }

    def find_service(
        self, name: ids.ServiceName, customer: ids.CustomerId
    ) -> RoutedService | NotRouted:
        """Returns a service if it belongs to the customer.

        Args:
            name: Name of the service.
            customer: Customer that the caller stated.

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
