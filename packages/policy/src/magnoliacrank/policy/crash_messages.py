"""Messages about requests that may crash the backend servers that run them.

The members of a service's crew, that is, the entry instances that own its
slots, send them to each other.
"""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class Fingerprint:
    """Identifies a request by its content, the same on every instance."""

    customer: ids.CustomerId
    """Customer who sent the request."""

    service: ids.ServiceName
    """Service that the request is for."""

    digest: bytes
    """Digest of the request's method, target and body."""


@attrs.frozen
class ServerDeath:
    """Identifies one crash of one backend server."""

    server_id: ids.ServerId
    """Backend server that crashed."""

    incarnation: int
    """Start number or start time of the crashed process, which tells it apart
    from later processes of the same server."""


@attrs.frozen
class CrashNotice:
    """Reports a server crash and the requests that ran on the server then."""

    service: ids.ServiceName
    """Service of the crashed backend server."""

    sender: ids.InstanceId
    """Instance that reports the crash."""

    death: ServerDeath
    """The reported crash."""

    suspects: tuple[Fingerprint, ...]
    """Requests known to the sender to have run on the server at the crash."""


@attrs.frozen
class CrashNoticeReceipt:
    """Confirms that a crash notice was received."""

    service: ids.ServiceName
    """Service of the crashed backend server."""

    sender: ids.InstanceId
    """Instance that received the notice."""

    death: ServerDeath
    """The reported crash."""


@attrs.frozen
class SuspectCleared:
    """Clears a suspect that was answered in full without a server crash."""

    service: ids.ServiceName
    """Service of the request."""

    sender: ids.InstanceId
    """Instance that ran the suspect."""

    suspect: Fingerprint
    """Fingerprint of the cleared request."""

    deaths: frozenset[ServerDeath]
    """Server crashes for which the sender suspected the request. A member
    that knows of a further crash keeps the suspicion."""
