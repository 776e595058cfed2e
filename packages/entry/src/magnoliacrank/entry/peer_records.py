"""Messages with which an instance sends records to another, and their codec."""

from __future__ import annotations

import zlib

import msgspec

from magnoliacrank.entry import heartbeat
from magnoliacrank.platform import store_records
from magnoliacrank.platform import wire_values

PATH = "/records"
"""Path of record requests on the port between instances."""

RecordRow = tuple[str, bytes | None, heartbeat.Count]
"""Key, value and offset of a record; the value of a deleted key is None."""


StateRow = tuple[str, str, heartbeat.RolloutStateName]
"""Service, target version and state of a rollout."""

_COMPRESSION_LEVEL = 1
_MAX_CONTENT_BYTES = 64_000_000


class Changes(msgspec.Struct, array_like=True):
    """Records that changed after the offsets in the request."""

    operators: list[RecordRow]
    """Changed records of the operators' topic."""

    servers: list[RecordRow]
    """Changed records of the backend servers' topic."""

    states: list[StateRow] | None
    """Recorded states of rollouts; None if the sender has not read them."""


class PeerRecords(msgspec.Struct, array_like=True):
    """Answer to a request of another instance for changed records."""

    content: bytes
    """Encoded and compressed `Changes`; a separate field so that the sender
    can cache it for equal requests."""

    operators_mark: heartbeat.Count
    """Offset after the sender's newest change in the operators' topic."""

    servers_mark: heartbeat.Count
    """Offset after the sender's newest change in the servers' topic."""

    verified_age_ms: heartbeat.Age
    """Milliseconds since the sender's records were last verified to be
    complete; -1 for never."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerRecords)
_CHANGES_DECODER = msgspec.msgpack.Decoder(Changes)


def encode(records: PeerRecords) -> bytes:
    """Encodes an answer."""
    return _ENCODER.encode(records)


def decode(data: bytes) -> PeerRecords | None:
    """Decodes an answer; returns None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except wire_values.MALFORMED_ERRORS:
        return None


def encode_changes(changes: Changes) -> bytes:
    """Encodes and compresses changes for `PeerRecords.content`."""
    return zlib.compress(_ENCODER.encode(changes), _COMPRESSION_LEVEL)


def decode_changes(content: bytes) -> Changes | None:
    """Decodes `PeerRecords.content`; returns None if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, _MAX_CONTENT_BYTES)
        return _CHANGES_DECODER.decode(data)
    except (zlib.error, *wire_values.MALFORMED_ERRORS):
        return None


def to_rows(records: list[store_records.KeyedRecord]) -> list[RecordRow]:
    """Converts keyed records to their encoded form."""
    return [(record.key, record.value, record.offset) for record in records]


def from_rows(rows: list[RecordRow]) -> list[store_records.KeyedRecord]:
    """Converts keyed records from their encoded form."""
    return [store_records.KeyedRecord(*row) for row in rows]
