"""CustomerTable: customers in the operators' configuration, by API key."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen
class Customer:
    """One customer in the operators' configuration."""

    name: str
    """Name of the customer; never empty."""

    priority: int | None
    """Priority of the customer's requests on all routes; 0 is the most urgent.
    None if the priority of each route holds."""


@attrs.frozen
class CustomerTable:
    """Customers of one configuration and the API keys that they hold.

    The representation contains no key, so that none gets into log lines.
    """

    customers: Mapping[str, Customer]
    """Customers by name, including those without a key."""

    _by_key: Mapping[str, Customer] = attrs.field(repr=False)
    """Customers by API key."""

    def find(self, key: str) -> Customer | None:
        """Returns the customer that holds an API key, or None."""
        return self._by_key.get(key)

    def key_count(self, name: str) -> int:
        """Returns the number of API keys that a customer holds."""
        return len(self._keys(name))

    def key_changes(self, before: CustomerTable, name: str) -> tuple[int, int]:
        """Returns how many keys a customer got and lost since another table.

        Args:
            before: The earlier table.
            name: Name of the customer.
        """
        old, new = before._keys(name), self._keys(name)
        return len(new - old), len(old - new)

    def _keys(self, name: str) -> set[str]:
        return {
            key
            for key, customer in self._by_key.items()
            if customer.name == name
        }
