"""LogService: interface of an append-only log with offsets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.model import ids

if TYPE_CHECKING:
    from collections.abc import Sequence


class LogUnavailableError(Exception):
    """The log service refused or could not be reached; nothing was written."""


class LogRewoundError(LogUnavailableError):
    """The log came back from an older copy, so known offsets mean nothing."""


class AppendOutcomeUnknownError(Exception):
    """The outcome of an append is unknown; the records may be in the log."""


@attrs.frozen
class LoggedRecord:
    """One record of the log."""

    offset: ids.LogOffset
    """Offset of the record in the log."""

    data: bytes
    """Content of the record, opaque to the log service."""


@attrs.frozen
class LogPage:
    """Result of one read."""

    records: tuple[LoggedRecord, ...]
    """Records in offset order without gaps."""

    next_offset: ids.LogOffset
    """Offset at which the next read starts."""

    oldest_offset: ids.LogOffset
    """Offset of the oldest record that the log retains."""

    end_offset: ids.LogOffset
    """Offset that the next appended record will get."""


class LogService(Protocol):
    """An append-only log that all entry instances read and append to."""

    async def append(self, records: Sequence[bytes]) -> ids.LogOffset:
        """Appends records in their order, either all or none.

        Args:
            records: Contents of the records, at least one.

        Returns:
            The offset of the first record; the others follow it.

        Raises:
            LogRewoundError: The log came back from an older copy; nothing was
                written.
            LogUnavailableError: Nothing was written.
            AppendOutcomeUnknownError: The records may have been written.
        """
        ...

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> LogPage:
        """Reads records from an offset on.

        If the offset is no longer retained, the read starts at the oldest
        retained one.

        Args:
            offset: Offset of the first record to read.
            limit: Largest number of records to return.
            wait_s: Longest time to wait for a record if there is none yet, in
                seconds.

        Raises:
            LogRewoundError: The log came back from an older copy.
            LogUnavailableError: The log service gave no usable response.
        """
        ...
