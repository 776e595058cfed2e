"""Publisher: appends an operator's edit and tells what became of it."""

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
    """Configuration version that it made."""

    offset: ids.LogOffset
    """Offset of its record."""


@attrs.frozen
class Conflict:
    """The edit was made from a stale version and changed nothing."""

    base_version: int
    """Version that it was made from."""

    version: int
    """Version that was in force at its record."""

    edits: tuple[log_state.AcceptedEdit, ...]
    """Edits that were accepted since the base version and are still known."""


@attrs.frozen
class Unknown:
    """The edit may or may not come into force; publish it again to learn."""

    reason: appender_lib.Failure
    """What is not known."""


@attrs.frozen
class NotPublished:
    """The edit is not in the log; nothing changed."""

    reason: appender_lib.Failure
    """Why it was not appended."""


PublishResult = Accepted | Conflict | Unknown | NotPublished
"""Outcome of publishing an edit."""


class Publisher:
    """Publishes edits through a follower and an appender."""

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
        """Appends an edit and waits for what it folds to.

        Args:
            edit: What to change.
            base_version: Configuration version that the edit was made from.
            author: Who made it, for operators to read.
            append_id: Identifies the edit; derived from its content when None,
                so that publishing again gives the first result.
            timeout_s: Seconds after which the outcome is unknown.
        """
        record = records.EditRecord(base_version, edit, author)
        append_id = append_id or derive_append_id(record)
        known = find_result(self._follower.state, append_id)
        if known is not None:
            return known
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
    """Returns an append id that is the same for the same edit."""
    return "edit-" + xxhash.xxh3_128_hexdigest(msgspec.json.encode(record))


def find_result(
    state: log_state.LogState, append_id: str
) -> Accepted | Conflict | None:
    """Returns what an edit folded to, or None when it is not known."""
    for accepted in state.accepted:
        if accepted.append_id == append_id:
            return Accepted(accepted.version, accepted.offset)
    for refused in state.refused:
        if refused.append_id == append_id:
            return _conflict(state, refused)
    return None


def _conflict(
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
