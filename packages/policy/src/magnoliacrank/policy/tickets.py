"""Tickets: signed tokens that bind idempotency keys to one instance.

A ticket names the instance incarnation that issued it. Requests with keys
created under the ticket are dispatched by that incarnation only. No one else
needs to trust a ticket, so each incarnation signs with a random secret that
it shares with nobody. Other instances read a ticket without verifying it, to
forward the request to the instance that it names.
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
    """Content of a ticket."""

    instance_id: ids.InstanceId
    """Instance that dispatches requests with keys created under the ticket."""

    incarnation: ids.Incarnation
    """Incarnation of that instance."""

    service: ids.ServiceName
    """Service for which the ticket is valid."""

    issued_ms: int
    """Time of issue on the issuer's monotonic clock, in milliseconds."""

    @property
    def issued_s(self) -> float:
        """Time of issue on the issuer's monotonic clock, in seconds."""
        return self.issued_ms / 1000


class TicketFault(enum.Enum):
    """Why a ticket is rejected."""

    MALFORMED = "malformed"
    FORGED = "forged"
    OTHER_INSTANCE = "other-instance"
    OTHER_SERVICE = "other-service"


@attrs.frozen
class TicketRejected:
    """Result of reading or checking a ticket that isn't valid."""

    fault: TicketFault
    """Why the ticket is rejected."""


_MALFORMED = TicketRejected(TicketFault.MALFORMED)


def parse_unverified(token: str) -> Ticket | TicketRejected:
    """Reads a ticket without verifying its signature.

    Args:
        token: Value of the ticket header.

    Returns:
        The ticket, or the rejection of a malformed token.
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
    """Parses the fields of a payload."""
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
    """Issues and verifies the tickets of one instance incarnation."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        incarnation: ids.Incarnation,
        secret: bytes,
    ) -> None:
        """Creates the issuer.

        Args:
            instance_id: Name of this instance.
            incarnation: Incarnation of this instance.
            secret: Signing key of at least 16 random bytes; each incarnation
                must use a new one.
        """
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._secret = secret
        self._verified: dict[str, Ticket] = {}

    def issue(self, service: ids.ServiceName, now_s: float) -> str:
        """Issues a ticket for a service.

        Args:
            service: Service for which the ticket is valid.
            now_s: Current monotonic time, in seconds.

        Returns:
            Token for the ticket header.
        """
        fields = (
            self._instance_id,
            str(self._incarnation),
            service,
            str(int(now_s * 1000)),
        )
        payload = _SEPARATOR.join(fields).encode()
        return base64.urlsafe_b64encode(self._sign(payload) + payload).decode()

    def verify(
        self, token: str, service: ids.ServiceName
    ) -> Ticket | TicketRejected:
        """Verifies that this incarnation issued a ticket for a service.

        Args:
            token: Value of the ticket header.
            service: Service of the request.

        Returns:
            The ticket, or why it is rejected.
        """
        ticket = self._verified.get(token)
        if ticket is None:
            verified = self._verify(token)
            if isinstance(verified, TicketRejected):
                return verified
            ticket = self._cache_verified(token, verified)
        if ticket.service != service:
            return TicketRejected(TicketFault.OTHER_SERVICE)
        return ticket

    def _verify(self, token: str) -> Ticket | TicketRejected:
        """Verifies the issuer and the authentication code of a token."""
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
        """Returns whether a ticket names this incarnation."""
        return (
            ticket.instance_id == self._instance_id
            and ticket.incarnation == self._incarnation
        )

    def _cache_verified(self, token: str, ticket: Ticket) -> Ticket:
        """Caches a verified ticket, since many keys share one."""
        if len(self._verified) >= _CACHED_TOKENS:
            self._verified.clear()
        self._verified[token] = ticket
        return ticket

    def _sign(self, payload: bytes) -> bytes:
        """Returns the authentication code of a payload."""
        code = hmac.digest(self._secret, payload, hashlib.sha256)
        return code[:_MAC_BYTES]
