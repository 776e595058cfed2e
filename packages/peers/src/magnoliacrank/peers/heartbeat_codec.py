"""Converts heartbeats to and from their protobuf messages.

Heartbeats are the messages of the failure detector.
"""

from __future__ import annotations

from magnoliacrank.model import ids
from magnoliacrank.peers.wire import peer_pb2
from magnoliacrank.policy import heartbeat
from magnoliacrank.policy import member


class HeartbeatFormatError(ValueError):
    """A received heartbeat has an unknown kind or member state."""


def encode(message: heartbeat.Heartbeat) -> peer_pb2.Heartbeat:
    """Returns the protobuf message of a heartbeat."""
    return peer_pb2.Heartbeat(
        kind=peer_pb2.Heartbeat.Kind.Name(message.kind),
        sequence=message.sequence,
        target=message.target or "",
        is_sync_wanted=message.is_sync_wanted,
        digest=message.digest,
        updates=[_encode_update(one) for one in message.updates],
    )


def decode(wire: peer_pb2.Heartbeat) -> heartbeat.Heartbeat:
    """Returns the heartbeat in a protobuf message.

    Raises:
        HeartbeatFormatError: The kind or a member state is unknown.
    """
    try:
        return heartbeat.Heartbeat(
            heartbeat.HeartbeatKind(wire.kind),
            wire.sequence,
            ids.InstanceId(wire.target) if wire.target else None,
            wire.is_sync_wanted,
            wire.digest,
            tuple(_decode_update(one) for one in wire.updates),
        )
    except ValueError as error:
        raise HeartbeatFormatError(str(error)) from error


def _encode_update(update: member.MemberUpdate) -> peer_pb2.MemberUpdate:
    address = None
    if update.address is not None:
        address = peer_pb2.Address(
            data_centre=update.address.data_centre,
            host=update.address.host,
            http_port=update.address.http_port,
            peer_port=update.address.peer_port,
        )
    return peer_pb2.MemberUpdate(
        instance_id=update.instance_id,
        incarnation=update.incarnation,
        revision=update.revision,
        state=update.state,
        leaving=update.is_leaving,
        address=address,
    )


def _decode_update(wire: peer_pb2.MemberUpdate) -> member.MemberUpdate:
    address = None
    if wire.HasField("address"):
        address = member.MemberAddress(
            ids.DataCentre(wire.address.data_centre),
            wire.address.host,
            wire.address.http_port,
            wire.address.peer_port,
        )
    return member.MemberUpdate(
        ids.InstanceId(wire.instance_id),
        ids.Incarnation(wire.incarnation),
        wire.revision,
        member.MemberState(wire.state),
        wire.leaving,
        address,
    )
