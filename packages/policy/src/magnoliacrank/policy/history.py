"""Checker of recorded histories against the promises of the system.

A history is a sequence of events in the order of true time, as recorded by a
test, a bench or an instance. Each rule is a function of the whole history
that yields what breaks it.
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
    """Time in seconds."""

    attempt: int
    """Names the dispatch within the history."""

    instance_id: ids.InstanceId
    """Who sent it."""

    server_id: ids.ServerId
    """Where it went."""

    key: key_entry.ScopedKey | None = None
    """Its key on an at-most-once route."""


@attrs.frozen
class WorkEnded:
    """A backend server stopped working on a dispatched request."""

    at_s: float
    """Time in seconds."""

    attempt: int
    """The dispatch."""


@attrs.frozen
class Reported:
    """A caller was told the outcome of a key."""

    at_s: float
    """Time in seconds."""

    key: key_entry.ScopedKey
    """The key."""

    verdict: verdict.Verdict
    """What the caller was told."""


@attrs.frozen
class LimitSet:
    """A backend server bears so many requests at once from now on."""

    at_s: float
    """Time in seconds."""

    server_id: ids.ServerId
    """Backend server."""

    limit: int
    """Requests at once."""


@attrs.frozen
class ServerDeparted:
    """A backend server was told to leave or was taken out."""

    at_s: float
    """Time in seconds."""

    server_id: ids.ServerId
    """Backend server."""


@attrs.frozen
class ServerReturned:
    """A backend server that had left takes work again."""

    at_s: float
    """Time in seconds."""

    server_id: ids.ServerId
    """Backend server."""


@attrs.frozen
class VersionInForce:
    """A life of an instance put a configuration into force."""

    at_s: float
    """Time in seconds."""

    instance_id: ids.InstanceId
    """Instance."""

    incarnation: ids.Incarnation
    """Life of the instance."""

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
    """A promise that a history can break."""

    ONE_DISPATCH_PER_KEY = "one-dispatch-per-key"
    NOT_RUN_NEVER_DISPATCHED = "not-run-never-dispatched"
    WITHIN_LIMIT = "within-limit"
    NO_WORK_AFTER_DEPARTURE = "no-work-after-departure"
    VERSION_NEVER_DECREASES = "version-never-decreases"


@attrs.frozen
class Violation:
    """One event that breaks a rule."""

    rule: Rule
    """The rule."""

    event: Event
    """The event that broke it."""

    detail: str
    """A short sentence."""


@attrs.frozen
class Bounds:
    """Times within which a promise need not hold yet."""

    departure_s: float = 5.0
    """Seconds in which a departed backend server may get new work."""


def check(
    history: Sequence[Event], bounds: Bounds | None = None
) -> tuple[Violation, ...]:
    """Checks a history against all rules.

    Args:
        history: Events in the order of their times.
        bounds: Times that the promises allow.

    Returns:
        What breaks a rule, empty for a history that keeps them all.
    """
    limits = bounds or Bounds()
    return tuple(
        violation for rule in _RULES for violation in rule(history, limits)
    )


def _one_dispatch_per_key(
    history: Sequence[Event], _: Bounds
) -> Iterator[Violation]:
    """Yields second dispatches of a key."""
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
    """Yields dispatches, at any time, of keys reported as not run."""
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
    """Yields dispatches beyond what a backend server bears."""
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
    """Yields dispatches to backend servers that left long enough ago."""
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
    """Yields versions below an earlier one in the same life."""
    highest: dict[tuple[ids.InstanceId, ids.Incarnation], int] = {}
    for event in history:
        if not isinstance(event, VersionInForce):
            continue
        life = (event.instance_id, event.incarnation)
        before = highest.get(life, event.version)
        if event.version < before:
            yield Violation(
                Rule.VERSION_NEVER_DECREASES,
                event,
                f"version {before} was in force",
            )
        highest[life] = max(before, event.version)


_RULES: tuple[Callable[[Sequence[Event], Bounds], Iterator[Violation]], ...] = (
    _one_dispatch_per_key,
    _not_run_never_dispatched,
    _within_limit,
    _no_work_after_departure,
    _version_never_decreases,
)
