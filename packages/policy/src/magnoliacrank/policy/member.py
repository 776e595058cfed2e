"""What one entry instance holds about another, and which of two views wins."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids


class MemberState(enum.IntEnum):
    """State of a member; at equal revision the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    REMOVED = 2
    LEFT = 3


PRESENT_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
"""States in which a member counts as live."""


@attrs.frozen
class MemberAddress:
    """Where a member stands and is reached."""

    data_centre: ids.DataCentre
    """Data centre in which it stands."""

    host: str
    """IP address."""

    http_port: int
    """TCP port for callers and operators."""

    peer_port: int
    """TCP port for other entry instances."""


@attrs.frozen
class MemberUpdate:
    """One statement about a member."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Life of the process behind the name."""

    revision: int
    """Raised by the member itself, within one life, to refute or to leave."""

    state: MemberState
    """State of the member."""

    is_leaving: bool = False
    """Whether it takes no new work."""

    address: MemberAddress | None = None
    """Where it is reached, or None in a statement that needs no address."""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Statements with a larger precedence replace those with a smaller."""
        return (self.incarnation, self.revision, self.state)

    @property
    def is_present(self) -> bool:
        """Whether the member counts as live."""
        return self.state in PRESENT_STATES
