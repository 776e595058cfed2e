"""Messages about requests that crash backend servers."""

from __future__ import annotations

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class Fingerprint:
    """Names a request by its content, whoever carries it."""

    customer: ids.CustomerId
    """Customer of the request."""

    service: ids.ServiceName
    """Service of the request."""

    digest: bytes
    """Digest of method, target and body."""


@attrs.frozen
class ServerDeath:
    """One death of one backend server."""

    server_id: ids.ServerId
    """Backend server."""

    incarnation: int
    """Start number or time of the process that died."""


@attrs.frozen
class CrashNotice:
    """Tells which requests were running when a backend server died."""

    service: ids.ServiceName
    """Service of the backend server."""

    sender: ids.InstanceId
    """Who saw it."""

    death: ServerDeath
    """The death."""

    suspects: tuple[Fingerprint, ...]
    """Requests that ran there."""


@attrs.frozen
class CrashNoticeReceipt:
    """Confirms a notice."""

    service: ids.ServiceName
    """Service of the backend server."""

    sender: ids.InstanceId
    """Who knows of the death."""

    death: ServerDeath
    """The death."""


@attrs.frozen
class SuspectCleared:
    """Tells that a suspect ran to its end on a backend server that lived."""

    service: ids.ServiceName
    """Service of the request."""

    sender: ids.InstanceId
    """Who ran it."""

    suspect: Fingerprint
    """The request."""

    deaths: frozenset[ServerDeath]
    """Deaths of which it is cleared."""
