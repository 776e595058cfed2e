"""Heartbeat and InstanceList: UDP messages between instances, with codec."""

from __future__ import annotations

import msgspec

from magnoliacrank.policy import peer_status

FORMAT = 3
"""Version of the message format; messages of other versions are ignored."""

SenderRow = tuple[str, str, str, int, bool, bool, bool, float]
"""Fields of `peer_status.PeerStatus`, in the order of their definition."""

EvidenceRow = tuple[str, int, int, float, int, int, float]
"""Route name, then answers, failures and the sum of the durations of successes
in seconds, first of the old version, then of the new one."""


class TrialReport(msgspec.Struct, array_like=True):
    """State and evidence of one rollout, as the sender of a heartbeat sees it.

    Evidence is, for both versions, the number of answers and failures and the
    sum of durations.
    """

    service: str
    """Name of the service."""

    order_offset: int
    """Offset of the record with the operators' order; identifies the order."""

    age_ms: int
    """Milliseconds since the earliest start of the rollout that the sender
    knows of."""

    state: str
    """Value of `orders.RolloutState`."""

    target_version: str
    """Version that the service is to be moved to."""

    rows: list[EvidenceRow]
    """Evidence that the sender itself has collected, by route."""


class Heartbeat(msgspec.Struct, array_like=True, tag="beat"):
    """Periodic message for failure detection, membership and gossip.

    The mesh consists of the crews, that is, the instances that carry the
    traffic of each data centre, and one standby per data centre. All other
    instances are followers.
    """

    format: int
    """Version of the message format."""

    sender: SenderRow
    """Identity and state of the sender, as in `fact`."""

    mesh_mark: int
    """Digest of the mesh's members as the sender sees them; 0 requests an
    `InstanceList`."""

    lost: list[str]
    """Names of instances in the sender's data centre whose heartbeats have
    recently stopped."""

    operators_mark: int
    """Offset after the sender's newest change in the operators' topic."""

    servers_mark: int
    """Offset after the sender's newest change in the servers' topic."""

    verified_age_ms: int
    """Milliseconds since the sender's records were last verified to be
    complete; -1 for never."""

    trials: list[TrialReport]
    """Rollouts in progress, and those whose deadline has passed recently."""

    crashes: dict[str, int]
    """Number of server crashes that the sender attributes to a request, by
    the fingerprint of the request."""

    blocked: list[str]
    """Fingerprints of requests that are refused because they crash servers;
    followers adopt them."""

    @property
    def fact(self) -> peer_status.PeerStatus:
        """Identity and state of the sender."""
        return peer_status.PeerStatus(*self.sender)


class InstanceList(msgspec.Struct, array_like=True, tag="list"):
    """Membership list: the sender's data centre, and the members of the mesh.

    Sent in reply to a heartbeat that requests it or whose digest differs.
    """

    format: int
    """Version of the message format."""

    data_centre: str
    """Data centre of the sender."""

    rows: list[SenderRow]
    """Identity and state of the listed instances, as in `facts`."""

    @property
    def facts(self) -> list[peer_status.PeerStatus]:
        """Identity and state of the listed instances."""
        return [peer_status.PeerStatus(*row) for row in self.rows]


Message = Heartbeat | InstanceList
"""Any message that instances exchange as a UDP datagram."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as the payload of a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Decodes a datagram.

    Returns:
        The message, or None if it is malformed or of another format version.
    """
    try:
        message = _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
    return message if message.format == FORMAT else None
