"""Bodies of the log service's HTTP interface, as JSON."""

from __future__ import annotations

import attrs
import msgspec

CONTENT_TYPE = "application/json"
"""Media type of every body."""


@attrs.frozen
class AppendBody:
    """Body of an append."""

    records: tuple[bytes, ...]
    """Records; bytes are base64 text in JSON."""


@attrs.frozen
class AppendAnswer:
    """Answer to an append."""

    offset: int
    """Offset of the first record."""


@attrs.frozen
class ReadAnswer:
    """Answer to a read."""

    offset: int
    """Offset of the first record in the answer."""

    records: tuple[bytes, ...]
    """Records from that offset on; bytes are base64 text in JSON."""

    oldest_offset: int
    """Oldest offset that is still retained."""

    end_offset: int
    """Offset that the next appended record gets."""


_ENCODER = msgspec.json.Encoder()


def encode(body: AppendBody | AppendAnswer | ReadAnswer) -> bytes:
    """Returns a body as JSON text."""
    return _ENCODER.encode(body)


def decode_append(data: bytes) -> AppendBody:
    """Returns the body of an append.

    Raises:
        ValueError: The text is not such a body.
    """
    return msgspec.json.decode(data, type=AppendBody)


def decode_append_answer(data: bytes) -> AppendAnswer:
    """Returns the answer to an append.

    Raises:
        ValueError: The text is not such an answer.
    """
    return msgspec.json.decode(data, type=AppendAnswer)


def decode_read_answer(data: bytes) -> ReadAnswer:
    """Returns the answer to a read.

    Raises:
        ValueError: The text is not such an answer.
    """
    return msgspec.json.decode(data, type=ReadAnswer)
