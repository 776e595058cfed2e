"""Heartbeat and InstanceList: UDP messages between instances, with codec."""

from __future__ import annotations

import math
from typing import Annotated
from typing import Literal

import msgspec

from magnoliacrank.platform import wire_values
from magnoliacrank.policy import caller_steering
from magnoliacrank.policy import peer_status
from magnoliacrank.policy import service_load

FORMAT = 5
"""Version of the message format; messages of other versions are ignored."""

SenderRow = tuple[str, str, str, int, bool, bool, bool, float]
"""Fields of `peer_status.PeerStatus`, in the order of their definition."""

Count = Annotated[int, msgspec.Meta(ge=0, le=wire_values.MAX_INTEGER)]
"""Number of events since a start, or an offset of the store."""

Age = Annotated[int, msgspec.Meta(ge=-1, le=wire_values.MAX_INTEGER)]
"""Age in milliseconds; -1 for never."""

EvidenceRow = tuple[str, Count, Count, float, Count, Count, float]
"""Route name, then answers, failures and the sum of the durations of successes
in seconds, first of the old version, then of the new one."""


ServiceLoadRow = tuple[str, float, float, float, float, Count, Count]
"""Fields of `service_load.ServiceLoad`, in the order of their definition."""


SteeringRow = tuple[str, str, float]
"""Fields of `caller_steering.LastingShare`, in the order of their
definition."""


RolloutStateName = Literal["running", "completed", "rolled_back"]
"""Value of `orders.RolloutState`."""


class TrialReport(msgspec.Struct, array_like=True):
    """State and evidence of one rollout, as the sender of a heartbeat sees it.

    Evidence is, for both versions, the number of answers and failures and the
    sum of durations.
    """

    service: str
    """Name of the service."""

    order_offset: Count
    """Offset of the record with the operators' order; identifies the order."""

    age_ms: Age
    """Milliseconds since the earliest start of the rollout that the sender
    knows of."""

    state: RolloutStateName
    """Value of `orders.RolloutState`."""

    target_version: str
    """Version that the service is to be moved to."""

    rows: list[EvidenceRow]
    """Evidence that the sender itself has collected, by route."""

    load_tests: list[tuple[Count, Count]]
    """Answers and failures of the sender's requests, by load test."""


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

    operators_mark: Count
    """Offset after the sender's newest change in the operators' topic."""

    servers_mark: Count
    """Offset after the sender's newest change in the servers' topic."""

    verified_age_ms: Age
    """Milliseconds since the sender's records were last verified to be
    complete; -1 for never."""

    trials: list[TrialReport]
    """Rollouts in progress, and those whose deadline has passed recently."""

    crashes: dict[str, Count]
    """Number of server crashes that the sender attributes to a request, by
    the fingerprint of the request."""

    blocked: list[str]
    """Fingerprints of requests that are refused because they crash servers;
    followers adopt them."""

    time_ms: Count
    """Unix time in milliseconds by the sender's clock."""

    store_era: Count
    """Era of the store that the sender's records and their offsets belong to;
    0 for none."""

    loads: list[ServiceLoadRow]
    """Load of each service that the sender has requests for."""

    held: Count = 0
    """Number of records of the store's era that the sender doesn't use yet,
    since it retains others that the store may have lost."""

    steering: list[SteeringRow] = msgspec.field(default_factory=list)
    """Shares of requests for which the sender's data centre lastingly lacks
    servers."""

    @property
    def lasting_shares(self) -> list[caller_steering.LastingShare]:
        """Shares for which the sender's data centre lastingly lacks servers."""
        return [caller_steering.LastingShare(*row) for row in self.steering]

    @property
    def service_loads(self) -> list[service_load.ServiceLoad]:
        """Load of each service that the sender has requests for."""
        return [service_load.ServiceLoad(*row) for row in self.loads]

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
    except wire_values.MALFORMED_ERRORS:
        return None
    if message.format != FORMAT or not _is_plausible(message):
        return None
    return message


def _is_plausible(message: Message) -> bool:
    """Whether the addresses and floating-point values can be used."""
    if isinstance(message, InstanceList):
        return all(map(_is_plausible_sender, message.facts))
    return _is_plausible_sender(message.fact) and all(
        0 <= duration_s < math.inf
        for report in message.trials
        for row in report.rows
        for duration_s in (row[3], row[6])
    )


def _is_plausible_sender(fact: peer_status.PeerStatus) -> bool:
    return wire_values.is_ip_address(fact.ip) and 0 <= fact.capacity < math.inf
