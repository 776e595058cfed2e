"""Messages with which an instance sends records to another, and their codec."""

from __future__ import annotations

import zlib

import msgspec

from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import keyed_view
from magnoliacrank.platform import store_records
from magnoliacrank.platform import wire_values

PATH = "/records"
"""Path of record requests on the port between instances."""

RecordRow = tuple[str, bytes | None, heartbeat.Age]
"""Key, value and offset of a record; the value of a deleted key is None.

The offset is -1 for a key that a listing of an empty topic lacks."""

RetainedRow = tuple[str, bytes | None, heartbeat.Age, heartbeat.Count]
"""Key, value, offset and era of a record of an older era of the store."""

StateRow = tuple[str, str, heartbeat.RolloutStateName]
"""Service, target version and state of a rollout."""

_FIRST_POSITION = (-1, 0)
_COMPRESSION_LEVEL = 1
_MAX_CONTENT_BYTES = 16 << 20


class EraRows(msgspec.Struct, array_like=True):
    """What a receiver needs of one topic to start the sender's era."""

    retained: list[RetainedRow]
    """Records of older eras that the sender still uses."""

    held: list[RecordRow]
    """Records of this era that the sender doesn't use yet."""

    certain_from: heartbeat.Count
    """Offset from which on records were certainly written in this era."""


class Changes(msgspec.Struct, array_like=True):
    """Records that changed after the offsets in the request."""

    operators: list[RecordRow]
    """Changed records of the operators' topic."""

    servers: list[RecordRow]
    """Changed records of the backend servers' topic."""

    states: list[StateRow] | None
    """Recorded states of rollouts; None if the sender has not read them."""

    operators_era: EraRows | None = None
    """The rest of the operators' topic; None if the request is of the sender's
    era of the store."""

    servers_era: EraRows | None = None
    """The same for the backend servers' topic."""


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

    era: heartbeat.Count = 0
    """Era of the store that the offsets belong to; 0 if it states none."""


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


def to_rows(
    records: list[store_records.KeyedRecord], era: int
) -> list[RecordRow]:
    """Converts those keyed records that are of an era to their encoded form."""
    return [
        (record.key, record.value, record.offset)
        for record in records
        if record.era == era
    ]


def from_rows(
    rows: list[RecordRow], era: int
) -> list[store_records.KeyedRecord]:
    """Converts keyed records of an era from their encoded form."""
    return [store_records.KeyedRecord(*row, era) for row in rows]


def to_era_rows(view: keyed_view.KeyedView) -> EraRows:
    """Returns the rows with which another instance starts the view's era."""
    return EraRows(
        retained=[
            (record.key, record.value, record.offset, record.era)
            for record in view.changes_since(_FIRST_POSITION)
            if record.era < view.era
        ],
        held=to_rows(view.held, view.era),
        certain_from=view.certain_from,
    )


def to_listing(
    records: list[store_records.KeyedRecord], rows: EraRows, era: int
) -> keyed_view.EraListing:
    """Returns a listing that starts the sender's era.

    Args:
        records: Records of the era that the sender uses.
        rows: The other records of the sender.
        era: The era.
    """
    held = [store_records.KeyedRecord(*row, era) for row in rows.held]
    return keyed_view.EraListing(
        era=era,
        records=(*records, *held),
        end=rows.certain_from,
        retained=tuple(
            store_records.KeyedRecord(*row) for row in rows.retained
        ),
    )
