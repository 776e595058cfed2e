"""BackendTable: connections, load reports and health of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import backend_link
from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.model import backend_entry
from magnoliacrank.platform import backend_wire
from magnoliacrank.policy import backend_health
from magnoliacrank.policy import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from magnoliacrank.entry import event_log
    from magnoliacrank.policy import transfer_budget

FailureKind = exchange_failure.FailureKind

PROBE_TIMEOUT_S = 0.25
"""Timeout of a health request; a server that exceeds it counts as silent."""

_PROBE_BURST_S = 2.0
"""Burst of health requests, in seconds of their rate. A burst is allowed
because the operators' bound applies to the average over a day."""

_ANSWER_DELAY_S = 0.003
"""Time before the arrival of an answer from which on the load that it states
doesn't count requests that were sent meanwhile."""

_MAX_DISPATCH_TIMES = 32
"""Maximum number of dispatch times that are kept for one server."""


@attrs.define
class Backend:
    """Connections, load and health of one backend server.

    Times are readings of the instance's clock in seconds.
    """

    entry: backend_entry.BackendEntry
    """Newest entry of the server in the store."""

    link: backend_link.BackendLink
    """Connection pool for the server."""

    health: backend_health.BackendHealth
    """Failures, silence and pace that this instance observed."""

    probe_bucket: token_bucket.TokenBucket
    """Token bucket for health requests to the server."""

    report: backend_entry.HealthReport | None = None
    """Newest load report; None before the first."""

    report_requested_s: float = 0.0
    """Time at which the newest load report was requested."""

    report_received_s: float = 0.0
    """Time at which the newest load report arrived."""

    cold_until_s: float = 0.0
    """Time at which the warm-up is expected to end."""

    cold_bucket: token_bucket.TokenBucket | None = None
    """Token bucket for requests during warm-up; created on first use."""

    in_flight: int = 0
    """Requests that this instance has sent and that have not ended."""

    last_dispatch_s: float = float("-inf")
    """Time of the latest dispatch."""

    in_flight_bytes: int = 0
    """Size of the bodies of these requests."""

    dispatch_times_s: list[float] = attrs.field(factory=list)
    """Times of the dispatches since the newest report was requested."""

    @property
    def sent_since_report(self) -> int:
        """Number of requests sent since the newest report was requested."""
        return sum(
            at_s >= self.report_requested_s for at_s in self.dispatch_times_s
        )

    def on_dispatch(self, now_s: float, body_bytes: int = 0) -> None:
        """Counts a request that is sent to this server.

        Args:
            now_s: Clock time in seconds.
            body_bytes: Size of the request's body.
        """
        self.in_flight += 1
        self.last_dispatch_s = now_s
        self.in_flight_bytes += body_bytes
        self.dispatch_times_s.append(now_s)
        del self.dispatch_times_s[:-_MAX_DISPATCH_TIMES]

    def on_answer(
        self, headers: Mapping[str, str], *, was_run: bool, now_s: float
    ) -> None:
        """Updates the load report by the load that an answer states.

        Load pattern: all servers are full, and health requests are too few to
        notice each slot that becomes free. The answer that frees it does.

        Args:
            headers: Headers of an answer to a request; lookups ignore case.
            was_run: Whether the server ran the request.
            now_s: Clock time in seconds.
        """
        report = self.report
        stated_s = now_s - _ANSWER_DELAY_S
        if report is None or stated_s < self.report_requested_s:
            return
        running, waiting, slots, slowdown = backend_wire.decode_answer_load(
            headers, was_run=was_run
        )
        if not slots:
            return
        own_running = self.in_flight - 1
        self._record_report(
            attrs.evolve(
                report,
                running=max(running, own_running),
                waiting=waiting,
                slots=slots,
                slowdown=slowdown,
            ),
            stated_s,
            now_s,
        )

    def on_health_report(
        self,
        report: backend_entry.HealthReport,
        requested_s: float,
        now_s: float,
    ) -> None:
        """Records a report of the health path, unless a newer one is known.

        Args:
            report: The report.
            requested_s: Clock time in seconds at which it was requested.
            now_s: Clock time in seconds.
        """
        if requested_s < self.report_requested_s:
            return
        self._record_report(report, requested_s, now_s)
        if report.cold_s > 0:
            self.cold_until_s = now_s + report.cold_s
        elif report.is_healthy:
            self.cold_until_s = min(self.cold_until_s, now_s)

    def _record_report(
        self,
        report: backend_entry.HealthReport,
        requested_s: float,
        now_s: float,
    ) -> None:
        self.report = report
        self.report_requested_s = requested_s
        self.report_received_s = now_s
        self.dispatch_times_s = [
            at_s for at_s in self.dispatch_times_s if at_s >= requested_s
        ]

    def is_cold(self, now_s: float) -> bool:
        """Whether the server is warming up and limited to a low rate."""
        return now_s < self.cold_until_s


class BackendTable:
    """State of backend servers by server id, created on first use.

    Args:
        log: Log for servers that don't answer health requests.
        clock: Returns the monotonic time in seconds.
        probes_per_s: Returns how many health requests per second this
            instance may send to one server.
        memory: Memory limit that the answers of all servers share.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        clock: Callable[[], float],
        probes_per_s: Callable[[], float],
        memory: transfer_budget.TransferBudget,
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
        """Removes a server; its requests in flight are allowed to finish."""
        backend = self._backends.pop(server_id, None)
        if backend is not None:
            backend.link.close_idle()

    def find(self, entry: backend_entry.BackendEntry) -> Backend:
        """Returns the state of a server, created or updated from its entry."""
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
                probe_bucket=token_bucket.TokenBucket(
                    probes_per_s, _PROBE_BURST_S * probes_per_s
                ),
                cold_until_s=self._cold_until_s(entry),
            )
            self._backends[entry.server_id] = backend
        elif backend.entry is not entry:
            self._update_entry(backend, entry)
        return backend

    async def probe(
        self, backend: Backend, health_path: str, *, may_queue: bool = False
    ) -> backend_entry.HealthReport | None:
        """Sends a health request to a server and records its load report.

        Args:
            backend: The server.
            health_path: Path of the health request.
            may_queue: Whether the server is known to let health requests wait
                for a slot, so that a late answer is no sign of a failure.

        Returns:
            The report, or None if the request failed or another server
            answered at the address.
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
            if may_queue and answer.kind is FailureKind.TIMEOUT:
                return None
            if not backend.health.is_unresponsive(now_s):
                self._log.event(
                    "server silent",
                    server=backend.entry.server_id,
                    reason=answer.kind.value,
                )
            backend.health.on_unanswered_check(now_s)
            return None
        report = backend_wire.decode_health(answer.status, answer.headers)
        if report.server_id not in ("", backend.entry.server_id):
            # The address now belongs to another server.
            backend.health.on_unanswered_check(now_s)
            return None
        backend.health.on_answered_check()
        backend.on_health_report(report, requested_s, now_s)
        return report

    def _update_entry(
        self, backend: Backend, entry: backend_entry.BackendEntry
    ) -> None:
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
