"""Edit: the difference between two versions of the configuration."""

from __future__ import annotations

import attrs

from magnoliacrank.model import configuration
from magnoliacrank.model import ids


@attrs.frozen
class ServiceEdit:
    """A service's new plan under its customer."""

    customer: ids.CustomerId
    """Customer that the service belongs to."""

    plan: configuration.ServicePlan
    """The whole new plan of the service."""


@attrs.frozen
class Edit:
    """A change of the configuration, as entries to set and to remove.

    Entries that are not named stay as they are.
    """

    data_centres: dict[ids.DataCentre, configuration.DataCentreState] = (
        attrs.Factory(dict)
    )
    """Data centres to add or change, each with its new state."""

    services: tuple[ServiceEdit, ...] = ()
    """Services to add or change, each with its whole new plan."""

    allowances: tuple[configuration.Allowance, ...] = ()
    """Customer allowances (request limits) to add or replace."""

    removed_data_centres: tuple[ids.DataCentre, ...] = ()
    """Data centres to remove."""

    removed_services: tuple[ids.ServiceName, ...] = ()
    """Services to remove."""

    removed_allowances: tuple[ids.CustomerId, ...] = ()
    """Customers whose allowance is removed."""

    @property
    def is_empty(self) -> bool:
        """Whether the edit changes nothing."""
        return self == Edit()

    def changes(self) -> tuple[str, ...]:
        """Returns the dotted names of the entries that are set or removed."""
        return (
            *(f"data_centres.{name}" for name in self.data_centres),
            *(f"data_centres.{name}" for name in self.removed_data_centres),
            *(f"services.{each.plan.name}" for each in self.services),
            *(f"services.{name}" for name in self.removed_services),
            *(f"allowances.{each.customer}" for each in self.allowances),
            *(f"allowances.{name}" for name in self.removed_allowances),
        )


_Services = dict[ids.ServiceName, ServiceEdit]


def difference(
    old: configuration.Configuration, new: configuration.Configuration
) -> Edit:
    """Returns the edit that turns one configuration into another."""
    old_services = _services(old)
    new_services = _services(new)
    old_allowances = _allowances(old)
    new_allowances = _allowances(new)
    return Edit(
        data_centres={
            name: state
            for name, state in new.data_centres.items()
            if old.data_centres.get(name) is not state
        },
        services=tuple(
            each
            for name, each in new_services.items()
            if old_services.get(name) != each
        ),
        allowances=tuple(
            each
            for name, each in new_allowances.items()
            if old_allowances.get(name) != each
        ),
        removed_data_centres=tuple(
            name for name in old.data_centres if name not in new.data_centres
        ),
        removed_services=tuple(
            name for name in old_services if name not in new_services
        ),
        removed_allowances=tuple(
            name for name in old_allowances if name not in new_allowances
        ),
    )


def apply(
    base: configuration.Configuration, change: Edit
) -> configuration.Configuration:
    """Returns a copy of a configuration with an edit applied."""
    data_centres = dict(base.data_centres) | change.data_centres
    for name in change.removed_data_centres:
        data_centres.pop(name, None)
    services = _services(base)
    services.update((each.plan.name, each) for each in change.services)
    for service in change.removed_services:
        services.pop(service, None)
    allowances = _allowances(base)
    allowances.update((each.customer, each) for each in change.allowances)
    for customer in change.removed_allowances:
        allowances.pop(customer, None)
    return configuration.Configuration(
        data_centres=data_centres,
        plans=_plans(services),
        allowances=tuple(allowances.values()),
    )


def _services(base: configuration.Configuration) -> _Services:
    return {
        service.name: ServiceEdit(plan.customer, service)
        for plan in base.plans
        for service in plan.services
    }


def _allowances(
    base: configuration.Configuration,
) -> dict[ids.CustomerId, configuration.Allowance]:
    return {each.customer: each for each in base.allowances}


def _plans(services: _Services) -> tuple[configuration.CustomerPlan, ...]:
    grouped: dict[ids.CustomerId, list[configuration.ServicePlan]] = {}
    for each in services.values():
        grouped.setdefault(each.customer, []).append(each.plan)
    return tuple(
        configuration.CustomerPlan(customer, tuple(plans))
        for customer, plans in grouped.items()
    )
