"""Codec of the customers in the operators' configuration.

Error messages name the place of a faulty value and never show it, since it may
be an API key.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Any

from magnoliacrank.model import customer_table
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Iterator

CUSTOMERS = "tenants"
"""Field of the configuration with the list of customers."""

_KEYS = "api-keys"

_NAME = re.compile(r"[!-~](?:[ -~]{0,253}[!-~])?")
"""Names that can be passed on unchanged as the value of a header."""

_KEY = re.compile(r"[!-~]{1,1024}")
"""Keys that a caller can send in a header."""


def decode_customers(fields: Any) -> customer_table.CustomerTable | None:
    """Decodes the customers of a configuration.

    Args:
        fields: The configuration's mapping.

    Returns:
        The customers and their keys, or None if the configuration has no list
        of customers: the field is missing or has no value. An empty list is a
        table in which no key is valid.

    Raises:
        WireValueError: The list is malformed, a name occurs twice, or two
            customers hold the same key.
    """
    items = fields.get(CUSTOMERS)
    if not isinstance(items, list):
        if wire_values.is_empty(items):
            return None
        raise wire_values.WireValueError(f"{CUSTOMERS}: not a list")
    customers: dict[str, customer_table.Customer] = {}
    by_key: dict[str, customer_table.Customer] = {}
    for index, item in enumerate(items):
        place = f"{CUSTOMERS}[{index}]"
        customer = _decode_customer(item, place)
        if customer.name in customers:
            raise wire_values.WireValueError(
                f"{place}.name: held by an earlier entry too"
            )
        customers[customer.name] = customer
        for key_place, key in _decode_keys(item, place):
            if by_key.setdefault(key, customer) is not customer:
                raise wire_values.WireValueError(
                    f"{key_place}: held by an earlier entry too"
                )
    return customer_table.CustomerTable(customers, by_key)


def _decode_customer(item: Any, place: str) -> customer_table.Customer:
    if not isinstance(item, dict):
        raise wire_values.WireValueError(f"{place}: not a mapping")
    name = item.get("name")
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise wire_values.WireValueError(
            f"{place}.name: not a text of 1 to 255 printable ASCII characters"
        )
    return customer_table.Customer(name, _decode_priority(item, place))


def _decode_priority(item: dict[str, Any], place: str) -> int | None:
    if wire_values.is_empty(item.get("priority")):
        return None
    try:
        return wire_values.read_integer(item, "priority")
    except wire_values.WireValueError:
        raise wire_values.WireValueError(
            f"{place}.priority: not an integer from 0 to"
            f" {wire_values.MAX_INTEGER}"
        ) from None


def _decode_keys(item: dict[str, Any], place: str) -> Iterator[tuple[str, str]]:
    """Yields the place and the text of each key of a customer."""
    keys = item.get(_KEYS)
    if wire_values.is_empty(keys):
        return
    if not isinstance(keys, list):
        raise wire_values.WireValueError(f"{place}.{_KEYS}: not a list")
    for index, key in enumerate(keys):
        key_place = f"{place}.{_KEYS}[{index}]"
        if not isinstance(key, str) or not _KEY.fullmatch(key):
            raise wire_values.WireValueError(
                f"{key_place}: not a text of 1 to 1024 printable ASCII"
                " characters without spaces"
            )
        yield key_place, key
