"""Framing of the store's log records, plain and keyed."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

_POSITIONS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class RecordFormatError(ValueError):
    """Bytes of the store are not records."""


@attrs.frozen
class KeyedRecord:
    """Newest or logged value of one key."""

    key: str
    """The key."""

    value: bytes | None
    """The value; None when the key was dropped."""

    offset: int
    """Offset of the record."""


@attrs.frozen
class RecordPage:
    """Answer to a read of a log."""

    records: tuple[KeyedRecord, ...]
    """Records in the order of their offsets; unreadable ones are left out."""

    next_offset: int
    """Offset from which to read on."""

    end: int
    """Offset after the newest record."""

    unreadable: int = 0
    """Records whose key can't be read."""


@attrs.frozen
class PlainPage:
    """Answer to a read of a log whose records have no keys."""

    contents: tuple[bytes, ...]
    """Records in the order of their offsets."""

    end: int
    """Offset after the newest record."""

    first: int
    """Offset of the oldest record that is kept."""


def encode(key: str, value: bytes) -> bytes:
    """Returns one keyed record with its length."""
    name = key.encode()
    return encode_plain(bytes((len(name),)) + name + value)


def encode_plain(content: bytes) -> bytes:
    """Returns one record with its length."""
    return _LENGTH.pack(len(content)) + content


def decode_page(data: bytes, start: int) -> RecordPage:
    """Returns the keyed records of a read.

    Args:
        data: Body of the answer.
        start: Offset from which was read.

    Raises:
        RecordFormatError: The bytes are cut or not records.
    """
    page = decode_plain_page(data)
    records: list[KeyedRecord] = []
    unreadable = 0
    offset = start
    for content in page.contents:
        record = _decode_keyed(content, offset)
        if record is None:
            unreadable += 1
        else:
            records.append(record)
        offset += 1
    return RecordPage(tuple(records), offset, page.end, unreadable)


def decode_plain_page(data: bytes) -> PlainPage:
    """Returns the records of a read.

    Raises:
        RecordFormatError: The bytes are cut or not records.
    """
    if len(data) < _POSITIONS.size:
        raise RecordFormatError("the answer is shorter than its positions")
    end, first = _POSITIONS.unpack_from(data)
    contents = _split(data[_POSITIONS.size :])
    return PlainPage(tuple(contents), end, first)


def _split(data: bytes) -> Sequence[bytes]:
    contents: list[bytes] = []
    position = 0
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise RecordFormatError("a record's length is cut")
        (size,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + size]
        if len(content) != size:
            raise RecordFormatError("a record is cut")
        contents.append(content)
        position += size
    return contents


def _decode_keyed(content: bytes, offset: int) -> KeyedRecord | None:
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
    return KeyedRecord(key, content[1 + size :] or None, offset)
