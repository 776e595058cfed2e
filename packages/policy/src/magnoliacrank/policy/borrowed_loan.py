"""One loan of slots of one backend server, as its borrower sees it."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids
from magnoliacrank.policy import slot_messages


@attrs.define(eq=False)
class BorrowedLoan:
    """Slots of one backend server, borrowed from one lender."""

    loan_id: slot_messages.LoanId
    """Name of the loan."""

    lender: ids.InstanceId
    """Who lent the slots."""

    server_id: ids.ServerId
    """Backend server."""

    count: int
    """Slots lent."""

    end_s: float
    """Monotonic time in seconds from which on nothing is dispatched."""

    in_use: int = 0
    """Slots occupied."""

    used_s: float = 0.0
    """Monotonic time in seconds of the last dispatch."""

    def free(self, now_s: float) -> int:
        """Returns how many slots can be dispatched to now."""
        if now_s >= self.end_s:
            return 0
        return self.count - self.in_use
