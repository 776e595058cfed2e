"""PeerStatus: facts that an instance states about itself in its heartbeats."""

from __future__ import annotations

import functools

import attrs
import xxhash

LINK_MBPS_PER_CORE = 20.0
"""Link bandwidth in Mbit/s needed for one core's worth of requests. Of 200
requests a second, one in eleven uploads 60 KB, which takes 9 Mbit/s in each
direction; about twice that keeps uploads from queueing behind each other."""


@attrs.frozen
class PeerStatus:
    """Facts about the sender of one heartbeat."""

    node: str
    """Name of the instance."""

    data_centre: str
    """Data centre of the instance."""

    ip: str
    """IP address of the instance."""

    incarnation: int
    """Start time of the process in milliseconds since the Unix epoch; a larger
    value replaces a smaller one."""

    is_ready: bool
    """Whether the instance can serve requests."""

    is_leaving: bool
    """Whether the instance is shutting down."""

    is_mesh_member: bool
    """Whether the instance regards itself as a member of the mesh, and so
    sends heartbeats at the mesh's shorter interval."""

    capacity: float
    """Request load that the instance can carry, in cores of usual speed; the
    lesser of its processor and its link."""

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Sort key: ready instances first, then by descending capacity."""
        return (not self.is_ready, -self.capacity, _hash(self.node))

    @property
    def can_serve(self) -> bool:
        """Whether callers may be directed to the instance."""
        return self.is_ready and not self.is_leaving


def capacity(cores: float, link_mbps: float) -> float:
    """Returns the request load that an instance can carry, in cores.

    Args:
        cores: Processor capacity, in cores of usual speed.
        link_mbps: Bandwidth of the instance's link, in Mbit/s.
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


def rendezvous_weight(node: str, key: str) -> int:
    """Returns the rendezvous-hashing weight of an instance for a key.

    Args:
        node: Name of the instance.
        key: Name of the object to assign, such as a backend server; the
            instance with the largest weight gets it.
    """
    return xxhash.xxh64_intdigest(f"{node}/{key}".encode())


@functools.cache
def _hash(node: str) -> int:
    return xxhash.xxh64_intdigest(node.encode())
