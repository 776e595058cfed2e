"""Configuration: the two lists that operators edit, as typed data."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request


class DataCentreState(enum.Enum):
    """Whether a data centre takes work."""

    IN = "in"
    OUT = "out"


@attrs.frozen
class Route:
    """One route of a service."""

    name: str
    """Name, unique within the service."""

    path_prefix: str
    """Requests whose path starts so take this route; the longest wins."""

    request_class: request.RequestClass
    """How often a request on this route may run."""

    deadline_ms: int
    """Longest time for an answer, in milliseconds."""

    methods: tuple[str, ...] = ()
    """Methods of this route; empty means all."""

    key_mode: request.KeyMode = request.KeyMode.TICKETED
    """How keys are guarded on an at-most-once route."""


@attrs.frozen
class ServicePlan:
    """Where one service runs, at which version, with which routes."""

    name: ids.ServiceName
    """Name of the service."""

    version: ids.SoftwareVersion
    """Version that all traffic shall reach."""

    data_centres: tuple[ids.DataCentre, ...]
    """Data centres in which it runs."""

    routes: tuple[Route, ...]
    """Routes, in the order of the list."""

    move_deadline_s: float | None = None
    """Unix time in seconds by which a move to `version` is done."""


@attrs.frozen
class CustomerPlan:
    """Services of one customer."""

    customer: ids.CustomerId
    """Name of the customer."""

    services: tuple[ServicePlan, ...]
    """Services, in the order of the list."""


@attrs.frozen
class Allowance:
    """What one customer's plan may use."""

    customer: ids.CustomerId
    """Name of the customer."""

    rate_per_s: float
    """Requests a second over all entry instances."""

    concurrency: int
    """Requests in flight over all entry instances."""

    measuring_rate_per_s: float
    """Probes of backend servers a second over all entry instances."""


@attrs.frozen
class Configuration:
    """The two lists in one version."""

    data_centres: dict[ids.DataCentre, DataCentreState] = attrs.Factory(dict)
    """State of each data centre."""

    plans: tuple[CustomerPlan, ...] = ()
    """Plans by customer."""

    allowances: tuple[Allowance, ...] = ()
    """Allowances by customer."""

    def find_service(
        self, name: ids.ServiceName
    ) -> tuple[CustomerPlan, ServicePlan] | None:
        """Returns the plan of a service with its customer's, or None."""
        for plan in self.plans:
            for service in plan.services:
                if service.name == name:
                    return plan, service
        return None

    def find_allowance(self, customer: ids.CustomerId) -> Allowance | None:
        """Returns a customer's allowance, or None."""
        for allowance in self.allowances:
            if allowance.customer == customer:
                return allowance
        return None

    def is_in(self, data_centre: ids.DataCentre) -> bool:
        """Returns whether a data centre takes work; unknown ones do."""
        state = self.data_centres.get(data_centre, DataCentreState.IN)
        return state is DataCentreState.IN
