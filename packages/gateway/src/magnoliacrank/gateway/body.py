"""Request bodies that are read in chunks, and why reading one fails."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs


class BodyFailureKind(enum.Enum):
    """Cause for which a request body did not arrive whole."""

    CALLER_GONE = "caller-gone"
    MALFORMED = "malformed"
    TOO_SLOW = "too-slow"
    NO_MEMORY = "body-memory"
    LEAVING = "leaving"


@attrs.frozen
class BodyFailure:
    """Returned instead of body bytes when the rest of a body can't be read."""

    kind: BodyFailureKind
    """Cause of the failure."""

    status: int
    """HTTP status for answering the request."""


@attrs.frozen
class BodyTooLarge:
    """Returned instead of a body that is larger than the limit."""

    limit: int
    """Maximum size of the body in bytes."""


CALLER_GONE = BodyFailure(BodyFailureKind.CALLER_GONE, 400)
"""The caller's connection closed before the end of the body."""

MALFORMED = BodyFailure(BodyFailureKind.MALFORMED, 400)
"""The body's chunked transfer coding is malformed."""

TOO_SLOW = BodyFailure(BodyFailureKind.TOO_SLOW, 408)
"""The body arrived more slowly than the limits for callers allow."""


NO_MEMORY = BodyFailure(BodyFailureKind.NO_MEMORY, 503)
"""The memory for request bodies is used up."""

LEAVING = BodyFailure(BodyFailureKind.LEAVING, 503)
"""The instance stops before the request could be finished."""


class BodyFailureError(Exception):
    """Passes a failure through the stream of a body to its reader.

    Args:
        failure: Failure that the reader returns.
    """

    def __init__(self, failure: BodyFailure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


class BodySource(Protocol):
    """Source from which a request body is read in chunks."""

    @property
    def body_length(self) -> int | None:
        """Length of the body in bytes, or None if not known in advance."""

    async def read_chunk(self) -> bytes | BodyFailure:
        """Returns the next bytes, empty at the end, or why reading failed."""
