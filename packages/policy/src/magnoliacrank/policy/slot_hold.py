"""Occupied slots, and why a slot was not given."""

from __future__ import annotations

import enum

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import borrowed_loan


class NoSlotReason(enum.Enum):
    """Why a slot was not given."""

    NOT_A_MEMBER = "not-a-member"
    """This life of the instance is no member of the crew."""

    UNCONFIRMED = "unconfirmed"
    """Neither the log nor enough of the crew confirmed the record lately."""

    TAKEOVER = "takeover"
    """Former owners may still use the slots."""

    COLD = "cold"
    """The backend server is cold and another member's to warm."""

    BUSY = "busy"
    """All usable slots are occupied or lent."""


@attrs.frozen
class NoSlot:
    """Sentinel: no slot, with the reason."""

    reason: NoSlotReason
    """Why not."""


@attrs.frozen(eq=False)
class SlotHold:
    """One occupied slot; identity tells holds apart."""

    server_id: ids.ServerId
    """Backend server."""

    loan: borrowed_loan.BorrowedLoan | None = None
    """Loan that the slot belongs to, or None for an own slot."""
