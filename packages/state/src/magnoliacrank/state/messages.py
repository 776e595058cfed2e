"""Messages that the log follower sends about what changed in the fold."""

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
    """Version of the configuration."""

    configuration: configuration_lib.Configuration
    """The configuration."""


@attrs.frozen
class CrewChanged:
    """A service has a new crew."""

    crew: crew_lib.Crew
    """The crew."""


@attrs.frozen
class TermChanged:
    """A singular job has a new holder, or its term was renewed."""

    term: log_state.Term
    """The term."""


@attrs.frozen
class MoveChanged:
    """A move began, made a step or ended."""

    move: move_lib.Move
    """The move."""


@attrs.frozen
class NoticeRecorded:
    """There is a new notice for operators."""

    notice: log_state.Notice
    """The notice."""


@attrs.frozen
class ClaimRecorded:
    """A claim for a plain key was read; it may be told more than once."""

    offset: ids.LogOffset
    """Offset of the claim; the first in offset order wins."""

    claim: records.ClaimRecord
    """The claim."""


@attrs.frozen
class DepartureRecorded:
    """An entry instance told that it leaves."""

    instance_id: ids.InstanceId
    """Instance that leaves."""

    incarnation: ids.Incarnation
    """Life that ends."""


@attrs.frozen
class SnapshotRecorded:
    """A newer snapshot is in the log."""

    offset: ids.LogOffset
    """Offset of the snapshot record."""

    covers: ids.LogOffset
    """First offset that is not in the snapshot."""


@attrs.frozen
class ReadinessChanged:
    """The fold became ready, or the reason why it is not changed."""

    readiness: readiness_lib.Readiness
    """The readiness."""


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
"""Any message of the log follower."""


def between(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[StateMessage]:
    """Yields the messages that tell how two folds differ."""
    if after.version != before.version:
        yield ConfigurationChanged(after.version, after.configuration)
    for crew in _changed(before.crews, after.crews):
        yield CrewChanged(crew)
    for term in _changed(before.terms, after.terms):
        yield TermChanged(term)
    for move in _changed(before.moves, after.moves):
        yield MoveChanged(move)
    yield from _notices(before, after)
    yield from _departures(before, after)
    if after.snapshot_offset != before.snapshot_offset:
        yield SnapshotRecorded(after.snapshot_offset, after.snapshot_covers)


def _changed(
    before: Mapping[_Key, _Value], after: Mapping[_Key, _Value]
) -> Iterator[_Value]:
    if after is before:
        return
    for key, value in after.items():
        if before.get(key) != value:
            yield value


def _departures(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[DepartureRecorded]:
    if after.departures is before.departures:
        return
    for instance_id, incarnation in after.departures.items():
        if before.departures.get(instance_id) != incarnation:
            yield DepartureRecorded(instance_id, incarnation)


def _notices(
    before: log_state.LogState, after: log_state.LogState
) -> Iterator[NoticeRecorded]:
    if after.notices is before.notices:
        return
    for notice in after.notices:
        if notice.offset >= before.next_offset:
            yield NoticeRecorded(notice)
