"""PeerFact: what an instance says of itself in its heartbeats."""

from __future__ import annotations

import functools

import attrs
import xxhash

LINK_MBPS_PER_CORE = 20.0
"""Link in Mbit/s that goes with a core's worth of requests. Of 200 requests a
second one in eleven is an upload of 60 KB: 9 Mbit/s each way, and as much
again so that uploads seldom wait for each other."""


@attrs.frozen
class PeerFact:
    """What one heartbeat says of its sender."""

    node: str
    """Name of the instance."""

    data_centre: str
    """Data centre in which it stands."""

    ip: str
    """IP address of the instance."""

    incarnation: int
    """Unix millisecond of its start."""

    is_ready: bool
    """Whether it can serve."""

    is_leaving: bool
    """Whether it is shutting down."""

    is_frequent: bool
    """Whether it counts itself to the mesh and beats at the mesh's rate."""

    capacity: float
    """Cores' worth of requests that it can carry."""

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Sort key: ready instances first, then the largest."""
        return (not self.is_ready, -self.capacity, _hash(self.node))

    @property
    def can_serve(self) -> bool:
        """Whether callers may be sent to it."""
        return self.is_ready and not self.is_leaving


def capacity(cores: float, link_mbps: float) -> float:
    """Returns the cores' worth of requests that an instance can carry.

    Args:
        cores: Processor, in cores of usual speed.
        link_mbps: Bandwidth of its link.
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def affinity(node: str, key: str) -> int:
    """Returns the weight of an instance for a key, for rendezvous hashing.

    Args:
        node: Name of the instance.
        key: What one of several instances is chosen for.
    """
    return xxhash.xxh64_intdigest(f"{node}/{key}".encode())


@functools.cache
def _hash(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode())
