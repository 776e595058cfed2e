"""State that every instance folds from the log."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from magnoliacrank.model import configuration as configuration_lib
from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import move

_START = ids.LogOffset(0)
_NOWHERE = ids.LogOffset(-1)


@attrs.frozen
class AcceptedEdit:
    """One accepted edit of the configuration."""

    version: int
    """Configuration version that it made."""

    append_id: str
    """Identifies the edit."""

    author: str
    """Who made it."""

    offset: ids.LogOffset
    """Offset of its record."""

    changes: tuple[str, ...]
    """Names of the entries that it touched."""


@attrs.frozen
class RefusedEdit:
    """One edit whose base version was stale."""

    append_id: str
    """Identifies the edit."""

    base_version: int
    """Version that it was made from."""

    version: int
    """Version that was in force at its record."""

    offset: ids.LogOffset
    """Offset of its record."""


@attrs.frozen
class Term:
    """Holder of a singular job."""

    job: str
    """Name of the job."""

    number: int
    """Offset of the record that began the term."""

    holder: ids.InstanceId
    """Instance that holds the job."""

    incarnation: ids.Incarnation
    """Life of the holder."""

    renewed_at: ids.LogOffset
    """Offset of the newest record that began or renewed the term."""


@attrs.frozen
class Notice:
    """Something that operators are told."""

    notice_id: str
    """Identifies the notice."""

    offset: ids.LogOffset
    """Offset of the record that caused it."""

    text: str
    """A sentence for operators."""

    move: move.Move | None = None
    """Move that ended, or None."""


@attrs.frozen
class LogState:
    """Fold of all records before `next_offset`."""

    next_offset: ids.LogOffset = _START
    """Offset of the first record that is not in the fold."""

    version: int = 0
    """Version of the configuration; the number of accepted edits."""

    configuration: configuration_lib.Configuration = attrs.Factory(
        configuration_lib.Configuration
    )
    """Configuration in force."""

    accepted: tuple[AcceptedEdit, ...] = ()
    """Newest accepted edits, oldest first."""

    refused: tuple[RefusedEdit, ...] = ()
    """Newest refused edits, oldest first."""

    crews: Mapping[ids.ServiceName, crew.Crew] = attrs.Factory(dict)
    """Crew of each service."""

    terms: Mapping[str, Term] = attrs.Factory(dict)
    """Term of each singular job."""

    moves: Mapping[ids.ServiceName, move.Move] = attrs.Factory(dict)
    """Newest move of each service that ever moved."""

    notices: tuple[Notice, ...] = ()
    """Newest notices, oldest first."""

    departures: Mapping[ids.InstanceId, ids.Incarnation] = attrs.Factory(dict)
    """Newest lives of entry instances that told that they leave."""

    append_ids: Mapping[str, ids.LogOffset] = attrs.Factory(dict)
    """Offsets of the newest appends that folded, by their ids."""

    snapshot_offset: ids.LogOffset = _NOWHERE
    """Offset of the newest snapshot record; -1 when there is none."""

    snapshot_covers: ids.LogOffset = _START
    """Next offset of the state in the newest snapshot record."""

    def serving_version(
        self, service: ids.ServiceName
    ) -> ids.SoftwareVersion | None:
        """Returns the version that carries what no move takes, or None."""
        found = self.configuration.find_service(service)
        if found is None:
            return None
        moving = self.moves.get(service)
        if moving is None:
            return found[1].version
        return moving.serving_version
