"""Settings and faults of the backend server stand-in."""

from __future__ import annotations

import attrs


@attrs.frozen
class BackendServerSettings:
    """Identity, capacity and timing of a backend server without faults."""

    server_id: str = "server-1"
    """Name of the server."""

    service: str = "service"
    """Service that the server belongs to."""

    version: str = "v1"
    """Software version that the server runs."""

    data_centre: str = "dc-1"
    """Data centre in which the server runs."""

    host: str = "127.0.0.1"
    """IP address to listen on."""

    slots: int = 4
    """Maximum number of requests that run at the same time; further ones wait
    in a queue."""

    connections: int = 200
    """Connections that the server accepts, as listed by the platform."""

    service_time_s: float = 0.0
    """Seconds that one request holds a slot when the server is warm."""

    queue_limit: int = 16
    """Maximum number of requests in the queue for a slot; the server sheds any
    further ones."""

    cold_requests: int = 0
    """Requests that a cold server must run to become warm."""

    cold_limit: int = 1
    """Maximum number of requests that run at the same time while the server is
    cold; one more crashes it."""

    cold_factor: float = 5.0
    """Factor on `service_time_s` while the server is cold."""


@attrs.define
class BackendServerFaults:
    """Faults of a backend server that a test switches on and off."""

    slow_factor: float = 1.0
    """Factor on the service time."""

    fail: bool = False
    """Whether each request is run without its service time and answered 500."""

    fail_target: str | None = None
    """Prefix of the request targets that `fail` applies to; None for all."""

    shed: bool = False
    """Whether the server refuses each request without running it."""

    truncate: bool = False
    """Whether the server closes the connection halfway through each answer."""

    lost_answers: bool = False
    """Whether the server resets the connection after running each request."""

    reported_in_flight: int | None = None
    """Requests in flight to report instead of the actual load, or None."""
