"""State that every entry instance derives from the log."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from magnoliacrank.model import configuration as configuration_lib
from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import move

_FIRST_OFFSET = ids.LogOffset(0)
_NO_OFFSET = ids.LogOffset(-1)


@attrs.frozen
class AcceptedEdit:
    """One accepted edit of the configuration."""

    version: int
    """Configuration version that the edit produced."""

    append_id: str
    """Append id under which the edit was published."""

    author: str
    """Operator or tool that made the edit, as stated when publishing it."""

    offset: ids.LogOffset
    """Offset of the edit's record."""

    changes: tuple[str, ...]
    """Dotted names of the configuration entries that the edit changed."""


@attrs.frozen
class RefusedEdit:
    """One edit that was refused because its base version was stale."""

    append_id: str
    """Append id under which the edit was published."""

    base_version: int
    """Configuration version that the edit was made from."""

    version: int
    """Configuration version in force when the edit was refused."""

    offset: ids.LogOffset
    """Offset of the edit's record."""


@attrs.frozen
class Term:
    """Tenure of one instance as the holder of a singleton job.

    A singleton job, such as recording the steps of moves, is done by one
    instance at a time. The term's number serves as the fencing token.
    """

    job: str
    """Name of the singleton job."""

    number: int
    """Offset of the record that began the term."""

    holder: ids.InstanceId
    """Instance that holds the job."""

    incarnation: ids.Incarnation
    """Incarnation of the holder: identifies one run of the instance."""

    renewed_at: ids.LogOffset
    """Offset of the newest record that began or renewed the term."""


@attrs.frozen
class Notice:
    """Message for operators, such as the end of a move."""

    notice_id: str
    """Identifies the notice."""

    offset: ids.LogOffset
    """Offset of the record that caused the notice."""

    text: str
    """Text of the message, one sentence."""

    move: move.Move | None = None
    """Move whose end the notice reports, or None."""


@attrs.frozen
class LogState:
    """State after applying all log records before `next_offset`."""

    next_offset: ids.LogOffset = _FIRST_OFFSET
    """Offset of the first record that has not been applied."""

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
    """Crew of each service: the instances that own its slots."""

    terms: Mapping[str, Term] = attrs.Factory(dict)
    """Current term of each singleton job."""

    moves: Mapping[ids.ServiceName, move.Move] = attrs.Factory(dict)
    """Newest move (version rollout) of each service that has had one."""

    notices: tuple[Notice, ...] = ()
    """Newest notices, oldest first."""

    departures: Mapping[ids.InstanceId, ids.Incarnation] = attrs.Factory(dict)
    """Newest incarnation that announced its departure, by instance."""

    append_ids: Mapping[str, ids.LogOffset] = attrs.Factory(dict)
    """Offsets of recently applied records by append id, to drop repeats."""

    snapshot_offset: ids.LogOffset = _NO_OFFSET
    """Offset of the newest snapshot record; -1 when there is none."""

    snapshot_covers: ids.LogOffset = _FIRST_OFFSET
    """Next offset of the state in the newest snapshot record; 0 when none."""

    def serving_version(
        self, service: ids.ServiceName
    ) -> ids.SoftwareVersion | None:
        """Returns the software version that serves a service's traffic.

        After a completed move this is the new version. During any other move,
        and after one that ended otherwise, it is the old version, which gets
        the traffic that is not shifted to the new one. None when the service is
        not configured.
        """
        found = self.configuration.find_service(service)
        if found is None:
            return None
        moving = self.moves.get(service)
        if moving is None:
            return found[1].version
        return moving.serving_version
