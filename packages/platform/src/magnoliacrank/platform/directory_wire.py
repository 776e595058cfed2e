"""Calls that callers and the platform make on an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib import parse

import msgspec

from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_PATH = "/api/ready"
"""Asked once a second by the platform."""

RESOLVE_PATH = "/api/resolve"
"""Asked by callers that look for an address."""


def read_data_centre(target: str) -> str:
    """Returns the data centre that a caller states, or an empty text."""
    query = parse.parse_qs(target.partition("?")[2])
    # The platform calls a data centre a zone.
    return query.get("zone", [""])[0]


def read_host(target: str) -> str:
    """Returns the host that a caller asks for, or an empty text."""
    query = parse.parse_qs(target.partition("?")[2])
    return query.get("name", [""])[0].lower()


def encode_addresses(addresses: Sequence[str], ttl_s: float) -> bytes:
    """Encodes the addresses that a caller is to use.

    Args:
        addresses: HOST:PORT of instances, in order.
        ttl_s: Seconds for which a caller may keep them.
    """
    return msgspec.json.encode(
        {
            "addresses": list(addresses),
            "ttl": wire_values.format_duration(ttl_s),
        }
    )
