"""Publisher: appends a configuration edit and reports its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from magnoliacrank.model import ids
from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import log_state
from magnoliacrank.state import records

if TYPE_CHECKING:
    from magnoliacrank.state import log_follower

_TIMEOUT_S = 10.0


@attrs.frozen
class Accepted:
    """The edit is in force."""

    version: int
    """Configuration version that the edit produced."""

    offset: ids.LogOffset
    """Offset of the edit's record."""


@attrs.frozen
class Conflict:
    """The edit was refused because its base version was stale."""

    base_version: int
    """Configuration version that the edit was made from."""

    version: int
    """Configuration version in force when the edit was refused."""

    edits: tuple[log_state.AcceptedEdit, ...]
    """Edits accepted since the base version, as far as they are retained."""


@attrs.frozen
class Unknown:
    """The edit may or may not take effect; publish it again to find out."""

    reason: appender_lib.Failure
    """Why the outcome could not be determined."""


@attrs.frozen
class NotPublished:
    """The edit is not in the log and has no effect."""

    reason: appender_lib.Failure
    """Why the edit was not appended."""


PublishResult = Accepted | Conflict | Unknown | NotPublished
"""Outcome of publishing an edit."""


class Publisher:
    """Publishes configuration edits with optimistic concurrency control."""

    def __init__(
        self,
        follower: log_follower.LogFollower,
        appender: appender_lib.Appender,
    ) -> None:
        self._follower = follower
        self._appender = appender

    async def publish(
        self,
        edit: edit_lib.Edit,
        base_version: int,
        *,
        author: str = "",
        append_id: str | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> PublishResult:
        """Appends an edit and waits until it is accepted or refused.

        Args:
            edit: Change of the configuration.
            base_version: Configuration version that the edit was made from.
            author: Operator or tool that made the edit, shown to operators.
            append_id: Deduplication id; derived from the edit, base version and
                author when None, so that publishing again returns the first
                result.
            timeout_s: Seconds to wait for the outcome.
        """
        record = records.EditRecord(base_version, edit, author)
        append_id = append_id or derive_append_id(record)
        earlier_result = find_result(self._follower.state, append_id)
        if earlier_result is not None:
            return earlier_result
        appended = await self._appender.append(
            record, append_id=append_id, timeout_s=timeout_s
        )
        if isinstance(appended, appender_lib.NotAppended):
            return NotPublished(appended.reason)
        if isinstance(appended, appender_lib.AppendUnknown):
            return Unknown(appended.reason)
        result = find_result(self._follower.state, append_id)
        return result or Unknown(appender_lib.Failure.NOT_READ_BACK)


def derive_append_id(record: records.EditRecord) -> str:
    """Returns a deterministic append id: a hash of the record's content."""
    return "edit-" + xxhash.xxh3_128_hexdigest(msgspec.json.encode(record))


def find_result(
    state: log_state.LogState, append_id: str
) -> Accepted | Conflict | None:
    """Returns the outcome of an edit, or None when the state has none.

    A state retains only the newest accepted and refused edits.
    """
    for accepted in state.accepted:
        if accepted.append_id == append_id:
            return Accepted(accepted.version, accepted.offset)
    for refused in state.refused:
        if refused.append_id == append_id:
            return _to_conflict(state, refused)
    return None


def _to_conflict(
    state: log_state.LogState, refused: log_state.RefusedEdit
) -> Conflict:
    return Conflict(
        base_version=refused.base_version,
        version=refused.version,
        edits=tuple(
            each
            for each in state.accepted
            if refused.base_version < each.version <= refused.version
        ),
    )
