"""Tickets: name the life of the instance that dispatches keys minted under it.

Only the instance that issued a ticket has to trust it, so each life draws a
secret of its own and shares it with nobody. Others read a ticket without
checking it, to forward the request to the instance that it names.
"""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import hmac

import attrs

from magnoliacrank.model import ids

_MAC_BYTES = 16
_MAX_TOKEN_CHARS = 512
_SEPARATOR = "\n"
_FIELDS = 4
_CACHED_TOKENS = 4096


@attrs.frozen
class Ticket:
    """What a ticket says."""

    instance_id: ids.InstanceId
    """Instance that dispatches keys minted under the ticket."""

    incarnation: ids.Incarnation
    """Life of that instance."""

    service: ids.ServiceName
    """Service that the ticket is for."""

    issued_ms: int
    """Issuer's monotonic clock at the issue, in milliseconds."""

    @property
    def issued_s(self) -> float:
        """Issuer's monotonic clock at the issue, in seconds."""
        return self.issued_ms / 1000


class TicketFault(enum.Enum):
    """What is wrong with a ticket."""

    MALFORMED = "malformed"
    FORGED = "forged"
    OTHER_INSTANCE = "other-instance"
    OTHER_SERVICE = "other-service"


@attrs.frozen
class TicketRejected:
    """Sentinel: no valid ticket, with the fault."""

    fault: TicketFault
    """What is wrong."""


_MALFORMED = TicketRejected(TicketFault.MALFORMED)


def read(token: str) -> Ticket | TicketRejected:
    """Reads a token without checking who made it.

    Args:
        token: Text of the ticket header.

    Returns:
        The ticket, or why there is none.
    """
    payload = _split(token)
    if payload is None:
        return _MALFORMED
    return _parse(payload[0])


def _split(token: str) -> tuple[bytes, bytes] | None:
    """Splits a token into payload and authentication code."""
    if len(token) > _MAX_TOKEN_CHARS:
        return None
    try:
        raw = base64.b64decode(token, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None
    if len(raw) <= _MAC_BYTES:
        return None
    return raw[_MAC_BYTES:], raw[:_MAC_BYTES]


def _parse(payload: bytes) -> Ticket | TicketRejected:
    """Reads the fields of a payload."""
    try:
        fields = payload.decode().split(_SEPARATOR)
        if len(fields) != _FIELDS:
            return _MALFORMED
        instance_id, incarnation, service, issued_ms = fields
        return Ticket(
            ids.InstanceId(instance_id),
            ids.Incarnation(int(incarnation)),
            ids.ServiceName(service),
            int(issued_ms),
        )
    except ValueError:
        return _MALFORMED


class TicketMint:
    """Issues and checks the tickets of one life of one instance."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        incarnation: ids.Incarnation,
        secret: bytes,
    ) -> None:
        """Starts with a secret.

        Args:
            instance_id: Own instance.
            incarnation: Own life.
            secret: At least 16 random bytes, drawn anew in each life.
        """
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._secret = secret
        self._checked: dict[str, Ticket] = {}

    def issue(self, service: ids.ServiceName, now_s: float) -> str:
        """Returns the token of a new ticket for a service."""
        fields = (
            self._instance_id,
            str(self._incarnation),
            service,
            str(int(now_s * 1000)),
        )
        payload = _SEPARATOR.join(fields).encode()
        return base64.urlsafe_b64encode(self._sign(payload) + payload).decode()

    def check(
        self, token: str, service: ids.ServiceName
    ) -> Ticket | TicketRejected:
        """Checks that this life issued a token for a service.

        Args:
            token: Text of the ticket header.
            service: Service of the request.

        Returns:
            The ticket, or what is wrong with it.
        """
        ticket = self._checked.get(token)
        if ticket is None:
            verified = self._verify(token)
            if isinstance(verified, TicketRejected):
                return verified
            ticket = self._remember(token, verified)
        if ticket.service != service:
            return TicketRejected(TicketFault.OTHER_SERVICE)
        return ticket

    def _verify(self, token: str) -> Ticket | TicketRejected:
        """Checks owner and authentication code of a token."""
        parts = _split(token)
        if parts is None:
            return _MALFORMED
        payload, code = parts
        ticket = _parse(payload)
        if isinstance(ticket, TicketRejected):
            return ticket
        if not self._is_own(ticket):
            return TicketRejected(TicketFault.OTHER_INSTANCE)
        if not hmac.compare_digest(code, self._sign(payload)):
            return TicketRejected(TicketFault.FORGED)
        return ticket

    def _is_own(self, ticket: Ticket) -> bool:
        """Returns whether a ticket names this life."""
        return (
            ticket.instance_id == self._instance_id
            and ticket.incarnation == self._incarnation
        )

    def _remember(self, token: str, ticket: Ticket) -> Ticket:
        """Keeps a checked token, since many keys share a ticket."""
        if len(self._checked) >= _CACHED_TOKENS:
            self._checked.clear()
        self._checked[token] = ticket
        return ticket

    def _sign(self, payload: bytes) -> bytes:
        """Returns the authentication code of a payload."""
        code = hmac.digest(self._secret, payload, hashlib.sha256)
        return code[:_MAC_BYTES]
