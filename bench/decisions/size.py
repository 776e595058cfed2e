"""Sizes of the services that the decision benchmark simulates."""

from __future__ import annotations

import attrs


@attrs.frozen
class Size:
    """One service: its servers, entry instances and network delays."""

    name: str
    """Name of the customer and of the service, joined by a hyphen."""

    servers: int
    """Backend servers, spread over the data centres."""

    slots: int
    """Requests that a backend server runs at once."""

    entries: int
    """Entry instances under a baseline policy, spread over the data centres."""

    between_s: float
    """One-way network delay between two data centres in seconds."""

    client_s: float
    """One-way network delay from a caller to its data centre in seconds."""

    data_centres: tuple[str, ...] = ("a", "b", "c")
    """Names of the data centres."""

    within_s: float = 0.0001
    """One-way network delay within a data centre in seconds."""

    connect_s: float = 0.001
    """Time to open a connection in seconds."""

    service_s: float = 0.02
    """Mean duration of a request on a warm backend server in seconds."""


SIZES = (
    Size("cirelis-route", 20, 4, 16, 0.0015, 0.003),
    Size("cirelis-refill", 6, 4, 16, 0.0015, 0.003),
    Size("sela-booking", 30, 2, 19, 0.0005, 0.001),
    Size("sela-records", 6, 2, 13, 0.0005, 0.001),
)
