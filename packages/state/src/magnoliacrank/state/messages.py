"""Messages by which the log follower reports changes of the log state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from magnoliacrank.model import configuration as configuration_lib
from magnoliacrank.model import crew as crew_lib
from magnoliacrank.model import ids
from magnoliacrank.model import move as move_lib
from magnoliacrank.state import log_state
from magnoliacrank.state import readiness as readiness_lib
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


@attrs.frozen
class ConfigurationChanged:
    """A newer configuration is in force."""

    version: int
    """Version of the new configuration."""

    configuration: configuration_lib.Configuration
    """The new configuration."""


@attrs.frozen
class CrewChanged:
    """A service has a new crew, that is, the instances that own its slots."""

    crew: crew_lib.Crew
    """The new crew."""


@attrs.frozen
class TermChanged:
    """A singleton job has a new holder, or its term was renewed."""

    term: log_state.Term
    """The new or renewed term."""


@attrs.frozen
class MoveChanged:
    """A move (version rollout) started, changed or ended."""

    move: move_lib.Move
    """The move in its new state."""


@attrs.frozen
class NoticeRecorded:
    """A notice for operators was added."""

    notice: log_state.Notice
    """The added notice."""


@attrs.frozen
class ClaimRecorded:
    """A claim on a plain idempotency key was read from the log.

    The same claim may be reported more than once.
    """

    offset: ids.LogOffset
    """Offset of the claim; of several on one key, the lowest offset wins."""

    claim: records.ClaimRecord
    """Content of the claim."""


@attrs.frozen
class DepartureRecorded:
    """An entry instance announced that it is leaving."""

    instance_id: ids.InstanceId
    """Instance that is leaving."""

    incarnation: ids.Incarnation
    """Incarnation that ends: identifies one run of the instance."""


@attrs.frozen
class SnapshotRecorded:
    """The log holds a newer snapshot of the log state."""

    offset: ids.LogOffset
    """Offset of the snapshot record."""

    covers: ids.LogOffset
    """Offset of the first record that the snapshot does not cover."""


@attrs.frozen
class ReadinessChanged:
    """The state became ready, or the reason for not being ready changed."""

    readiness: readiness_lib.Readiness
    """The new readiness."""


StateMessage = (
    ConfigurationChanged
    | CrewChanged
    | TermChanged
    | MoveChanged
    | NoticeRecorded
    | ClaimRecorded
    | DepartureRecorded
    | SnapshotRecorded
    | ReadinessChanged
)
"""Any message that the log follower sends to its subscribers."""


def changes_between(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[StateMessage]:
    """Yields the messages about what changed between two log states.

    Removed crews and moves yield no message, nor do accepted and refused edits
    as such.
    """
    if after.version != before.version:
        yield ConfigurationChanged(after.version, after.configuration)
    for crew in _changed_values(before.crews, after.crews):
        yield CrewChanged(crew)
    for term in _changed_values(before.terms, after.terms):
        yield TermChanged(term)
    for move in _changed_values(before.moves, after.moves):
        yield MoveChanged(move)
    yield from _new_notices(before, after)
    yield from _new_departures(before, after)
    if after.snapshot_offset != before.snapshot_offset:
        yield SnapshotRecorded(after.snapshot_offset, after.snapshot_covers)


def _changed_values(
    before: Mapping[_Key, _Value], after: Mapping[_Key, _Value]
) -> Iterator[_Value]:
    if after is before:
        return
    for key, value in after.items():
        if before.get(key) != value:
            yield value


def _new_departures(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[DepartureRecorded]:
    if after.departures is before.departures:
        return
    for instance_id, incarnation in after.departures.items():
        if before.departures.get(instance_id) != incarnation:
            yield DepartureRecorded(instance_id, incarnation)


def _new_notices(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[NoticeRecorded]:
    if after.notices is before.notices:
        return
    for notice in after.notices:
        if notice.offset >= before.next_offset:
            yield NoticeRecorded(notice)
