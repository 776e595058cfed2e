"""Log service: the platform's append-only log with offsets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.model import ids

if TYPE_CHECKING:
    from collections.abc import Sequence


class LogUnavailableError(Exception):
    """The log service refused or could not be reached; nothing was written."""


class AppendUnknownError(Exception):
    """The answer to an append was lost; the records may have been written."""


@attrs.frozen
class LoggedRecord:
    """One record as the log holds it."""

    offset: ids.LogOffset
    """Position in the log."""

    data: bytes
    """Content, opaque to the log service."""


@attrs.frozen
class LogPage:
    """One answer to a read."""

    records: tuple[LoggedRecord, ...]
    """Records in offset order without gaps."""

    next_offset: ids.LogOffset
    """Offset to read from next."""

    oldest_offset: ids.LogOffset
    """Oldest offset that is still retained."""

    end_offset: ids.LogOffset
    """Offset that the next appended record gets."""


class LogService(Protocol):
    """One stream of the platform's log service."""

    async def append(self, records: Sequence[bytes]) -> ids.LogOffset:
        """Appends records as one unit, in their order.

        Args:
            records: Contents of the records, at least one.

        Returns:
            The offset of the first record; the others follow it.

        Raises:
            LogUnavailableError: Nothing was written.
            AppendUnknownError: The records may have been written.
        """
        ...

    async def read(
        self, offset: ids.LogOffset, limit: int, wait_s: float
    ) -> LogPage:
        """Reads records from an offset on.

        A read below the oldest retained offset starts at the oldest one.

        Args:
            offset: Offset of the first record wanted.
            limit: Largest number of records in the answer.
            wait_s: Seconds to wait for a record when there is none yet.

        Raises:
            LogUnavailableError: The log service gave no usable answer.
        """
        ...
