"""Backend servers in the instance list, and their load reports."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class ListedState(enum.Enum):
    """State of an entry instance or backend server in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class BackendServer:
    """One backend server of a service, as listed by the platform."""

    server_id: ids.ServerId
    """Name of the backend server."""

    service: ids.ServiceName
    """Service that the server belongs to."""

    version: ids.SoftwareVersion
    """Software version that the server runs."""

    data_centre: ids.DataCentre
    """Data centre that the server runs in."""

    host: str
    """IP address."""

    port: int
    """TCP port for HTTP/1.1."""

    slots: int
    """Number of requests that the server runs concurrently when warm."""

    connections: int
    """Maximum number of connections that the server accepts, from all entry
    instances together."""

    state: ListedState = ListedState.LIVE
    """Whether the server is live or shutting down."""


@attrs.frozen
class LoadReport:
    """Load that a backend server reported about itself."""

    in_flight: int
    """Number of requests that the server was running."""

    queued: int = 0
    """Number of requests that waited in the server's queue."""

    incarnation: int = 0
    """Start number or time of the server's process; changes on a restart."""

    limit: int | None = None
    """Concurrency limit that the server asks for at present, or None."""
