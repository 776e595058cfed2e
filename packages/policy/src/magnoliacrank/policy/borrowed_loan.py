"""Borrower's record of slots lent to it on one backend server."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import slot_messages


@attrs.define(eq=False)
class BorrowedLoan:
    """Slots of one backend server, borrowed from one lender.

    A loan that covers several backend servers has one such object for each.
    """

    loan_id: slot_messages.LoanId
    """Identifier of the loan."""

    lender: ids.InstanceId
    """Crew member that lent the slots."""

    server_id: ids.ServerId
    """Backend server of the slots."""

    count: int
    """Number of slots borrowed."""

    end_s: float
    """Monotonic time, in seconds, from which on these slots can't be taken."""

    in_use: int = 0
    """Number of borrowed slots that are occupied."""

    used_s: float = 0.0
    """Monotonic time, in seconds, of the last dispatch or of the grant."""

    def free(self, now_s: float) -> int:
        """Returns how many of the borrowed slots can be taken now."""
        if now_s >= self.end_s:
            return 0
        return self.count - self.in_use
