"""Placer: chooses a backend server for each request by probing a few."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.entry import cold_gate
from magnoliacrank.entry import overload_queue
from magnoliacrank.entry import owned_task
from magnoliacrank.entry import placement_request as placement_requests
from magnoliacrank.policy import crowding
from magnoliacrank.policy import placement
from magnoliacrank.policy import transfer_budget
from magnoliacrank.policy import warmup_check

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import site_view
    from magnoliacrank.entry import spillover_control
    from magnoliacrank.entry import wait_queue
    from magnoliacrank.policy import admission_level
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import service_load

_PROBES_PER_ROUND = 3
"""Servers that are probed for their load concurrently."""

_MAX_PROBE_ROUNDS = 3
"""Rounds of probes in one search for a server."""

_PROBE_ROUND_S = 0.03
"""Longest time that a search waits for one round of probes; reports that
arrive later still update the backend table."""

_FRESH_REPORT_AGE_S = 0.006
"""Age up to which a report is used without probing the server again."""

_SEARCH_REPORT_AGE_S = 0.1
"""Age up to which a report is used at the end of a search that found no good
server; covers all rounds of the search."""

_STALE_REPORT_AGE_S = 0.2
"""Age up to which a report is used while the server's probe rate limit is
exhausted."""

_NO_SERVER_RETRY_S = 0.5
"""Mean retry delay stated to callers when no server is known; about one
heartbeat interval."""


class Placer:
    """Chooses backend servers by their load, and queues requests on overload.

    Probes a few candidates for their load, in random order among equally
    preferred ones. If all are busy, requests wait in a queue per service. A
    request is rejected at once if its estimated wait is too long, and later if
    it finds no server in time.

    Args:
        view: Registered servers and configuration.
        table: Connections, load reports and health of servers.
        roster: Membership, which determines the owners of cold servers.
        knows_mesh: Returns whether this instance knows the membership well
            enough to determine owners, at a clock time in seconds.
        data_centre: Data centre of this instance.
        log: Log for failed probe tasks.
        clock: Returns the monotonic time in seconds.
        rng: Random numbers for shuffling servers and spreading retries.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        table: backend_table.BackendTable,
        roster: instance_roster.InstanceRoster,
        knows_mesh: Callable[[float], bool],
        data_centre: str,
        log: event_log.EventLog,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._log = log
        self._view = view
        self._table = table
        self._cold_gate = cold_gate.ColdGate(view, roster, knows_mesh)
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, overload_queue.OverloadQueue] = {}
        self._crowding: dict[str, crowding.Crowding] = {}
        self._without_load_reports: set[str] = set()
        self._running_probes: dict[str, asyncio.Task[None]] = {}
        self._spillover: spillover_control.SpilloverControl | None = None

    def set_spillover(
        self, control: spillover_control.SpilloverControl
    ) -> None:
        """Sets what bounds the requests to other data centres."""
        self._spillover = control

    def queue(self, service: str) -> wait_queue.WaitQueue:
        """Returns the wait queue of a service, created on first use."""
        return self._overload_queue(service).queue

    def level(self, service: str) -> admission_level.AdmissionLevel:
        """Returns the level at which a service is short."""
        return self._overload_queue(service).level

    def agree(
        self,
        own: service_load.ServiceLoad,
        others: list[service_load.ServiceLoad],
        now_s: float,
    ) -> None:
        """Applies the loads that instances report of one service.

        Args:
            own: Load of the service at this instance.
            others: Its loads at other instances.
            now_s: Clock time in seconds.
        """
        self._overload_queue(own.service).agree(own, others, now_s)

    def crowding_of(self, service: str) -> crowding.Crowding:
        """Returns the measured slowdown of a service's nearly full servers."""
        return self._crowding.setdefault(service, crowding.Crowding())

    async def place(
        self, request: placement_requests.PlacementRequest
    ) -> backend_table.Backend | placement_requests.Rejection:
        """Finds a server for a request and counts the request as in flight.

        Waits in the queue of the service if all servers are busy, the request
        may wait, and the estimated wait is short enough. After the request has
        ended, `on_finished` has to be called for the returned server.

        Args:
            request: Requirements of the request.

        Returns:
            The server, or the reason why there is none.
        """
        if not self._candidates(request):
            return placement_requests.Rejection(
                placement_requests.RejectionReason.NO_SERVER,
                self._no_server_retry_s(),
            )
        return await self._overload_queue(request.service).place(request)

    def on_finished(
        self, backend: backend_table.Backend, body_bytes: int = 0
    ) -> None:
        """Counts a request at a server as ended and wakes waiting requests.

        Args:
            backend: The server.
            body_bytes: Size of the request's body.
        """
        backend.in_flight -= 1
        backend.in_flight_bytes -= body_bytes
        queue = self._queues.get(backend.entry.service)
        if queue is not None:
            queue.on_slot_freed(backend)

    def _no_server_retry_s(self) -> float:
        return _NO_SERVER_RETRY_S * self._rng.uniform(0.6, 1.4)

    def _overload_queue(self, service: str) -> overload_queue.OverloadQueue:
        found = self._queues.get(service)
        if found is None:
            found = overload_queue.OverloadQueue(
                self._find_backend,
                self._confirm_freed,
                self._clock,
                self._rng,
            )
            self._queues[service] = found
        return found

    def _confirm_freed(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
    ) -> bool:
        """Confirms a server that has just ended a request for another one."""
        return (
            backend in self._candidates(request)
            and self._best_good_backend(request, [backend]) is not None
            and self._try_use(request, backend)
        )

    async def _find_backend(
        self, request: placement_requests.PlacementRequest
    ) -> backend_table.Backend | None:
        """Probes servers in rounds.

        Returns:
            The first good server, else the best acceptable one, or None.
        """
        plan = self._view.plan
        service = None if plan is None else plan.services.get(request.service)
        health_path = "/health" if service is None else service.health_path
        candidates = self._candidates(request)
        if request.service in self._without_load_reports:
            return await self._find_by_in_flight(
                request, candidates, health_path
            )
        rounds = placement.probe_rounds(
            candidates, self._is_remote, _PROBES_PER_ROUND, _MAX_PROBE_ROUNDS
        )
        for probed in rounds:
            good = await self._probe_round(request, probed, health_path)
            if good is not None and self._try_use(request, good):
                return good
        usable = [
            (rating.order, index, backend)
            for index, backend in enumerate(candidates)
            if (rating := self._rating(request, backend, _SEARCH_REPORT_AGE_S))
            is not None
            and self._is_acceptable(request, rating)
        ]
        for _, _, backend in sorted(usable):
            if self._try_use(request, backend):
                return backend
        return None

    async def _find_by_in_flight(
        self,
        request: placement_requests.PlacementRequest,
        candidates: list[backend_table.Backend],
        health_path: str,
    ) -> backend_table.Backend | None:
        """Chooses by in-flight requests among servers that report no load.

        A health request to such a server waits for a slot like any request, so
        a probe before each dispatch would cost as much as it saves. One that
        was out of use is probed first, since it may have become cold.
        """
        now_s = self._clock()
        free = [
            backend
            for backend in candidates
            if backend.in_flight < backend.entry.slots
        ]
        keyed = [
            (
                self._preference_key(backend, now_s),
                backend.in_flight / backend.entry.slots,
                max(backend.health.duration_ratio, 1.0),
                index,
            )
            for index, backend in enumerate(free)
        ]
        for *_, index in sorted(keyed):
            backend = free[index]
            if not await self._knows_warmup(backend, health_path):
                continue
            if self._try_use(request, backend):
                return backend
        return None

    async def _knows_warmup(
        self, backend: backend_table.Backend, health_path: str
    ) -> bool:
        """Probes a server that states no load if its warm-up is in doubt.

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
        probe = self._start_probe(backend, health_path)
        if check is warmup_check.WarmupCheck.CONCURRENT or probe is None:
            return True
        await asyncio.wait({probe}, timeout=_PROBE_ROUND_S)
        return backend.report_received_s >= now_s

    def _is_acceptable(
        self,
        request: placement_requests.PlacementRequest,
        rating: placement.Rating,
    ) -> bool:
        """Whether using a free but slow server beats waiting for a good one.

        Slowdowns by noisy neighbours are short, and a request that starts on
        a slow server occupies its slot for long. While other requests wait,
        one late answer would make several others late.
        """
        if rating.fit > placement.Fit.SLOW:
            return False
        now_s = self._clock()
        end_s = now_s + request.work_s * rating.cost
        if end_s <= request.objective_s:
            return True
        is_alone = self.queue(request.service).length <= 1
        return (
            is_alone and now_s + overload_queue.POLL_S > request.wait_deadline_s
        )

    async def _probe_round(
        self,
        request: placement_requests.PlacementRequest,
        probed: list[backend_table.Backend],
        health_path: str,
    ) -> backend_table.Backend | None:
        """Probes servers concurrently; returns the first good one, or None."""
        pending: set[asyncio.Task[None]] = set()
        for backend in probed:
            task = self._start_probe(backend, health_path)
            if task is not None:
                pending.add(task)
        end_s = self._clock() + _PROBE_ROUND_S
        while True:
            good = self._best_good_backend(request, probed)
            left_s = end_s - self._clock()
            if good is not None or not pending or left_s <= 0:
                return good
            _, pending = await asyncio.wait(
                pending,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _start_probe(
        self, backend: backend_table.Backend, health_path: str
    ) -> asyncio.Task[None] | None:
        now_s = self._clock()
        if (
            backend.report
            and now_s - backend.report_received_s <= _FRESH_REPORT_AGE_S
        ):
            return None
        server_id = backend.entry.server_id
        running = self._running_probes.get(server_id)
        if running is not None:
            return running
        if not backend.probe_bucket.try_take(now_s):
            return None
        task = owned_task.spawn(
            self._probe(backend, health_path), "probe", self._log
        )
        self._running_probes[server_id] = task
        return task

    async def _probe(
        self, backend: backend_table.Backend, health_path: str
    ) -> None:
        try:
            started_s = self._clock()
            report = await self._table.probe(
                backend,
                health_path,
                may_queue=backend.entry.service in self._without_load_reports,
            )
        finally:
            del self._running_probes[backend.entry.server_id]
        if report is None or not report.is_healthy:
            return
        if self._spillover is not None:
            self._spillover.on_round_trip(
                backend.entry.data_centre, self._clock() - started_s
            )
        if not report.has_load:
            self._without_load_reports.add(backend.entry.service)

    def _best_good_backend(
        self,
        request: placement_requests.PlacementRequest,
        probed: Iterable[backend_table.Backend],
    ) -> backend_table.Backend | None:
        good = [
            (rating.order, index, backend)
            for index, backend in enumerate(probed)
            if (rating := self._rating(request, backend, _FRESH_REPORT_AGE_S))
            is not None
            and rating.fit is placement.Fit.GOOD
        ]
        return min(good)[2] if good else None

    def _rating(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
        max_age_s: float,
    ) -> placement.Rating | None:
        """Rates a server by its newest load report.

        Args:
            request: Requirements of the request.
            backend: The server.
            max_age_s: Longest age of the report in seconds. Ignored while the
                server may not be probed; an older report is used then.

        Returns:
            The rating, or None without a report of that age, or if the server
            is silent or may get no request now.
        """
        now_s = self._clock()
        report = backend.report
        if report is None or backend.health.is_unresponsive(now_s):
            return None
        if not backend.probe_bucket.has_token(now_s):
            max_age_s = _STALE_REPORT_AGE_S
        if now_s - backend.report_received_s > max_age_s:
            return None
        if not self._cold_gate.may_use(backend, now_s):
            return None
        is_remote = self._is_remote(backend)
        distance_ratio = 0.0
        if is_remote and self._spillover is not None:
            distance_ratio = self._spillover.distance_ratio(
                backend, request.work_s
            )
        return placement.rate(
            report,
            backend.sent_since_report,
            backend.health.duration_ratio,
            self.crowding_of(request.service).factor,
            is_remote=is_remote,
            transfer_bytes=request.transfer_bytes,
            distance_ratio=distance_ratio,
        )

    def _candidates(
        self, request: placement_requests.PlacementRequest
    ) -> list[backend_table.Backend]:
        """Returns the servers that may get a request, in probing order."""
        now_s = self._clock()
        target = self._view.target_version(request.service)
        if target is not None and self._view.has_only_target(request.service):
            # No server runs the old version any more, so all requests go to
            # the new one.
            target = None
        entries = [
            entry
            for entry in self._view.backends(request.service)
            if entry.server_id not in request.excluded
            and (
                target is None
                or (entry.version == target) == request.wants_new_version
            )
        ]
        backends = [self._table.find(entry) for entry in entries]
        usable = [
            backend
            for backend in backends
            if self._cold_gate.may_use(backend, now_s)
        ]
        if request.server_order is not None:
            return self._first_healthy(usable, request.server_order, now_s)
        if placement.should_stay_local(request, now_s):
            usable = self._responsive_local(usable, now_s) or usable
        keyed = [
            (self._preference_key(backend, now_s), self._rng.random(), backend)
            for backend in usable
        ]
        keyed.sort(key=lambda item: item[:2])
        candidates = [backend for _, _, backend in keyed]
        if self._spillover is None:
            return candidates
        return self._spillover.arrange(request, candidates)

    def _first_healthy(
        self,
        backends: list[backend_table.Backend],
        order: Callable[[str], int],
        now_s: float,
    ) -> list[backend_table.Backend]:
        healthy = [
            backend
            for backend in backends
            if not backend.health.is_unresponsive(now_s)
            and not backend.health.is_blocked(now_s)
        ]
        healthy.sort(key=lambda backend: order(backend.entry.server_id))
        return healthy[:1]

    def _responsive_local(
        self, backends: list[backend_table.Backend], now_s: float
    ) -> list[backend_table.Backend]:
        return [
            backend
            for backend in backends
            if not self._is_remote(backend)
            and not backend.health.is_unresponsive(now_s)
            and not backend.health.is_blocked(now_s)
        ]

    def _preference_key(
        self, backend: backend_table.Backend, now_s: float
    ) -> tuple[bool, bool, bool, bool]:
        """Returns a sort key of a server; the least is preferred."""
        health = backend.health
        entry = backend.entry
        return (
            health.is_unresponsive(now_s),
            health.is_blocked(now_s),
            self._is_remote(backend),
            backend.in_flight >= entry.slots,
        )

    def _is_remote(self, backend: backend_table.Backend) -> bool:
        return backend.entry.data_centre != self._data_centre

    def _try_use(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
    ) -> bool:
        """Confirms a server, and counts it if it is in another data centre."""
        if not self._try_confirm(request, backend):
            return False
        if self._spillover is not None:
            self._spillover.on_sent(request, backend)
        return True

    def _try_confirm(
        self,
        request: placement_requests.PlacementRequest,
        backend: backend_table.Backend,
    ) -> bool:
        """Confirms a server for a request, and takes a token if it is cold.

        Fails if the server may no longer get requests, has too many bytes of
        bodies in flight, or is cold and either not owned by this instance or
        at its rate limit. Each of these may have changed during the search.
        """
        if not self._view.is_usable(backend.entry):
            return False
        if not transfer_budget.fits_server(
            backend.in_flight_bytes, request.body_bytes
        ):
            return False
        return self._cold_gate.try_take(backend, self._clock())
