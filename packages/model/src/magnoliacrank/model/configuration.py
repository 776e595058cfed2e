"""Configuration: the two lists that operators edit, plans and allowances."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import request


class DataCentreState(enum.Enum):
    """Whether a data centre may be sent requests."""

    IN = "in"
    OUT = "out"


@attrs.frozen
class Route:
    """One route of a service: which requests it matches and how they run."""

    name: str
    """Name, unique within the service."""

    path_prefix: str
    """Prefix of the request paths that match; the longest match wins."""

    request_class: request.RequestClass
    """Whether requests may run more than once, and how long they may wait."""

    deadline_ms: int
    """Longest time until the response, in milliseconds.

    A request may ask for a shorter time.
    """

    methods: tuple[str, ...] = ()
    """HTTP methods that match; empty means all methods."""

    key_mode: request.KeyMode = request.KeyMode.TICKETED
    """How an at-most-once route prevents a second run under one key."""


@attrs.frozen
class ServicePlan:
    """Where one service runs, at which version, with which routes."""

    name: ids.ServiceName
    """Name of the service."""

    version: ids.SoftwareVersion
    """Software version that is to serve all traffic."""

    data_centres: tuple[ids.DataCentre, ...]
    """Data centres that the service runs in."""

    routes: tuple[Route, ...]
    """Routes, in the order of the operators' list."""

    move_deadline_s: float | None = None
    """Unix time in seconds by which the move to `version` must be done.

    None if the move has no deadline.
    """


@attrs.frozen
class CustomerPlan:
    """Service plans of one customer."""

    customer: ids.CustomerId
    """Name of the customer."""

    services: tuple[ServicePlan, ...]
    """Services, in the order of the operators' list."""


@attrs.frozen
class Allowance:
    """Traffic limits of one customer, summed over all entry instances."""

    customer: ids.CustomerId
    """Name of the customer."""

    rate_per_s: float
    """Largest rate of requests, per second."""

    concurrency: int
    """Largest number of requests in flight."""

    measuring_rate_per_s: float
    """Largest rate of probes that measure backend servers, per second."""


@attrs.frozen
class Configuration:
    """Contents of the operators' two lists at one version."""

    data_centres: dict[ids.DataCentre, DataCentreState] = attrs.Factory(dict)
    """State of each listed data centre."""

    plans: tuple[CustomerPlan, ...] = ()
    """Plans, one for each customer."""

    allowances: tuple[Allowance, ...] = ()
    """Allowances, one for each customer."""

    def find_service(
        self, name: ids.ServiceName
    ) -> tuple[CustomerPlan, ServicePlan] | None:
        """Returns the customer plan and the plan of a service, or None."""
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

    def is_data_centre_in(self, data_centre: ids.DataCentre) -> bool:
        """Returns whether a data centre may be sent requests.

        A data centre that is not listed counts as in.
        """
        state = self.data_centres.get(data_centre, DataCentreState.IN)
        return state is DataCentreState.IN
