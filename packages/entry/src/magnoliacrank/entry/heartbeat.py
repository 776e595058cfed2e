"""Heartbeat and InstanceList: datagrams between instances, and their codec."""

from __future__ import annotations

import msgspec

from magnoliacrank.policy import peer_fact

FORMAT = 3
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


class Heartbeat(msgspec.Struct, array_like=True, tag="beat"):
    """One heartbeat."""

    format: int
    """Version of the format."""

    sender: SenderRow
    """Facts about the sender."""

    mesh_mark: int
    """Digest of the mesh that it sees; 0 to ask for a list."""

    lost: list[str]
    """Neighbours of the sender that fell silent."""

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

    blocked: list[str]
    """Fingerprints of requests that the mesh refuses, for followers."""

    @property
    def fact(self) -> peer_fact.PeerFact:
        """Facts about the sender."""
        return peer_fact.PeerFact(*self.sender)


class InstanceList(msgspec.Struct, array_like=True, tag="list"):
    """Neighbours of the sender, and members of the mesh that it sees."""

    format: int
    """Version of the format."""

    data_centre: str
    """Data centre of the sender."""

    rows: list[SenderRow]
    """Facts about the instances."""

    @property
    def facts(self) -> list[peer_fact.PeerFact]:
        """Facts about the instances."""
        return [peer_fact.PeerFact(*row) for row in self.rows]


Message = Heartbeat | InstanceList
"""What a datagram between instances may be."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Returns a message, or None for bytes that are none."""
    try:
        message = _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
    return message if message.format == FORMAT else None
