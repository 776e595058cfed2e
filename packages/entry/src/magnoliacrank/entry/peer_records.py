"""Records that one instance hands to another, and their codec."""

from __future__ import annotations

import zlib

import msgspec

from magnoliacrank.platform import store_records

PATH = "/records"
"""Path on the port between instances."""

RecordRow = tuple[str, bytes | None, int]
"""Key, value and offset."""


StateRow = tuple[str, str, str]
"""Service, target version and state of a roll-out."""

_COMPRESSION_LEVEL = 1
_MAX_CONTENT_BYTES = 64_000_000


class Changes(msgspec.Struct, array_like=True):
    """Changes that the asking instance lacks."""

    operators: list[RecordRow]
    """Records of operators."""

    servers: list[RecordRow]
    """Records of backend servers."""

    states: list[StateRow] | None
    """Recorded states of roll-outs; None if the sender has not read them."""


class PeerRecords(msgspec.Struct, array_like=True):
    """Answer to an instance that lacks changes."""

    content: bytes
    """Encoded and compressed `Changes`; made once for all that ask for the
    same."""

    operators_mark: int
    """Offset after the newest change by operators that the sender knows."""

    servers_mark: int
    """Offset after the newest change of servers that the sender knows."""

    verified_age_ms: int
    """Age of the sender's proof that it knows all changes; -1 for none."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerRecords)
_CHANGES_DECODER = msgspec.msgpack.Decoder(Changes)


def encode(records: PeerRecords) -> bytes:
    """Returns the bytes of the answer."""
    return _ENCODER.encode(records)


def decode(data: bytes) -> PeerRecords | None:
    """Returns an answer, or None for bytes that are none."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def encode_changes(changes: Changes) -> bytes:
    """Returns the content of an answer."""
    return zlib.compress(_ENCODER.encode(changes), _COMPRESSION_LEVEL)


def decode_changes(content: bytes) -> Changes | None:
    """Returns what an answer holds, or None for bytes that hold nothing."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, _MAX_CONTENT_BYTES)
        return _CHANGES_DECODER.decode(data)
    except (zlib.error, msgspec.DecodeError):
        return None


def to_rows(records: list[store_records.KeyedRecord]) -> list[RecordRow]:
    """Returns records as rows."""
    return [(record.key, record.value, record.offset) for record in records]


def from_rows(rows: list[RecordRow]) -> list[store_records.KeyedRecord]:
    """Returns rows as records."""
    return [store_records.KeyedRecord(*row) for row in rows]
