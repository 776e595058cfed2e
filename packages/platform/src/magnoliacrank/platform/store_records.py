"""Codec of the store's log records, with and without keys.

Each record is preceded by its length. A keyed record begins with the length of
its key and the key. The response to a read begins with two offsets: the end of
the topic and that of its oldest retained record.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

_PAGE_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class RecordFormatError(ValueError):
    """Bytes from the store are not a valid sequence of records."""


@attrs.frozen
class KeyedRecord:
    """Record of a topic with keys: one value of one key."""

    key: str
    """Key of the record."""

    value: bytes | None = attrs.field(repr=False)
    """Value of the key; None for a tombstone, which deletes the key. It may
    contain callers' API keys, so representations leave it out."""

    offset: int
    """Offset of the record in the topic; -1 for a key that a complete listing
    of an empty topic lacks."""

    era: int = 0
    """Era of the store in which the record was read at that offset."""

    @property
    def position(self) -> tuple[int, int]:
        """Era and offset; a later record of a key has a greater position."""
        return (self.era, self.offset)


@attrs.frozen
class RecordPage:
    """Result of one read from a topic with keys."""

    records: tuple[KeyedRecord, ...]
    """Records in the order of their offsets, without the unreadable ones."""

    next_offset: int
    """Offset at which the next read starts."""

    end: int
    """Offset after the newest record of the topic."""

    unreadable: int = 0
    """Number of records that were left out because their key is unreadable."""

    era: int = 0
    """Era of the store that the response states; 0 if it states none."""

    @property
    def is_complete(self) -> bool:
        """Whether no record follows, so that a reader lacks none now."""
        return self.next_offset >= self.end


@attrs.frozen
class PlainPage:
    """Result of one read from a topic without keys."""

    contents: tuple[bytes, ...]
    """Contents of the records, in the order of their offsets."""

    end: int
    """Offset after the newest record of the topic."""

    first: int
    """Offset of the oldest record that the store retains."""

    era: int = 0
    """Era of the store that the response states; 0 if it states none."""


def encode(key: str, value: bytes) -> bytes:
    """Encodes one keyed record, framed by its length."""
    name = key.encode()
    return encode_plain(bytes((len(name),)) + name + value)


def encode_plain(content: bytes) -> bytes:
    """Encodes one record without a key, framed by its length."""
    return _LENGTH.pack(len(content)) + content


def decode_keyed_page(
    data: bytes, start_offset: int, era: int = 0
) -> RecordPage:
    """Decodes the store's response to a read from a topic with keys.

    Args:
        data: Body of the response.
        start_offset: Offset of the first record in the response.
        era: Era of the store that the response states.

    Raises:
        RecordFormatError: The response is truncated or malformed.
    """
    page = decode_plain_page(data, era)
    records: list[KeyedRecord] = []
    unreadable = 0
    offset = start_offset
    for content in page.contents:
        record = _decode_keyed(content, offset, era)
        if record is None:
            unreadable += 1
        else:
            records.append(record)
        offset += 1
    return RecordPage(tuple(records), offset, page.end, unreadable, era)


def decode_plain_page(data: bytes, era: int = 0) -> PlainPage:
    """Decodes the store's response to a read from a topic without keys.

    Args:
        data: Body of the response.
        era: Era of the store that the response states.

    Raises:
        RecordFormatError: The response is truncated or malformed.
    """
    if len(data) < _PAGE_HEADER.size:
        raise RecordFormatError("the response is shorter than its header")
    end, first = _PAGE_HEADER.unpack_from(data)
    contents = _split(data[_PAGE_HEADER.size :])
    return PlainPage(tuple(contents), end, first, era)


def _split(data: bytes) -> Sequence[bytes]:
    contents: list[bytes] = []
    position = 0
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise RecordFormatError("a record's length is truncated")
        (size,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + size]
        if len(content) != size:
            raise RecordFormatError("a record is truncated")
        contents.append(content)
        position += size
    return contents


def _decode_keyed(content: bytes, offset: int, era: int) -> KeyedRecord | None:
    if not content:
        return None
    size = content[0]
    name = content[1 : 1 + size]
    if len(name) != size:
        return None
    try:
        key = name.decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[1 + size :] or None, offset, era)
