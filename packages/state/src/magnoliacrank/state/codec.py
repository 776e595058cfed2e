"""Codec of log records: a JSON envelope around one record."""

from __future__ import annotations

import attrs
import msgspec

from magnoliacrank.state import log_state
from magnoliacrank.state import records

_KINDS: dict[str, type[records.Record]] = {
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
    """The record is of a kind that this version does not know."""


class CorruptRecordError(ValueError):
    """The record is not in the form of its kind."""


@attrs.frozen
class _Envelope:
    """Outer form of every record; later versions may add fields."""

    kind: str
    id: str
    body: msgspec.Raw
    fence: records.Fence | None = None


_NAMES = {record_type: kind for kind, record_type in _KINDS.items()}
_ENCODER = msgspec.json.Encoder()
_ENVELOPE_DECODER = msgspec.json.Decoder(_Envelope)
_STATE_DECODER = msgspec.json.Decoder(log_state.LogState)
_BODY_DECODERS = {
    kind: msgspec.json.Decoder(record_type)
    for kind, record_type in _KINDS.items()
}


def encode(entry: records.Entry) -> bytes:
    """Returns an entry as the bytes of a log record."""
    return _ENCODER.encode(
        _Envelope(
            kind=_NAMES[type(entry.record)],
            id=entry.append_id,
            body=msgspec.Raw(_ENCODER.encode(entry.record)),
            fence=entry.fence,
        )
    )


def decode(data: bytes) -> records.Entry:
    """Returns the entry in the bytes of a log record.

    Raises:
        UnknownKindError: A later version wrote it.
        CorruptRecordError: It can't be read.
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
    except ValueError as error:
        raise CorruptRecordError(str(error)) from error
    decoder = _BODY_DECODERS.get(envelope.kind)
    if decoder is None:
        raise UnknownKindError(envelope.kind)
    try:
        record = decoder.decode(envelope.body)
    except ValueError as error:
        raise CorruptRecordError(str(error)) from error
    return records.Entry(envelope.id, record, envelope.fence)


def encode_state(state: log_state.LogState) -> bytes:
    """Returns a fold as bytes, for a peer."""
    return _ENCODER.encode(state)


def decode_state(data: bytes) -> log_state.LogState:
    """Returns the fold in a peer's bytes.

    Raises:
        CorruptRecordError: It can't be read.
    """
    try:
        return _STATE_DECODER.decode(data)
    except ValueError as error:
        raise CorruptRecordError(str(error)) from error
