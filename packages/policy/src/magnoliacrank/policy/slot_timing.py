"""Times that the members of a crew share to keep apart on slots."""

from __future__ import annotations

import attrs


@attrs.frozen
class SlotTiming:
    """Times that all members of a crew share."""

    silence_s: float = 3.0
    """Seconds that a confirmation of the crew record lasts."""

    loan_s: float = 1.5
    """Seconds from the asking during which a borrower may dispatch."""

    longest_work_s: float = 30.0
    """Longest time that a dispatched request occupies a backend server."""

    margin_s: float = 0.2
    """Seconds added to waits for the drift between clocks."""

    check_interval_s: float = 0.5
    """Seconds between checks of the crew record with its members."""

    idle_loan_s: float = 0.03
    """Seconds without a dispatch after which a loan is returned."""

    ask_interval_s: float = 0.005
    """Least seconds between two requests for loans."""

    refusal_s: float = 0.05
    """Seconds for which a member that had nothing to lend isn't asked."""

    need_half_life_s: float = 0.03
    """Seconds in which half of a past peak of the own need is forgotten."""

    @property
    def takeover_s(self) -> float:
        """Seconds from the last confirmation to the end of all work."""
        return (
            self.silence_s + self.loan_s + self.longest_work_s + self.margin_s
        )

    @property
    def lent_s(self) -> float:
        """Seconds from the grant of a loan to the end of all its work."""
        return self.loan_s + self.longest_work_s + self.margin_s
