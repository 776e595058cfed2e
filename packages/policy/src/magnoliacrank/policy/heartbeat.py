"""Messages of the failure detector between entry instances."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import member


class HeartbeatKind(enum.IntEnum):
    """Type of a heartbeat message."""

    PING = 1
    """Asks for an ACK."""

    ACK = 2
    """Answers a PING, directly or through another member."""

    PING_REQUEST = 3
    """Asks the recipient to PING another member on behalf of the sender."""

    SYNC = 4
    """Carries the sender's whole member table."""


@attrs.frozen
class Heartbeat:
    """One message of the failure detector."""

    kind: HeartbeatKind
    """Type of the message."""

    sequence: int = 0
    """Number by which the prober matches an ACK to its probe; 0 for none."""

    target: ids.InstanceId | None = None
    """Member to ping; set in a PING_REQUEST only."""

    is_sync_wanted: bool = False
    """Whether the sender asks for a SYNC in return."""

    digest: int = 0
    """Hash of the members that the sender counts as live."""

    updates: tuple[member.MemberUpdate, ...] = ()
    """Gossiped updates about members."""


@attrs.frozen
class Outgoing:
    """A heartbeat to be sent."""

    recipient: ids.InstanceId
    """Instance to send it to."""

    address: member.MemberAddress
    """Network address of the recipient."""

    heartbeat: Heartbeat
    """The message."""


@attrs.frozen
class HeartbeatSender:
    """Sender of a heartbeat."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Incarnation of the sending process; a restart raises it."""
