"""Request: the class, route, key and deadline that decide its dispatch."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class RequestClass(enum.Enum):
    """How often a request may run and how long it may wait."""

    IDEMPOTENT = "idempotent"
    """May be retried and hedged on another backend server."""

    AT_MOST_ONCE = "at-most-once"
    """Never dispatched twice under one idempotency key."""

    DEFERRABLE = "deferrable"
    """May wait; retried under one idempotency key until its deadline."""


class KeyMode(enum.Enum):
    """How an at-most-once route prevents a second run under one key."""

    TICKETED = "ticketed"
    """The entry instance named in the caller's ticket dispatches the request.

    That instance keeps the outcome of each key's request in its memory.
    """

    PLAIN = "plain"
    """A claim on the key is appended to the log before the dispatch.

    The claim records which instance may dispatch the request.
    """


@attrs.frozen
class Request:
    """One request, without its body."""

    customer: ids.CustomerId
    """Customer whose allowance the request counts against."""

    service: ids.ServiceName
    """Service that the request is for."""

    route: str
    """Name of the route in the plan."""

    request_class: RequestClass
    """Class of the route."""

    deadline_s: float
    """Monotonic time in seconds by which the caller needs the response."""

    key: ids.RequestKey | None = None
    """Idempotency key; None on idempotent routes."""

    digest: bytes = b""
    """Digest of method, target and body; set for requests with a ticket."""
