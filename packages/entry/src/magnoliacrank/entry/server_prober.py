"""ServerProber: sends health requests, each server at most one at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import owned_task
from magnoliacrank.policy import warmup_check

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import event_log

PROBE_ROUND_S = 0.03
"""Longest time that a search waits for one round of probes; reports that
arrive later still update the backend table."""

FRESH_REPORT_AGE_S = 0.006
"""Age up to which a report is used without probing the server again."""


class ServerProber:
    """Probes backend servers for their load and warm-up.

    Requests that want a report of the same server share one probe.

    Args:
        table: Load reports and probe rate limits of servers.
        log: Log for failed probe tasks.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        table: backend_table.BackendTable,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._log = log
        self._clock = clock
        self._running: dict[str, asyncio.Task[None]] = {}
        self._without_load_reports: set[str] = set()
        self._on_round_trip: Callable[[str, float], None] = lambda *_: None

    def set_round_trip_handler(
        self, handler: Callable[[str, float], None]
    ) -> None:
        """Sets the callback for answered probes.

        Args:
            handler: Takes the server's data centre and the time to the answer
                in seconds.
        """
        self._on_round_trip = handler

    def states_no_load(self, service: str) -> bool:
        """Whether a server of a service has answered without its load."""
        return service in self._without_load_reports

    def start(
        self, backend: backend_table.Backend, health_path: str
    ) -> asyncio.Task[None] | None:
        """Starts a probe, or returns the one that is running.

        Args:
            backend: The server.
            health_path: Path of the health request.

        Returns:
            The probe, or None if the newest report is fresh or the server's
            probe rate limit is exhausted.
        """
        now_s = self._clock()
        if (
            backend.report
            and now_s - backend.report_received_s <= FRESH_REPORT_AGE_S
        ):
            return None
        server_id = backend.entry.server_id
        running = self._running.get(server_id)
        if running is not None:
            return running
        if not backend.probe_bucket.try_take(now_s):
            return None
        task = owned_task.spawn(
            self._probe(backend, health_path), "probe", self._log
        )
        self._running[server_id] = task
        return task

    async def knows_warmup(
        self, backend: backend_table.Backend, health_path: str
    ) -> bool:
        """Probes a server that states no load if its warm-up is in doubt.

        Args:
            backend: The server.
            health_path: Path of the health request.

        Returns:
            Whether its warm-up state is known well enough to use it now.
        """
        now_s = self._clock()
        report_age_s = None
        if backend.report is not None:
            report_age_s = now_s - backend.report_received_s
        check = warmup_check.due_check(
            report_age_s, now_s - backend.last_dispatch_s
        )
        if check is warmup_check.WarmupCheck.NONE:
            return True
        probe = self.start(backend, health_path)
        if check is warmup_check.WarmupCheck.CONCURRENT or probe is None:
            return True
        await asyncio.wait({probe}, timeout=PROBE_ROUND_S)
        return backend.report_received_s >= now_s

    async def _probe(
        self, backend: backend_table.Backend, health_path: str
    ) -> None:
        entry = backend.entry
        started_s = self._clock()
        try:
            report = await self._table.probe(
                backend,
                health_path,
                may_queue=self.states_no_load(entry.service),
            )
        finally:
            del self._running[entry.server_id]
        if report is None or not report.is_healthy:
            return
        self._on_round_trip(entry.data_centre, self._clock() - started_s)
        if not report.has_load:
            self._without_load_reports.add(entry.service)
