"""Updates about members, and which of two updates takes precedence.

Members are the entry instances that the failure detector knows.
"""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class MemberState(enum.IntEnum):
    """State of a member.

    Of two updates with equal incarnation and revision, the one with the larger
    state takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    REMOVED = 2
    LEFT = 3


PRESENT_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
"""States in which a member counts as live; a suspect still does."""


@attrs.frozen
class MemberAddress:
    """Location and network address of a member."""

    data_centre: ids.DataCentre
    """Data centre of the member."""

    host: str
    """IP address."""

    http_port: int
    """TCP port for callers and operators."""

    peer_port: int
    """TCP port for other entry instances."""


@attrs.frozen
class MemberUpdate:
    """State of a member as gossiped between instances."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Incarnation of the instance's process; a restart raises it."""

    revision: int
    """Version of the update within one incarnation. Only the member itself
    raises it, to refute an untrue update or to state that it leaves."""

    state: MemberState
    """State of the member."""

    is_leaving: bool = False
    """Whether the member is leaving and takes no new work."""

    address: MemberAddress | None = None
    """Address of the member, or None in an update that needs none."""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key; an update replaces those with a smaller precedence."""
        return (self.incarnation, self.revision, self.state)

    @property
    def is_present(self) -> bool:
        """Whether the member counts as live."""
        return self.state in PRESENT_STATES
