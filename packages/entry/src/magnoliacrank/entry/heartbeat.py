"""Heartbeat: the heartbeat between instances, and its codec."""

from __future__ import annotations

import msgspec

from magnoliacrank.policy import crew_roster

FORMAT = 2
"""Version of the format; others are ignored."""

SenderRow = tuple[str, str, str, int, bool, bool, bool, float]
"""Fields of `PeerFact` in their order."""

EvidenceRow = tuple[str, int, int, float, int, int, float]
"""Route, then answers, failures and seconds of the old and new version."""


class TrialReport(msgspec.Struct, array_like=True):
    """What an instance knows of a roll-out."""

    service: str
    """Name of the service."""

    order_offset: int
    """Offset of the order's record."""

    age_ms: int
    """Milliseconds since the order, as its sender knows it."""

    state: str
    """State of the roll-out in the words of the operators' record."""

    target_version: str
    """Version of the order."""

    rows: list[EvidenceRow]
    """Evidence of the sender by route."""


class Heartbeat(msgspec.Struct, array_like=True):
    """One heartbeat."""

    format: int
    """Version of the format."""

    sender: SenderRow
    """Facts about the sender."""

    operators_mark: int
    """Offset after the newest change by operators that it knows."""

    servers_mark: int
    """Offset after the newest change of servers that it knows."""

    verified_age_ms: int
    """Age of its latest proof that it knows all changes; -1 for none."""

    trials: list[TrialReport]
    """Roll-outs under way or just decided."""

    crashes: dict[str, int]
    """Crashes by fingerprint of the request."""

    @property
    def fact(self) -> crew_roster.PeerFact:
        """Facts about the sender."""
        return crew_roster.PeerFact(*self.sender)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Heartbeat)


def encode(beat: Heartbeat) -> bytes:
    """Returns the bytes of a heartbeat."""
    return _ENCODER.encode(beat)


def decode(data: bytes) -> Heartbeat | None:
    """Returns a heartbeat, or None for bytes that are none."""
    try:
        beat = _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
    return beat if beat.format == FORMAT else None
