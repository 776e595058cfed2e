"""Entry instances: the processes that receive and dispatch requests."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import server


@attrs.frozen
class EntryInstance:
    """Identity and addresses of one entry instance."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    data_centre: ids.DataCentre
    """Data centre that the instance runs in."""

    host: str
    """IP address."""

    http_port: int
    """TCP port for callers and operators."""

    peer_port: int
    """TCP port for gRPC from other entry instances."""

    incarnation: ids.Incarnation
    """Number of the current run of the instance; grows with each restart."""

    state: server.ListedState = server.ListedState.LIVE
    """Whether the instance is live or shutting down."""


@attrs.frozen
class Announcement:
    """Record of one entry instance in the instance list."""

    entry: EntryInstance
    """The instance as it described itself."""

    renewal_offset: ids.LogOffset
    """Offset of the newest announcement record; larger after each renewal, but
    for a new era of the store."""

    era: int = 0
    """Era of the store in which the record was read at that offset."""


@attrs.frozen
class Announcements:
    """Content of the instance list, which lags behind the actual state."""

    instances: tuple[Announcement, ...] = ()
    """Announced entry instances.

    Those that ended without withdrawing their announcement are included.
    """

    servers: tuple[server.BackendServer, ...] = ()
    """Backend servers of all services."""

    era: int = 0
    """Era of the store in which all of it was read; 0 if it states none."""


@attrs.frozen
class LiveListing:
    """Entry instances with an unexpired lease, and all backend servers."""

    instances: tuple[EntryInstance, ...] = ()
    """Entry instances that have renewed their announcement within the lease."""

    servers: tuple[server.BackendServer, ...] = ()
    """Backend servers of all services."""
