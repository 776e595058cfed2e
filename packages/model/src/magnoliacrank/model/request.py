"""Requests as the decisions see them: class, route, key and deadline."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class RequestClass(enum.Enum):
    """How often a request may run and how long it may wait."""

    IDEMPOTENT = "idempotent"
    """May be retried and hedged on another backend server."""

    AT_MOST_ONCE = "at-most-once"
    """Never dispatched twice under one key."""

    DEFERRABLE = "deferrable"
    """May wait, never be lost; retried under one key until it is done."""


class KeyMode(enum.Enum):
    """How the idempotency key of an at-most-once route is guarded."""

    TICKETED = "ticketed"
    """The instance named in the ticket dispatches from its memory."""

    PLAIN = "plain"
    """A claim is in the log before dispatch."""


@attrs.frozen
class Request:
    """One request, without its body."""

    customer: ids.CustomerId
    """The customer whose allowance it uses."""

    service: ids.ServiceName
    """The service that it is for."""

    route: str
    """Name of the route in the plan."""

    request_class: RequestClass
    """Class of the route."""

    deadline_s: float
    """Monotonic time in seconds after which nobody waits for the answer."""

    key: ids.RequestKey | None = None
    """Idempotency key, or None on routes that need none."""

    digest: bytes = b""
    """Digest of method, target and body for requests with a key."""
