"""PeerFetcher: fetches records from other instances, and sends messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.entry import backend_link
from magnoliacrank.entry import peer_records
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.policy import transfer_budget

if TYPE_CHECKING:
    from magnoliacrank.entry import event_log

_TIMEOUT_S = 0.4
"""Timeout of a request to another instance."""

_MAX_ANSWER_BYTES = 8 << 20
"""Limit on the bytes of answers of other instances that are being read."""

_OK = 200


class PeerFetcher:
    """HTTP client of the port between instances.

    Args:
        port: TCP port, the same on all instances.
        log: Log for failed requests.
    """

    def __init__(self, port: int, log: event_log.EventLog) -> None:
        self._port = port
        self._log = log
        self._links: dict[str, backend_link.BackendLink] = {}
        self._memory = transfer_budget.TransferBudget(_MAX_ANSWER_BYTES)

    async def start(self) -> None:
        """Does nothing: connections are opened on demand."""

    async def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.close()

    async def fetch(
        self, ip: str, era: int, operators_seen: int, servers_seen: int
    ) -> peer_records.PeerRecords | None:
        """Fetches the changes after two offsets from another instance.

        Args:
            ip: IP address of the other instance.
            era: Era of the store that the offsets belong to.
            operators_seen: Offset in the operators' topic below which this
                instance lacks no change.
            servers_seen: Offset in the servers' topic below which this
                instance lacks no change.

        Returns:
            The records, or None if the request failed.
        """
        link = self._link(ip)
        target = (
            f"{peer_records.PATH}?operators={operators_seen}"
            f"&servers={servers_seen}&era={era}"
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

    async def post(self, ip: str, path: str, content: bytes) -> bool:
        """Sends a message to another instance.

        Args:
            ip: IP address of the other instance.
            path: Path that the message is meant for.
            content: The message.

        Returns:
            Whether the other instance accepted it.
        """
        link = self._link(ip)
        head = outbound_head.OutboundHead(
            "POST", path, [("Host", link.authority)]
        )
        answer = await link.exchange(
            backend_link.OutboundRequest(head, content, None), _TIMEOUT_S
        )
        if isinstance(answer, exchange_failure.ExchangeFailure):
            self._log.warning(
                "message not sent", peer=ip, path=path, reason=answer.kind.value
            )
            return False
        return answer.status == _OK

    def _link(self, ip: str) -> backend_link.BackendLink:
        link = self._links.get(ip)
        if link is None:
            link = backend_link.BackendLink(ip, self._port, memory=self._memory)
            self._links[ip] = link
        return link
