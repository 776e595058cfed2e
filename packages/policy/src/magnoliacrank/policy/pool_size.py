"""Sizes of an instance's connection pool to one backend server."""

from __future__ import annotations

import math

import attrs

_RESERVED_SHARE = 0.2
"""Share of a server's connections that no pool uses."""

_SPARE_CONNECTIONS = 1
"""Connections that a pool keeps beyond its slots."""


@attrs.frozen
class PoolSize:
    """Bounds on the number of connections in a pool."""

    warm: int
    """Idle connections to keep open in advance."""

    maximum: int
    """Connections open at once, busy and idle."""


def size_pool(
    connections: int, slots: int, owned_slots: int, crew_members: int
) -> PoolSize:
    """Returns the size of an instance's pool for one backend server.

    The pools of all members of the service's crew, that is, of the instances
    that send to the server, sum to less than its connections. The rest is left
    for probes, for connections that are being replaced, and for an instance
    that is a member only of the former crew.

    Args:
        connections: Connections that the server accepts over all instances.
        slots: Requests that the server runs at once.
        owned_slots: Slots of the server that this instance owns or has
            borrowed.
        crew_members: Number of entry instances that send to the server.
    """
    usable = math.floor(connections * (1.0 - _RESERVED_SHARE))
    maximum = max(1, usable // max(1, crew_members))
    maximum = min(maximum, 2 * slots + _SPARE_CONNECTIONS)
    warm = min(maximum, owned_slots + _SPARE_CONNECTIONS)
    return PoolSize(warm, maximum)
