"""Backend servers as listed by the platform, and their load reports."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class ListedState(enum.Enum):
    """State of a listed instance or backend server."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class BackendServer:
    """One backend server of a service."""

    server_id: ids.ServerId
    """Name of the backend server."""

    service: ids.ServiceName
    """Service that it belongs to."""

    version: ids.SoftwareVersion
    """Software version that it runs."""

    data_centre: ids.DataCentre
    """Data centre in which it stands."""

    host: str
    """IP address."""

    port: int
    """TCP port for HTTP/1.1."""

    slots: int
    """Requests that it runs at once when warm."""

    connections: int
    """Connections that it bears in sum over all entry instances."""

    state: ListedState = ListedState.LIVE
    """Whether it is leaving."""


@attrs.frozen
class LoadReport:
    """Load of a backend server as reported by itself."""

    in_flight: int
    """Requests that it was running."""

    queued: int = 0
    """Requests that waited inside it."""

    incarnation: int = 0
    """Start number or time of the server's process; changes on a restart."""

    limit: int | None = None
    """Concurrency that it asks for at present, or None."""
