"""Bodies as streams of chunks, and the reasons why one ends early."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs


class BodyFailureKind(enum.Enum):
    """Why a request body did not arrive whole."""

    CALLER_GONE = "caller-gone"
    MALFORMED = "malformed"
    TOO_SLOW = "too-slow"


@attrs.frozen
class BodyFailure:
    """Sentinel in place of a chunk: the body will not become whole."""

    kind: BodyFailureKind
    """What went wrong."""

    status: int
    """HTTP status that suits an answer to it."""


@attrs.frozen
class BodyTooLarge:
    """Sentinel in place of a body that is larger than the limit."""

    limit: int
    """Limit in bytes."""


CALLER_GONE = BodyFailure(BodyFailureKind.CALLER_GONE, 400)
"""The caller's connection closed before the end of the body."""

MALFORMED = BodyFailure(BodyFailureKind.MALFORMED, 400)
"""The chunked coding of the body is broken."""

TOO_SLOW = BodyFailure(BodyFailureKind.TOO_SLOW, 408)
"""The body arrives more slowly than the limits allow."""


class BodyFailureError(Exception):
    """Carries a failure through the reader of a body."""

    def __init__(self, failure: BodyFailure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


class BodySource(Protocol):
    """A body that is read in chunks."""

    @property
    def body_length(self) -> int | None:
        """Length in bytes, or None when only the end will tell."""

    async def read_chunk(self) -> bytes | BodyFailure:
        """Returns the next bytes; empty at the end of a whole body."""
