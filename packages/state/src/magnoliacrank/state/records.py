"""Records of the log, one class for each kind; docs/design/log-records.md."""

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
    """An operator's edit of the configuration."""

    base_version: int
    """Configuration version that the edit was made from."""

    edit: edit_lib.Edit
    """What to change."""

    author: str = ""
    """Who made the edit, for operators to read."""


@attrs.frozen
class CrewRecord:
    """Members and slots of one service's crew."""

    service: ids.ServiceName
    """Service that the crew carries."""

    based_on: int
    """Number of the crew that it replaces; -1 when there is none."""

    members: tuple[crew.CrewMember, ...]
    """Members in order of instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Slots of each backend server by owner."""


@attrs.frozen
class TermRecord:
    """Takes or renews the term of a singular job."""

    job: str
    """Name of the job."""

    holder: ids.InstanceId
    """Instance that shall hold the job."""

    incarnation: ids.Incarnation
    """Life of the holder."""

    based_on: int
    """Number of the term that it follows; -1 when there is none."""


@attrs.frozen
class MoveRecord:
    """One step of a move: new shares, or its result."""

    service: ids.ServiceName
    """Service whose version moves."""

    move_id: str
    """Identifies the move."""

    step: int
    """Number of the step, one more than the one before."""

    phase: move.Phase
    """Phase from this step on."""

    route_shares: Mapping[str, float] = attrs.Factory(dict)
    """Share of the new version by route."""

    reason: move.Reason = move.Reason.NONE
    """Why the move ended."""

    route: str = ""
    """Route on which a fault showed."""


@attrs.frozen
class NoticeRecord:
    """A notice that no other record implies."""

    notice_id: str
    """Identifies the notice; a second one of the same id is dropped."""

    text: str
    """A sentence for operators."""


@attrs.frozen
class ClaimRecord:
    """Claims the right to dispatch a request under a plain key."""

    customer: ids.CustomerId
    """Customer that scopes the key."""

    service: ids.ServiceName
    """Service that scopes the key."""

    key: ids.RequestKey
    """Idempotency key."""

    digest: bytes
    """Digest of the request."""

    instance_id: ids.InstanceId
    """Instance that may dispatch if its claim is the first."""

    incarnation: ids.Incarnation
    """Life of the instance."""


@attrs.frozen
class DepartureRecord:
    """Tells that an entry instance leaves."""

    instance_id: ids.InstanceId
    """Instance that leaves."""

    incarnation: ids.Incarnation
    """Life that ends."""


@attrs.frozen
class SnapshotRecord:
    """The fold of all records before an offset."""

    state: log_state.LogState
    """The fold; its next offset is the first record that is not in it."""


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
"""Content of a log record."""


@attrs.frozen
class Fence:
    """Term under which a record was written."""

    job: str
    """Name of the job."""

    number: int
    """Number of the term."""


@attrs.frozen
class Entry:
    """A record with what the fold needs to know about its append."""

    append_id: str
    """Identifies the append; a repeat carries the same one."""

    record: Record
    """Content."""

    fence: Fence | None = None
    """Term under which it was written, or None."""
