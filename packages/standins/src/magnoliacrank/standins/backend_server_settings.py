"""Settings and faults of the backend server stand-in."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendServerSettings:
    """What a backend server is like when nothing is wrong."""

    server_id: str = "server-1"
    """Name of the server."""

    service: str = "service"
    """Service that it belongs to."""

    version: str = "v1"
    """Software version that it runs."""

    data_centre: str = "dc-1"
    """Data centre in which it stands."""

    host: str = "127.0.0.1"
    """IP address to listen on."""

    slots: int = 4
    """Requests that it runs at once."""

    connections: int = 200
    """Connections that it bears."""

    service_time_s: float = 0.0
    """Time that one request takes in a slot when warm."""

    queue_limit: int = 16
    """Requests that may wait for a slot; further ones are shed."""

    cold_requests: int = 0
    """Requests to be run before it is warm."""

    cold_limit: int = 1
    """Requests at once that it bears while cold."""

    cold_factor: float = 5.0
    """Multiple of the service time while cold."""


@attrs.define
class BackendServerFaults:
    """What is wrong with a backend server at present."""

    slow_factor: float = 1.0
    """Multiple of the service time."""

    fail: bool = False
    """Whether it runs each request and answers 500 at once."""

    fail_target: str | None = None
    """Start of the targets to which alone the fault `fail` is limited."""

    shed: bool = False
    """Whether it refuses each request without running it."""

    truncate: bool = False
    """Whether it closes the connection in the middle of each answer."""

    lost_answers: bool = False
    """Whether it closes the connection after running each request."""

    reported_in_flight: int | None = None
    """What it reports in place of its true load."""
