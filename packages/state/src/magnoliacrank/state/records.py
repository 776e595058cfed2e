"""Record types of the log, one class per kind.

The format is described in docs/design/log-records.md.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import move
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import log_state


@attrs.frozen
class EditRecord:
    """Edits the configuration; refused when its base version is stale."""

    base_version: int
    """Configuration version that the edit was made from."""

    edit: edit_lib.Edit
    """Entries to set and to remove."""

    author: str = ""
    """Operator or tool that made the edit, shown to operators."""


@attrs.frozen
class CrewRecord:
    """Sets the crew of one service: the instances that own its slots.

    A slot is the right to have one request in flight to a backend server.
    """

    service: ids.ServiceName
    """Service whose backend slots the crew owns."""

    based_on: int
    """Number of the crew that this one replaces; -1 when there is none.

    The record is ignored when another crew is current.
    """

    members: tuple[crew.CrewMember, ...]
    """Members, ordered by instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Number of slots that each member owns, by backend server."""


@attrs.frozen
class TermRecord:
    """Starts or renews the term of a singleton job's holder."""

    job: str
    """Name of the singleton job."""

    holder: ids.InstanceId
    """Instance that holds the job if the record takes effect."""

    incarnation: ids.Incarnation
    """Incarnation of the holder: identifies one run of the instance."""

    based_on: int
    """Number of the term that is replaced or renewed; -1 when there is none.

    The record is ignored when another term is current.
    """


@attrs.frozen
class MoveRecord:
    """One step of a move (version rollout): new traffic shares, or its end."""

    service: ids.ServiceName
    """Service whose software version changes."""

    move_id: str
    """Identifies the move."""

    step: int
    """Number of the step, one more than that of the previous step.

    A record with any other number is ignored.
    """

    phase: move.Phase
    """Phase of the move from this step on."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """Fraction of requests sent to the new version, by route."""

    reason: move.Reason = move.Reason.NONE
    """Why the move ended; NONE while it is running."""

    route: str = ""
    """Route on which the new version was found faulty, or empty."""


@attrs.frozen
class NoticeRecord:
    """Adds a notice for operators.

    Notices about the end of a move need no record of this kind.
    """

    notice_id: str
    """Identifies the notice; a later notice with the same id is ignored."""

    text: str
    """Text of the notice, one sentence."""


@attrs.frozen
class ClaimRecord:
    """Claims the right to dispatch the request with a plain idempotency key.

    Of all claims on one key, the one with the lowest offset wins.
    """

    customer: ids.CustomerId
    """Customer that sent the key; a key counts per customer and service."""

    service: ids.ServiceName
    """Service of the request; a key counts per customer and service."""

    key: ids.RequestKey
    """Idempotency key."""

    digest: bytes
    """Digest of the request that carries the key."""

    instance_id: ids.InstanceId
    """Instance that may dispatch the request if its claim wins."""

    incarnation: ids.Incarnation
    """Incarnation of the instance: identifies one run of it."""


@attrs.frozen
class DepartureRecord:
    """Announces that an entry instance is leaving."""

    instance_id: ids.InstanceId
    """Instance that is leaving."""

    incarnation: ids.Incarnation
    """Incarnation that ends: identifies one run of the instance."""


@attrs.frozen
class SnapshotRecord:
    """Snapshot of the log state, for readers of a log whose start expired."""

    state: log_state.LogState
    """State after all records before its `next_offset`."""


Record = (
    EditRecord
    | CrewRecord
    | TermRecord
    | MoveRecord
    | NoticeRecord
    | ClaimRecord
    | DepartureRecord
    | SnapshotRecord
)
"""Content of a log record, of any kind."""


@attrs.frozen
class Fence:
    """Fencing token: the record is ignored unless this term is current."""

    job: str
    """Name of the singleton job."""

    number: int
    """Number of the term under which the record was written."""


@attrs.frozen
class Entry:
    """A record with its append id and fencing token."""

    append_id: str
    """Identifies the append; a repeat has the same id and is ignored."""

    record: Record
    """Content of the record."""

    fence: Fence | None = None
    """Fencing token, or None for a record that applies under any term."""
