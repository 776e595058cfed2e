"""Entry instances: the processes of this system."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import server


@attrs.frozen
class EntryInstance:
    """One entry instance and where it is reached."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    data_centre: ids.DataCentre
    """Data centre in which it stands."""

    host: str
    """IP address."""

    http_port: int
    """TCP port for callers and operators."""

    peer_port: int
    """TCP port for gRPC from other entry instances."""

    incarnation: ids.Incarnation
    """Life of the process behind the name."""

    state: server.ListedState = server.ListedState.LIVE
    """Whether it is leaving."""


@attrs.frozen
class Announcement:
    """What the instance list keeps of one instance."""

    entry: EntryInstance
    """What it says of itself."""

    renewal: ids.LogOffset
    """Offset of the record; it grows with each renewal."""


@attrs.frozen
class Announcements:
    """One answer of the lagging instance list."""

    instances: tuple[Announcement, ...] = ()
    """Entry instances, also those that ended without withdrawing."""

    servers: tuple[server.BackendServer, ...] = ()
    """Backend servers of all services."""


@attrs.frozen
class Listing:
    """Instances whose lease holds, and backend servers."""

    instances: tuple[EntryInstance, ...] = ()
    """Entry instances."""

    servers: tuple[server.BackendServer, ...] = ()
    """Backend servers of all services."""
