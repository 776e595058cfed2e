"""Validates the two lists and converts them to a typed configuration."""

from __future__ import annotations

import datetime
import enum
from typing import TYPE_CHECKING
from typing import Any

import attrs
import jsonschema

from magnoliacrank.cli import list_document
from magnoliacrank.cli import list_schema
from magnoliacrank.model import configuration
from magnoliacrank.model import ids
from magnoliacrank.model import request

if TYPE_CHECKING:
    from collections.abc import Iterable


class _NotATime(enum.Enum):
    """Type of the sentinel for a text that isn't a valid date and time."""

    NOT_A_TIME = enum.auto()


_NOT_A_TIME = _NotATime.NOT_A_TIME


@attrs.frozen
class InvalidLists:
    """Result of validating lists that have errors."""

    errors: tuple[list_document.ListError, ...]
    """All errors, ordered by file and line number."""


def read_lists(
    plans_file: str, plans_text: str, allowances_file: str, allowances_text: str
) -> configuration.Configuration | InvalidLists:
    """Validates both lists and converts them to a configuration.

    Args:
        plans_file: File name of the list of plans, for error messages.
        plans_text: YAML text of the list of plans.
        allowances_file: File name of the list of allowances, for error
            messages.
        allowances_text: YAML text of the list of allowances.

    Returns:
        The configuration, or all errors found in both lists.
    """
    plans = list_document.parse_document(plans_file, plans_text)
    allowances = list_document.parse_document(allowances_file, allowances_text)
    _check_schema(plans, list_schema.PLANS_SCHEMA)
    _check_schema(allowances, list_schema.ALLOWANCES_SCHEMA)
    if not plans.errors and not allowances.errors:
        _check_plans(plans)
        _check_allowances(plans, allowances)
    errors = plans.errors + allowances.errors
    if errors:
        order = {plans_file: 0, allowances_file: 1}
        errors.sort(key=lambda error: (order[error.file], error.line))
        return InvalidLists(tuple(errors))
    return _build(plans.value, allowances.value)


def _check_schema(
    document: list_document.ListDocument, schema: dict[str, Any]
) -> None:
    if document.value is None:
        return
    validator = jsonschema.Draft202012Validator(schema)
    for error in validator.iter_errors(document.value):
        path = tuple(error.absolute_path)
        if error.validator == "additionalProperties":
            _add_unknown_fields(document, path, error)
        else:
            document.add_error(path, _describe(error))


def _add_unknown_fields(
    document: list_document.ListDocument,
    path: list_document.FieldPath,
    error: jsonschema.ValidationError,
) -> None:
    schema: Any = error.schema
    instance: Any = error.instance
    known = sorted(schema["properties"])
    for key in instance:
        if key not in known:
            message = f"unknown field; expected one of {', '.join(known)}"
            document.add_error((*path, str(key)), message)


def _describe(error: jsonschema.ValidationError) -> str:
    templates = {
        "type": "{value!r} has the wrong type; expected {expected}",
        "enum": "{value!r} is not allowed; expected one of {expected}",
        "pattern": "{value!r} does not match {expected}",
        "minimum": "{value!r} is too small; expected at least {expected}",
        "maximum": "{value!r} is too large; expected at most {expected}",
        "exclusiveMinimum": "{value!r} is too small; expected more than "
        "{expected}",
        "minItems": "expected at least {expected} entry",
        "minProperties": "expected at least {expected} entry",
        "uniqueItems": "an entry is given twice",
    }
    template = templates.get(str(error.validator))
    if template is None:
        return str(error.message)
    expected = error.validator_value
    if isinstance(expected, list):
        expected = ", ".join(str(item) for item in expected)
    return template.format(value=error.instance, expected=expected)


def _check_plans(document: list_document.ListDocument) -> None:
    plans = document.value["plans"]
    centres = set(document.value["data_centres"])
    _check_unique(document, ("plans",), "customer", plans)
    services: set[str] = set()
    for plan_index, plan in enumerate(plans):
        for index, service in enumerate(plan["services"]):
            path = ("plans", plan_index, "services", index)
            _check_service(document, path, service, centres)
            if service["name"] in services:
                message = f"service {service['name']!r} is given twice"
                document.add_error((*path, "name"), message)
            services.add(service["name"])


def _check_service(
    document: list_document.ListDocument,
    path: list_document.FieldPath,
    service: dict[str, Any],
    centres: set[str],
) -> None:
    for index, centre in enumerate(service["data_centres"]):
        if centre not in centres:
            message = f"{centre!r} is not listed under data_centres"
            document.add_error((*path, "data_centres", index), message)
    if _unix_time_s(service.get("move_deadline")) is _NOT_A_TIME:
        message = f"{service['move_deadline']!r} is not a date and time"
        document.add_error((*path, "move_deadline"), message)
    _check_unique(document, (*path, "routes"), "name", service["routes"])
    for index, route in enumerate(service["routes"]):
        if "key_mode" in route and route["class"] == "idempotent":
            message = "only routes that run at most once or later have keys"
            document.add_error((*path, "routes", index, "key_mode"), message)


def _check_unique(
    document: list_document.ListDocument,
    path: list_document.FieldPath,
    field: str,
    entries: Iterable[dict[str, Any]],
) -> None:
    seen: set[str] = set()
    for index, entry in enumerate(entries):
        if entry[field] in seen:
            message = f"{entry[field]!r} is given twice"
            document.add_error((*path, index, field), message)
        seen.add(entry[field])


def _check_allowances(
    plans: list_document.ListDocument, allowances: list_document.ListDocument
) -> None:
    entries = allowances.value["allowances"]
    _check_unique(allowances, ("allowances",), "customer", entries)
    allowed = {entry["customer"] for entry in entries}
    planned = {plan["customer"] for plan in plans.value["plans"]}
    for index, plan in enumerate(plans.value["plans"]):
        if plan["customer"] not in allowed:
            message = f"customer {plan['customer']!r} has no allowance"
            plans.add_error(("plans", index, "customer"), message)
    for index, entry in enumerate(entries):
        if entry["customer"] not in planned:
            message = f"customer {entry['customer']!r} has no plan"
            allowances.add_error(("allowances", index, "customer"), message)


def _build(plans: Any, allowances: Any) -> configuration.Configuration:
    return configuration.Configuration(
        data_centres={
            ids.DataCentre(name): configuration.DataCentreState(state)
            for name, state in plans["data_centres"].items()
        },
        plans=tuple(_build_plan(plan) for plan in plans["plans"]),
        allowances=tuple(
            configuration.Allowance(
                customer=ids.CustomerId(entry["customer"]),
                rate_per_s=float(entry["rate_per_s"]),
                concurrency=entry["concurrency"],
                measuring_rate_per_s=float(entry["measuring_rate_per_s"]),
            )
            for entry in allowances["allowances"]
        ),
    )


def _build_plan(plan: dict[str, Any]) -> configuration.CustomerPlan:
    return configuration.CustomerPlan(
        customer=ids.CustomerId(plan["customer"]),
        services=tuple(_build_service(entry) for entry in plan["services"]),
    )


def _build_service(service: dict[str, Any]) -> configuration.ServicePlan:
    deadline_s = _unix_time_s(service.get("move_deadline"))
    return configuration.ServicePlan(
        name=ids.ServiceName(service["name"]),
        version=ids.SoftwareVersion(service["version"]),
        data_centres=tuple(
            ids.DataCentre(name) for name in service["data_centres"]
        ),
        routes=tuple(_build_route(route) for route in service["routes"]),
        move_deadline_s=deadline_s if isinstance(deadline_s, float) else None,
    )


def _build_route(route: dict[str, Any]) -> configuration.Route:
    return configuration.Route(
        name=route["name"],
        path_prefix=route["path_prefix"],
        request_class=request.RequestClass(route["class"]),
        deadline_ms=route["deadline_ms"],
        methods=tuple(route.get("methods", ())),
        key_mode=request.KeyMode(route.get("key_mode", "ticketed")),
    )


def _unix_time_s(text: str | None) -> float | _NotATime | None:
    if text is None:
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return _NOT_A_TIME
