"""Messages between the slot ledgers of one service's crew.

The crew of a service is the set of entry instances that own its slots. A slot
is the permission to run one request on a backend server.
"""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class InstanceIncarnation:
    """One incarnation of an entry instance, as owner or borrower of slots.

    An incarnation is one run of the instance, from start to exit. What
    belongs to an earlier incarnation doesn't pass to the next one.
    """

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Number of the incarnation; larger is later."""


@attrs.frozen
class SlotCount:
    """A number of slots of one backend server."""

    server_id: ids.ServerId
    """Identifier of the backend server."""

    count: int
    """Number of slots."""


@attrs.frozen
class LoanId:
    """Identifier of a loan, chosen by the borrower in its loan request."""

    borrower: InstanceIncarnation
    """Incarnation that requested the loan."""

    sequence: int
    """Sequence number of the request, unique within the borrower."""


@attrs.frozen
class LoanRequest:
    """Asks a crew member to lend slots that it does not use."""

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Identifier of the loan."""

    server_ids: tuple[ids.ServerId, ...]
    """Backend servers whose slots the borrower can use."""

    most: int
    """Maximum number of slots to lend, over all backend servers together."""


@attrs.frozen
class LoanGrant:
    """Grants a loan of slots, or refuses it with an empty list.

    The duration counts from the moment at which the borrower sent its
    request, on the borrower's clock.
    """

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Identifier of the loan."""

    lender: ids.InstanceId
    """Member that lends the slots."""

    slots: tuple[SlotCount, ...]
    """Slots lent on each backend server; empty for a refusal."""

    duration_s: float
    """Seconds from the request during which the borrower may dispatch."""


@attrs.frozen
class LoanReturn:
    """Returns slots of a loan, except those that are still occupied.

    The counts of a loan never rise, so a late or repeated message does no
    harm.
    """

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Identifier of the loan."""

    kept: tuple[SlotCount, ...]
    """Slots that the borrower still occupies, by backend server. All slots of
    a server that isn't listed are returned."""


@attrs.frozen
class LoanRecall:
    """Asks the borrower to return a loan before it expires."""

    service: ids.ServiceName
    """Service of the crew."""

    loan_id: LoanId
    """Identifier of the loan."""


@attrs.frozen
class CrewCheck:
    """Asks a crew member for the newest crew record that it knows.

    A crew record in the log lists the members of a crew and their slots.
    """

    service: ids.ServiceName
    """Service of the crew."""

    sender: InstanceIncarnation
    """Incarnation that sends the check."""

    check_id: int
    """Sequence number of the check, unique within the sender."""

    crew_number: ids.LogOffset
    """Number of the newest crew record that the sender knows."""


@attrs.frozen
class CrewState:
    """Answer to a crew check."""

    service: ids.ServiceName
    """Service of the crew."""

    sender: InstanceIncarnation
    """Incarnation that answers."""

    check_id: int
    """Sequence number of the answered check."""

    crew_number: ids.LogOffset
    """Number of the newest crew record that the sender knows."""

    over_share: tuple[ids.ServerId, ...]
    """Backend servers on which the sender occupies or lends more slots than
    its newest crew record gives it, or occupies slots of a cold server that
    another member warms up."""

    is_settled: bool
    """Whether the sender knows that no owner under an older crew record can
    still use slots that the owner has lost."""


Message = (
    LoanRequest | LoanGrant | LoanReturn | LoanRecall | CrewCheck | CrewState
)
"""Any message between the slot ledgers of a crew."""


@attrs.frozen
class Outgoing:
    """A message to send and its recipient."""

    to: ids.InstanceId
    """Instance that receives the message."""

    message: Message
    """The message."""
