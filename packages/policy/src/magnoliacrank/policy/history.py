"""Checks recorded histories against the guarantees of the system.

A history is a sequence of events in order of time, as recorded by a test, a
benchmark or an instance. Each rule is a function that takes the whole history
and yields the events that violate it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import key_entry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence


@attrs.frozen
class Dispatched:
    """The first byte of a request was sent to a backend server."""

    at_s: float
    """Time of the event, in seconds."""

    attempt: int
    """Number of the dispatch, unique within the history."""

    instance_id: ids.InstanceId
    """Entry instance that sent the request."""

    server_id: ids.ServerId
    """Backend server that it was sent to."""

    key: key_entry.ScopedKey | None = None
    """Idempotency key of the request; None unless the route is at-most-once."""


@attrs.frozen
class WorkEnded:
    """A backend server stopped working on a dispatched request."""

    at_s: float
    """Time of the event, in seconds."""

    attempt: int
    """Number of the dispatch."""


@attrs.frozen
class Reported:
    """The outcome of a request with a key was reported to its caller."""

    at_s: float
    """Time of the event, in seconds."""

    key: key_entry.ScopedKey
    """Idempotency key of the request."""

    verdict: verdict.Verdict
    """Verdict that the caller received."""


@attrs.frozen
class LimitSet:
    """The concurrency limit of a backend server changed."""

    at_s: float
    """Time of the event, in seconds."""

    server_id: ids.ServerId
    """Backend server with the limit."""

    limit: int
    """Maximum number of concurrent requests from now on."""


@attrs.frozen
class ServerDeparted:
    """A backend server was asked to leave or was removed."""

    at_s: float
    """Time of the event, in seconds."""

    server_id: ids.ServerId
    """The backend server."""


@attrs.frozen
class ServerReturned:
    """A backend server that had departed accepts requests again."""

    at_s: float
    """Time of the event, in seconds."""

    server_id: ids.ServerId
    """The backend server."""


@attrs.frozen
class VersionInForce:
    """An instance incarnation put a configuration into force."""

    at_s: float
    """Time of the event, in seconds."""

    instance_id: ids.InstanceId
    """Entry instance."""

    incarnation: ids.Incarnation
    """Incarnation of the instance."""

    version: int
    """Version of the configuration."""


Event = (
    Dispatched
    | WorkEnded
    | Reported
    | LimitSet
    | ServerDeparted
    | ServerReturned
    | VersionInForce
)
"""Any event of a history."""


class Rule(enum.Enum):
    """A guarantee of the system that a history can violate."""

    ONE_DISPATCH_PER_KEY = "one-dispatch-per-key"
    NOT_RUN_NEVER_DISPATCHED = "not-run-never-dispatched"
    WITHIN_LIMIT = "within-limit"
    NO_WORK_AFTER_DEPARTURE = "no-work-after-departure"
    VERSION_NEVER_DECREASES = "version-never-decreases"


@attrs.frozen
class Violation:
    """An event that violates a rule."""

    rule: Rule
    """The violated rule."""

    event: Event
    """The event that violates it."""

    detail: str
    """Short explanation for the reader of a report."""


@attrs.frozen
class Bounds:
    """Grace periods during which a guarantee need not hold yet."""

    departure_s: float = 5.0
    """Seconds after its departure in which a backend server may still be sent
    new requests."""


def check(
    history: Sequence[Event], bounds: Bounds | None = None
) -> tuple[Violation, ...]:
    """Checks a history against all rules.

    Args:
        history: Events in order of time.
        bounds: Grace periods; the defaults if None.

    Returns:
        All violations, ordered by rule; empty if there are none.
    """
    limits = bounds or Bounds()
    return tuple(
        violation for rule in _RULES for violation in rule(history, limits)
    )


def _one_dispatch_per_key(
    history: Sequence[Event], _: Bounds
) -> Iterator[Violation]:
    """Yields each dispatch of a key after its first one."""
    first: dict[key_entry.ScopedKey, Dispatched] = {}
    for event in history:
        if not isinstance(event, Dispatched) or event.key is None:
            continue
        earlier = first.setdefault(event.key, event)
        if earlier is not event:
            yield Violation(
                Rule.ONE_DISPATCH_PER_KEY,
                event,
                f"first dispatched as attempt {earlier.attempt}",
            )


def _not_run_never_dispatched(
    history: Sequence[Event], _: Bounds
) -> Iterator[Violation]:
    """Yields each dispatch, early or late, of a key reported as not run."""
    not_run = {
        event.key
        for event in history
        if isinstance(event, Reported) and not event.verdict.may_have_run
    }
    for event in history:
        if isinstance(event, Dispatched) and event.key in not_run:
            yield Violation(
                Rule.NOT_RUN_NEVER_DISPATCHED,
                event,
                "the key was reported as not run",
            )


def _within_limit(history: Sequence[Event], _: Bounds) -> Iterator[Violation]:
    """Yields dispatches that exceed a backend server's limit."""
    limits: dict[ids.ServerId, int] = {}
    running: dict[int, ids.ServerId] = {}
    for event in history:
        if isinstance(event, LimitSet):
            limits[event.server_id] = event.limit
        elif isinstance(event, WorkEnded):
            running.pop(event.attempt, None)
        elif isinstance(event, Dispatched):
            running[event.attempt] = event.server_id
            count = list(running.values()).count(event.server_id)
            limit = limits.get(event.server_id, count)
            if count > limit:
                yield Violation(
                    Rule.WITHIN_LIMIT, event, f"{count} of {limit} slots"
                )


def _no_work_after_departure(
    history: Sequence[Event], bounds: Bounds
) -> Iterator[Violation]:
    """Yields dispatches to servers after the grace period of departure."""
    departed_s: dict[ids.ServerId, float] = {}
    for event in history:
        if isinstance(event, ServerDeparted):
            departed_s.setdefault(event.server_id, event.at_s)
        elif isinstance(event, ServerReturned):
            departed_s.pop(event.server_id, None)
        elif isinstance(event, Dispatched):
            since_s = event.at_s - departed_s.get(event.server_id, event.at_s)
            if since_s > bounds.departure_s:
                yield Violation(
                    Rule.NO_WORK_AFTER_DEPARTURE,
                    event,
                    f"{since_s:.3f} s after the departure",
                )


def _version_never_decreases(
    history: Sequence[Event], _: Bounds
) -> Iterator[Violation]:
    """Yields configuration versions that decrease within an incarnation."""
    highest: dict[tuple[ids.InstanceId, ids.Incarnation], int] = {}
    for event in history:
        if not isinstance(event, VersionInForce):
            continue
        incarnation_id = (event.instance_id, event.incarnation)
        before = highest.get(incarnation_id, event.version)
        if event.version < before:
            yield Violation(
                Rule.VERSION_NEVER_DECREASES,
                event,
                f"version {before} was in force",
            )
        highest[incarnation_id] = max(before, event.version)


_RULES: tuple[Callable[[Sequence[Event], Bounds], Iterator[Violation]], ...] = (
    _one_dispatch_per_key,
    _not_run_never_dispatched,
    _within_limit,
    _no_work_after_departure,
    _version_never_decreases,
)
