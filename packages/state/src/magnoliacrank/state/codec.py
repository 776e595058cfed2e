"""Encodes log records as JSON: an envelope around one typed record."""

from __future__ import annotations

import attrs
import msgspec

from magnoliacrank.platform import wire_values
from magnoliacrank.state import log_state
from magnoliacrank.state import records

_TYPE_BY_KIND: dict[str, type[records.Record]] = {
    "edit": records.EditRecord,
    "crew": records.CrewRecord,
    "term": records.TermRecord,
    "move": records.MoveRecord,
    "notice": records.NoticeRecord,
    "claim": records.ClaimRecord,
    "departure": records.DepartureRecord,
    "snapshot": records.SnapshotRecord,
}


class UnknownKindError(ValueError):
    """The kind of the record is not supported by this software version."""


class CorruptRecordError(ValueError):
    """The bytes are not valid JSON, or do not fit the record's kind."""


@attrs.frozen
class _Envelope:
    """JSON object around every record; unknown fields are ignored.

    Later software versions may add fields, which this version must tolerate.
    """

    kind: str
    """Kind of the record; a key of `_TYPE_BY_KIND`."""

    id: str
    """Append id, by which repeated appends are recognized."""

    body: msgspec.Raw
    """The record itself, as JSON."""

    fence: records.Fence | None = None
    """Term under which the record was written, or None."""


_KIND_BY_TYPE = {
    record_type: kind for kind, record_type in _TYPE_BY_KIND.items()
}
_ENCODER = msgspec.json.Encoder()
_ENVELOPE_DECODER = msgspec.json.Decoder(_Envelope)
_STATE_DECODER = msgspec.json.Decoder(log_state.LogState)
_BODY_DECODERS = {
    kind: msgspec.json.Decoder(record_type)
    for kind, record_type in _TYPE_BY_KIND.items()
}


def encode(entry: records.Entry) -> bytes:
    """Encodes an entry as the bytes of a log record."""
    return _ENCODER.encode(
        _Envelope(
            kind=_KIND_BY_TYPE[type(entry.record)],
            id=entry.append_id,
            body=msgspec.Raw(_ENCODER.encode(entry.record)),
            fence=entry.fence,
        )
    )


def decode(data: bytes) -> records.Entry:
    """Decodes the bytes of a log record.

    Raises:
        UnknownKindError: The kind is unknown; a later version wrote it.
        CorruptRecordError: The envelope or the record is malformed.
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
    except wire_values.MALFORMED_ERRORS as error:
        raise CorruptRecordError(str(error)) from error
    decoder = _BODY_DECODERS.get(envelope.kind)
    if decoder is None:
        raise UnknownKindError(envelope.kind)
    try:
        record = decoder.decode(envelope.body)
    except wire_values.MALFORMED_ERRORS as error:
        raise CorruptRecordError(str(error)) from error
    return records.Entry(envelope.id, record, envelope.fence)


def encode_state(state: log_state.LogState) -> bytes:
    """Encodes a log state as JSON, to be sent to another instance."""
    return _ENCODER.encode(state)


def decode_state(data: bytes) -> log_state.LogState:
    """Decodes a log state that another instance encoded.

    Raises:
        CorruptRecordError: The bytes are malformed.
    """
    try:
        return _STATE_DECODER.decode(data)
    except wire_values.MALFORMED_ERRORS as error:
        raise CorruptRecordError(str(error)) from error
