"""Tests of who may use a route, and of the priority that holds."""

import pytest

from magnoliacrank.model import customer_table
from magnoliacrank.model import route_plan
from magnoliacrank.policy import caller_access

Denial = caller_access.Denial
Grant = caller_access.Grant

OWN_RANK = customer_table.Customer("own-rank", 0)
NO_RANK = customer_table.Customer("no-rank", None)


def _table(*customers):
    return customer_table.CustomerTable(
        {customer.name: customer for customer in customers},
        {f"key-{customer.name}": customer for customer in customers},
    )


def _rule(*, is_public=False, priority=3):
    return route_plan.RouteRule(
        name="r",
        path_prefix="/r/",
        kind=route_plan.RequestKind.IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.5,
        priority=priority,
        max_attempts=1,
        shares=(route_plan.ServiceShare("s", 1.0),),
        is_public=is_public,
    )


def _plan(customers, *rules):
    return route_plan.RoutePlan(
        version=1,
        routes={"h": {str(index): rule for index, rule in enumerate(rules)}},
        services={},
        limits=route_plan.CallerLimits(1, 1, 1.0, 1.0),
        customers=customers,
    )


@pytest.mark.parametrize(
    ("customers", "is_public", "key", "expected"),
    [
        (None, False, None, Grant("", 3, True)),
        (None, False, "any", Grant("", 3, True)),
        ((), False, "any", Denial.UNKNOWN_KEY),
        ((OWN_RANK,), False, None, Denial.MISSING_KEY),
        ((OWN_RANK,), False, "other", Denial.UNKNOWN_KEY),
        ((OWN_RANK,), False, "key-own-rank", Grant("own-rank", 0, False)),
        ((NO_RANK,), False, "key-no-rank", Grant("no-rank", 3, False)),
        ((OWN_RANK,), True, "key-own-rank", Grant("own-rank", 0, False)),
        ((OWN_RANK,), True, "other", Grant("", 3, False)),
        ((OWN_RANK,), True, None, Grant("", 3, False)),
    ],
)
def test_access_depends_on_key_and_route(customers, is_public, key, expected):
    table = None if customers is None else _table(*customers)
    rule = _rule(is_public=is_public)
    assert caller_access.decide(_plan(table), rule, key) == expected


@pytest.mark.parametrize(
    ("customers", "rules", "highest"),
    [
        (None, [_rule(priority=2), _rule(priority=3)], 2),
        (None, [], 0),
        ((OWN_RANK,), [_rule(priority=2)], 0),
        ((customer_table.Customer("c", 4),), [_rule(priority=2)], 4),
        (
            (customer_table.Customer("c", 4),),
            [_rule(priority=2, is_public=True)],
            2,
        ),
        (
            (customer_table.Customer("c", 4), NO_RANK),
            [_rule(priority=2)],
            2,
        ),
    ],
)
def test_highest_priority_is_one_that_requests_can_have(
    customers, rules, highest
):
    table = None if customers is None else _table(*customers)
    assert _plan(table, *rules).highest_priority == highest
