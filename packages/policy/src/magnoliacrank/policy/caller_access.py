"""Decides whether a caller may use a route, and for which customer.

Load pattern: operators add and remove API keys while callers keep their
connections open and their requests wait for a backend server. The decision
depends only on the configuration that is passed in, so it can be taken again
right before each dispatch, and nothing about a key outlives its configuration.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from magnoliacrank.model import route_plan


class Denial(enum.Enum):
    """Why a caller may not use a route."""

    MISSING_KEY = "key-missing"
    """The route requires an API key and the caller sent none."""

    UNKNOWN_KEY = "key-unknown"
    """No customer holds the caller's API key."""


@attrs.frozen
class Grant:
    """Permission to use a route."""

    customer: str
    """Name of the customer that the caller belongs to; empty if unknown."""

    priority: int
    """Priority of the request; 0 is the most urgent."""

    forwards_credentials: bool
    """Whether the headers that say who the caller is are forwarded as the
    caller sent them; only if the configuration has no customers."""


def decide(
    plan: route_plan.RoutePlan, rule: route_plan.RouteRule, key: str | None
) -> Grant | Denial:
    """Decides whether a caller may use a route.

    Args:
        plan: Configuration in force.
        rule: Route of the request.
        key: API key that the caller sent, None if it sent none.
    """
    if plan.customers is None:
        return Grant("", rule.priority, forwards_credentials=True)
    customer = None if key is None else plan.customers.find(key)
    if customer is not None:
        priority = customer.priority
        if priority is None:
            priority = rule.priority
        return Grant(customer.name, priority, forwards_credentials=False)
    if rule.is_public:
        return Grant("", rule.priority, forwards_credentials=False)
    return Denial.MISSING_KEY if key is None else Denial.UNKNOWN_KEY
