"""Timeouts and intervals of the slot protocol between crew members."""

from __future__ import annotations

import attrs


@attrs.frozen
class SlotTiming:
    """Timeouts and intervals of the slot ledger.

    The crew of a service is the set of entry instances that own its slots. A
    slot is the permission to run one request on a backend server. All members
    of a crew must use the same values: a member works out from them when the
    other members have stopped using a slot.
    """

    confirmation_ttl_s: float = 3.0
    """Seconds for which one confirmation of the crew record is valid, counted
    from the moment at which it was requested."""

    loan_duration_s: float = 1.5
    """Seconds from the loan request during which a borrower may dispatch."""

    longest_work_s: float = 30.0
    """Longest time that a dispatched request occupies a backend server."""

    drift_margin_s: float = 0.2
    """Seconds added to each wait to allow for drift between clocks."""

    check_interval_s: float = 0.5
    """Seconds between two rounds of crew checks sent to other members."""

    idle_loan_timeout_s: float = 0.03
    """Seconds without a dispatch after which a borrower returns a loan."""

    min_request_interval_s: float = 0.005
    """Minimum seconds between two loan requests of one member."""

    refusal_backoff_s: float = 0.05
    """Seconds for which a borrower sends no further loan request to a member
    that lent nothing or has not answered."""

    demand_half_life_s: float = 0.03
    """Half-life, in seconds, of the peak demand that a lender allows for."""

    @property
    def takeover_wait_s(self) -> float:
        """Seconds from a record's last confirmation until its slots are unused.

        This time covers the validity of the confirmation, a loan granted at
        its end, the longest request under that loan and the clock drift.
        """
        return (
            self.confirmation_ttl_s
            + self.loan_duration_s
            + self.longest_work_s
            + self.drift_margin_s
        )

    @property
    def loan_reclaim_s(self) -> float:
        """Seconds from a grant until the lender may reuse unreturned slots.

        Covers the loan, the longest request dispatched under it and the
        clock drift.
        """
        return self.loan_duration_s + self.longest_work_s + self.drift_margin_s
