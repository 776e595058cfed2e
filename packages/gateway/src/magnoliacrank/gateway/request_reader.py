"""Parses the head of a caller's request and finds its service and route."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.gateway import routing_table
from magnoliacrank.model import configuration
from magnoliacrank.model import headers
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_BUDGET_DIGITS = 15
"""Digits of a stated budget from which on it is longer than any deadline."""

_MAX_KEY_LENGTH = 256
_MS_PER_S = 1000.0


class RequestHead(Protocol):
    """Head of a caller's HTTP request."""

    @property
    def method(self) -> str:
        """HTTP method in upper case."""

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers; names are looked up without regard to case."""


@attrs.frozen
class RoutedRequest:
    """A valid request with its service and route."""

    request: request.Request
    """The request without its body."""

    service: routing_table.RoutedService
    """Service that the request is for."""

    route: configuration.Route
    """Route that the method and path of the request match."""

    ticket: str
    """Value of the ticket header, or an empty string.

    A ticket names the instance that deduplicates the request's key.
    """


@attrs.frozen
class InvalidRequest:
    """The request is refused, since its head is invalid or has no route."""

    reason: verdict.Reason
    """Why the request is refused."""


def read_request(
    head: RequestHead, table: routing_table.RoutingTable, now_s: float
) -> RoutedRequest | InvalidRequest:
    """Determines service, route, class, key and deadline of a request.

    Args:
        head: Head of the request.
        table: Services and routes of the configuration in force.
        now_s: Current monotonic time in seconds.

    Returns:
        The request, or why it is refused.
    """
    fields = head.headers
    name = fields.get(headers.SERVICE) or _host_label(fields.get("Host", ""))
    customer = ids.CustomerId(fields.get(headers.CUSTOMER, ""))
    service = table.find_service(ids.ServiceName(name), customer)
    if isinstance(service, routing_table.NotRouted):
        return InvalidRequest(service.reason)
    route = service.find_route(head.method, head.path)
    if route is None:
        return InvalidRequest(verdict.Reason.UNKNOWN_ROUTE)
    key = _read_key(fields, route)
    if isinstance(key, InvalidRequest):
        return key
    budget_s = _read_budget_s(fields, route)
    if isinstance(budget_s, InvalidRequest):
        return budget_s
    model_request = request.Request(
        customer=customer,
        service=service.plan.name,
        route=route.name,
        request_class=route.request_class,
        deadline_s=now_s + budget_s,
        key=key,
    )
    ticket = fields.get(headers.TICKET, "")
    return RoutedRequest(model_request, service, route, ticket)


def _host_label(host: str) -> str:
    return host.partition(":")[0].partition(".")[0]


def _read_key(
    fields: Mapping[str, str], route: configuration.Route
) -> ids.RequestKey | InvalidRequest | None:
    if route.request_class is request.RequestClass.IDEMPOTENT:
        return None
    key = fields.get(headers.KEY, "")
    if not key:
        return InvalidRequest(verdict.Reason.KEY_REQUIRED)
    if len(key) > _MAX_KEY_LENGTH:
        return InvalidRequest(verdict.Reason.BAD_REQUEST)
    return ids.RequestKey(key)


def _read_budget_s(
    fields: Mapping[str, str], route: configuration.Route
) -> float | InvalidRequest:
    stated = fields.get(headers.DEADLINE_MS)
    if stated is None:
        return route.deadline_ms / _MS_PER_S
    if not (stated.isascii() and stated.isdigit()):
        return InvalidRequest(verdict.Reason.BAD_REQUEST)
    budget_ms = route.deadline_ms
    if len(stated) <= _MAX_BUDGET_DIGITS:
        budget_ms = min(int(stated), budget_ms)
    if budget_ms == 0:
        return InvalidRequest(verdict.Reason.DEADLINE_EXPIRED)
    return budget_ms / _MS_PER_S
