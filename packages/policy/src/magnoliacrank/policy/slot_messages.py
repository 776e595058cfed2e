"""Messages between the slot ledgers of one service's crew."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class Owner:
    """One life of one entry instance, which owns or borrows slots."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Life of the instance."""


@attrs.frozen
class SlotCount:
    """A number of slots of one backend server."""

    server_id: ids.ServerId
    """Backend server."""

    count: int
    """Slots."""


@attrs.frozen
class LoanId:
    """Names one loan; the borrower makes it up when it asks."""

    borrower: Owner
    """Who asked."""

    sequence: int
    """Number of the request in the life of the borrower."""


@attrs.frozen
class LoanRequest:
    """Asks a member for slots that it does not use."""

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Name of the loan."""

    server_ids: tuple[ids.ServerId, ...]
    """Backend servers whose slots the borrower can use."""

    most: int
    """Most slots that it takes in sum."""


@attrs.frozen
class LoanGrant:
    """Lends slots for a time that counts from the asking."""

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Name of the loan."""

    lender: ids.InstanceId
    """Who lends."""

    slots: tuple[SlotCount, ...]
    """Slots lent; empty when there are none to spare."""

    duration_s: float
    """Seconds from the asking during which the borrower may dispatch."""


@attrs.frozen
class LoanReturn:
    """Tells how many slots of a loan the borrower still occupies.

    The counts of one loan only fall, so a late or repeated return does no
    harm.
    """

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Name of the loan."""

    kept: tuple[SlotCount, ...]
    """Slots still occupied; a backend server left out is returned whole."""


@attrs.frozen
class LoanRecall:
    """Asks a borrower to return a loan before its end."""

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Name of the loan."""


@attrs.frozen
class CrewCheck:
    """Asks a member which crew record it knows."""

    service: ids.ServiceName
    """Service of the crew."""

    sender: Owner
    """Who asks."""

    check_id: int
    """Number of the check in the life of the sender."""

    crew_number: ids.LogOffset
    """Newest crew record that the sender knows."""


@attrs.frozen
class CrewState:
    """Answers a check."""

    service: ids.ServiceName
    """Service of the crew."""

    sender: Owner
    """Who answers."""

    check_id: int
    """Number of the check that this answers."""

    crew_number: ids.LogOffset
    """Newest crew record that the sender knows."""

    over_share: tuple[ids.ServerId, ...]
    """Backend servers of which the sender occupies more than it may."""

    is_settled: bool
    """Whether no owner under an older record can use its old share."""


Message = (
    LoanRequest | LoanGrant | LoanReturn | LoanRecall | CrewCheck | CrewState
)
"""Any message between slot ledgers."""


@attrs.frozen
class Outgoing:
    """A message with its destination."""

    to: ids.InstanceId
    """Instance that shall receive it."""

    message: Message
    """What to send."""
