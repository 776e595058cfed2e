"""PeerFetcher: asks other instances for records that this one lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import peer_records
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head

if TYPE_CHECKING:
    from magnoliacrank.entry import event_log

_TIMEOUT_S = 0.4
"""Longest time for an answer of another instance."""


class PeerFetcher:
    """Client of the port between instances.

    Args:
        port: TCP port, the same on all instances.
        log: Where failures are logged.
    """

    def __init__(self, port: int, log: event_log.EventLog) -> None:
        self._port = port
        self._log = log
        self._links: dict[str, backend_link.BackendLink] = {}

    async def start(self) -> None:
        """Connections open on demand."""

    async def close(self) -> None:
        """Closes the connections."""
        for link in self._links.values():
            link.close()

    async def fetch(
        self, ip: str, operators_seen: int, servers_seen: int
    ) -> peer_records.PeerRecords | None:
        """Fetches the changes since two offsets, or None on failure.

        Args:
            ip: IP address of the instance to ask.
            operators_seen: Offset before which no operators' change is missing.
            servers_seen: Offset before which no servers' change is missing.
        """
        link = self._links.get(ip)
        if link is None:
            link = backend_link.BackendLink(ip, self._port)
            self._links[ip] = link
        target = (
            f"{peer_records.PATH}?operators={operators_seen}"
            f"&servers={servers_seen}"
        )
        head = outbound_head.OutboundHead(
            "GET", target, [("Host", link.authority)]
        )
        answer = await link.exchange(
            backend_link.OutboundRequest(head, b"", None), _TIMEOUT_S
        )
        if isinstance(answer, exchange_failure.ExchangeFailure):
            self._log.warning(
                "records not fetched", peer=ip, reason=answer.kind.value
            )
            return None
        return peer_records.decode(answer.content)
