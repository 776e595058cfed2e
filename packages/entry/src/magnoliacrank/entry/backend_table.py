"""BackendTable: per backend server its link, reports and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.model import backend_entry
from magnoliacrank.platform import backend_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import rate_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.gateway import answer_memory

PROBE_TIMEOUT_S = 0.25
"""Longest time for a health request; beyond it the server is silent."""

_PROBE_BURST_S = 2.0
"""Seconds' worth of health requests that may be sent at once; the operators'
bound holds over the day."""

_MAX_DISPATCH_TIMES = 32
"""Times of dispatches that are kept for a server."""


@attrs.define
class Backend:
    """What this instance knows of one backend server."""

    entry: backend_entry.BackendEntry
    """Its registration."""

    link: backend_link.BackendLink
    """Connections to it."""

    health: backend_health.BackendHealth
    """What own traffic said."""

    probe_bucket: rate_bucket.RateBucket
    """Health requests that may still be sent."""

    report: backend_entry.LoadReport | None = None
    """Newest report."""

    report_requested_s: float = 0.0
    """When that report was asked for."""

    report_received_s: float = 0.0
    """When that report came."""

    cold_until_s: float = 0.0
    """When it is warm, as far as is known."""

    cold_bucket: rate_bucket.RateBucket | None = None
    """Requests that it may get while cold."""

    in_flight: int = 0
    """Requests of this instance under way."""

    dispatch_times_s: list[float] = attrs.field(factory=list)
    """Times of dispatches since the newest report was asked for."""

    @property
    def sent_since_report(self) -> int:
        """Requests that the newest report doesn't count."""
        return sum(
            at_s >= self.report_requested_s for at_s in self.dispatch_times_s
        )

    def on_dispatch(self, now_s: float) -> None:
        """Counts a request that is sent."""
        self.in_flight += 1
        self.dispatch_times_s.append(now_s)
        del self.dispatch_times_s[:-_MAX_DISPATCH_TIMES]

    def is_cold(self, now_s: float) -> bool:
        """Whether it bears only a low rate."""
        return now_s < self.cold_until_s


class BackendTable:
    """Backend servers by identity; links open on demand.

    Args:
        log: Where silence is logged.
        clock: Seconds.
        probes_per_s: Returns the health requests a second that one server
            may get from this instance.
        memory: Room for answers.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        clock: Callable[[], float],
        probes_per_s: Callable[[], float],
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self._log = log
        self._clock = clock
        self._probes_per_s = probes_per_s
        self._memory = memory
        self._backends: dict[str, Backend] = {}
        self.probes_sent = 0
        self.connections_opened = 0

    def close(self) -> None:
        """Closes all connections."""
        for backend in self._backends.values():
            backend.link.close()

    def remove(self, server_id: str) -> None:
        """Drops a server that is gone; requests under way go on."""
        backend = self._backends.pop(server_id, None)
        if backend is not None:
            backend.link.close_idle()

    def find(self, entry: backend_entry.BackendEntry) -> Backend:
        """Returns what is known of a server."""
        backend = self._backends.get(entry.server_id)
        if backend is None:
            probes_per_s = self._probes_per_s()
            backend = Backend(
                entry=entry,
                link=backend_link.BackendLink(
                    entry.host,
                    entry.port,
                    self._count_connection,
                    self._memory,
                ),
                health=backend_health.BackendHealth(),
                probe_bucket=rate_bucket.RateBucket(
                    probes_per_s, _PROBE_BURST_S * probes_per_s
                ),
                cold_until_s=self._cold_until_s(entry),
            )
            self._backends[entry.server_id] = backend
        elif backend.entry is not entry:
            self._update_entry(backend, entry)
        return backend

    async def probe(
        self, backend: Backend, health_path: str
    ) -> backend_entry.LoadReport | None:
        """Asks a server for its load; None if there is no answer.

        Args:
            backend: The server.
            health_path: Path that reports load.
        """
        self.probes_sent += 1
        requested_s = self._clock()
        head = outbound_head.OutboundHead(
            "GET", health_path, [("Host", backend.link.authority)]
        )
        answer = await backend.link.exchange(
            backend_link.OutboundRequest(head, b"", None), PROBE_TIMEOUT_S
        )
        now_s = self._clock()
        if isinstance(answer, exchange_failure.ExchangeFailure):
            if not backend.health.is_silent(now_s):
                self._log.event(
                    "server silent",
                    server=backend.entry.server_id,
                    reason=answer.kind.value,
                )
            backend.health.on_silence(now_s)
            return None
        report = backend_wire.decode_health(answer.status, answer.headers)
        if report.server_id not in ("", backend.entry.server_id):
            # The address belongs to another server by now.
            backend.health.on_silence(now_s)
            return None
        backend.health.on_report()
        if requested_s >= backend.report_requested_s:
            backend.report = report
            backend.report_requested_s = requested_s
            backend.report_received_s = now_s
            backend.dispatch_times_s = [
                at for at in backend.dispatch_times_s if at >= requested_s
            ]
            if report.cold_s > 0:
                backend.cold_until_s = now_s + report.cold_s
            elif report.is_healthy:
                backend.cold_until_s = min(backend.cold_until_s, now_s)
        return report

    def _update_entry(
        self, backend: Backend, entry: backend_entry.BackendEntry
    ) -> None:
        if entry.warmup_left_s > backend.entry.warmup_left_s:
            backend.cold_until_s = max(
                backend.cold_until_s, self._cold_until_s(entry)
            )
        backend.entry = entry

    def _cold_until_s(self, entry: backend_entry.BackendEntry) -> float:
        if entry.warmup_left_s <= 0:
            return 0.0
        return self._clock() + entry.warmup_left_s

    def _count_connection(self) -> None:
        self.connections_opened += 1
