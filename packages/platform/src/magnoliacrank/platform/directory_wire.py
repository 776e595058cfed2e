"""Readiness check and address lookup, which an entry instance answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib import parse

import msgspec

from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_PATH = "/api/ready"
"""Path of the readiness check, which the platform calls once a second."""

RESOLVE_PATH = "/api/resolve"
"""Path on which callers look up the addresses of entry instances."""


def read_data_centre(target: str) -> str:
    """Returns the data centre in a lookup's query, or an empty string."""
    query = parse.parse_qs(target.partition("?")[2])
    # The platform calls a data centre a zone.
    return query.get("zone", [""])[0]


def read_host(target: str) -> str:
    """Returns the host name in a lookup's query, or an empty string."""
    query = parse.parse_qs(target.partition("?")[2])
    return query.get("name", [""])[0].lower()


def encode_addresses(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Encodes the response to an address lookup.

    Args:
        addresses: HOST:PORT of entry instances, in the order of the response.
        ttl_s: Seconds for which a caller may cache the addresses.
    """
    return msgspec.json.encode(
        {
            "addresses": list(addresses),
            "ttl": wire_values.format_duration(ttl_s),
        }
    )
