"""Results of taking a slot: the occupied slot, or why there was none."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import borrowed_loan


class NoSlotReason(enum.Enum):
    """Why no slot could be taken on a backend server.

    A slot is the permission to run one request there. The slots of a service
    are divided among its crew, a set of entry instances, by a crew record in
    the log.
    """

    NOT_A_MEMBER = "not-a-member"
    """This incarnation of the instance isn't a member of the crew."""

    UNCONFIRMED = "unconfirmed"
    """Neither the log nor a quorum of the crew has recently confirmed that
    the known crew record is the newest."""

    TAKEOVER = "takeover"
    """Owners under an older crew record may still use the slots."""

    COLD = "cold"
    """The backend server is cold and another member is its warm-up owner, the
    only one that sends requests to it until it is warm."""

    BUSY = "busy"
    """All usable slots are occupied or lent out."""


@attrs.frozen
class NoSlot:
    """Result of taking a slot when none is available."""

    reason: NoSlotReason
    """Why none is available."""


@attrs.frozen(eq=False)
class SlotHold:
    """Handle of one occupied slot; compared by identity."""

    server_id: ids.ServerId
    """Backend server of the slot."""

    loan: borrowed_loan.BorrowedLoan | None = None
    """Loan that the slot belongs to, or None for a slot that this instance
    owns."""
