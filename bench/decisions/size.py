"""Sizes of the services that the bench runs."""

from __future__ import annotations

import attrs


@attrs.frozen
class Size:
    """One service with its servers, entry instances and distances."""

    name: str
    """Customer and service."""

    servers: int
    """Backend servers, spread over the data centres."""

    slots: int
    """Requests that a backend server runs at once."""

    entries: int
    """Entry instances, spread over the data centres."""

    between_s: float
    """One-way time between data centres in seconds."""

    client_s: float
    """One-way time from a caller to its data centre in seconds."""

    data_centres: tuple[str, ...] = ("a", "b", "c")
    """Names of the data centres."""

    within_s: float = 0.0001
    """One-way time within a data centre in seconds."""

    connect_s: float = 0.001
    """Time to open a connection in seconds."""

    service_s: float = 0.02
    """Mean time that a backend server works on a request in seconds."""


SIZES = (
    Size("cirelis-route", 20, 4, 16, 0.0015, 0.003),
    Size("cirelis-refill", 6, 4, 16, 0.0015, 0.003),
    Size("sela-booking", 30, 2, 19, 0.0005, 0.001),
    Size("sela-records", 6, 2, 13, 0.0005, 0.001),
)
