"""Messages of the failure detector."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import member


class HeartbeatKind(enum.IntEnum):
    """What a heartbeat asks for or answers."""

    PING = 1
    """Asks for an ACK."""

    ACK = 2
    """Answers a PING, directly or through another member."""

    PING_REQUEST = 3
    """Asks for a PING of another member on behalf of the sender."""

    SYNC = 4
    """Carries all that the sender holds."""


@attrs.frozen
class Heartbeat:
    """One message of the failure detector."""

    kind: HeartbeatKind
    """What it asks for or answers."""

    sequence: int = 0
    """Number of the probe at the member that began it."""

    target: ids.InstanceId | None = None
    """Member to ping, in a PING_REQUEST."""

    is_sync_wanted: bool = False
    """Whether the sender asks for a SYNC in return."""

    digest: int = 0
    """Hash of the members that the sender counts as live."""

    updates: tuple[member.MemberUpdate, ...] = ()
    """Statements about members."""


@attrs.frozen
class Outgoing:
    """A heartbeat to be sent."""

    recipient: ids.InstanceId
    """Instance that it is for."""

    address: member.MemberAddress
    """Where that instance is reached."""

    heartbeat: Heartbeat
    """The message."""


@attrs.frozen
class HeartbeatSender:
    """Who sent a heartbeat."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Life of the process behind the name."""
