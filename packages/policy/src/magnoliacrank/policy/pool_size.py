"""Sizes of an instance's connection pool to one backend server."""

from __future__ import annotations

import math

import attrs

_RESERVED_SHARE = 0.2
_SPARE_CONNECTIONS = 1


@attrs.frozen
class PoolSize:
    """Bounds of one pool."""

    warm: int
    """Idle connections to keep open ahead of need."""

    maximum: int
    """Connections open at once, busy and idle."""


def size_pool(
    connections: int, slots: int, owned_slots: int, crew_members: int
) -> PoolSize:
    """Returns the pool's size for one backend server.

    The members' maxima sum to less than what the server bears: the rest is
    left for probes, for connections that are being replaced, and for a member
    that a former crew still counts.

    Args:
        connections: Connections that the server bears over all instances.
        slots: Requests that it runs at once.
        owned_slots: Slots that this instance owns or has borrowed there.
        crew_members: Entry instances that send to it.
    """
    usable = math.floor(connections * (1.0 - _RESERVED_SHARE))
    maximum = max(1, usable // max(1, crew_members))
    maximum = min(maximum, 2 * slots + _SPARE_CONNECTIONS)
    warm = min(maximum, owned_slots + _SPARE_CONNECTIONS)
    return PoolSize(warm, maximum)
