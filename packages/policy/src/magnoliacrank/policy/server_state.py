"""State of one backend server as one entry instance observes it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliacrank.policy import concurrency_limit
from magnoliacrank.policy import life
from magnoliacrank.policy import load_estimate
from magnoliacrank.policy import outlier_detector
from magnoliacrank.policy import probe_budget
from magnoliacrank.policy import sample
from magnoliacrank.policy import slowdown_detector

if TYPE_CHECKING:
    from magnoliacrank.model import server
    from magnoliacrank.policy import route_latency

_LATENCY_RATIO_WEIGHT = 0.3
"""Weight of the newest answer in the smoothed latency ratio."""

_LATENCY_RATIO_DECAY_S = 1.0
"""Time constant in seconds with which the latency ratio returns to 1."""

_COLD_DISPATCH_INTERVAL_S = 0.05
"""Seconds without a dispatch after which an idle cold server gets a request."""

_MIN_REPORT_TRUST = 0.5
"""Trust in a server's load reports from which they affect its limit."""

_MIN_SUCCESS_SHARE = 0.1
"""Least success share in the cost, so that the cost stays finite."""

_EJECTED_PROBE_WEIGHT = 4.0
"""Weight of an ejected server in the order of probes."""


class ServerState:
    """Observations of one server, and the limit and cost derived from them."""

    __slots__ = (
        "_before_restart",
        "_concurrency_limit",
        "_incarnation",
        "_is_down",
        "_last_failure_s",
        "_last_probe_s",
        "_last_shared_update",
        "_latency_ratio",
        "_latency_ratio_at_s",
        "_load_estimate",
        "_outlier_detector",
        "_slowdown_detector",
        "answered_s",
        "dispatched_s",
        "in_flight",
        "life",
        "server",
    )

    def __init__(self, backend: server.BackendServer, now_s: float) -> None:
        self.server = backend
        """The server as last listed by the platform."""
        self.life = life.LifecycleState.COLD
        """Life cycle state."""
        self.in_flight: dict[sample.Dispatch, None] = {}
        """Requests of this instance in flight on the server, oldest first."""
        self.dispatched_s = -math.inf
        """Monotonic time of the last dispatch in seconds."""
        self.answered_s = -math.inf
        """Monotonic time of the last answer in seconds."""
        self._concurrency_limit = concurrency_limit.ConcurrencyLimit(
            backend.slots, now_s
        )
        self._load_estimate = load_estimate.LoadEstimate()
        self._outlier_detector = outlier_detector.OutlierDetector()
        self._latency_ratio = 1.0
        self._latency_ratio_at_s = now_s
        self._incarnation = 0
        self._last_probe_s = now_s
        self._last_failure_s = -math.inf
        self._is_down = False
        self._slowdown_detector = slowdown_detector.SlowdownDetector()
        self._before_restart: tuple[int, int] | None = None
        self._last_shared_update: sample.ServerStateUpdate | None = None

    @property
    def limit(self) -> int:
        """Requests that the server can run at once, over all instances."""
        return self._concurrency_limit.limit

    @property
    def is_cold(self) -> bool:
        """Whether the server was not seen warm since its last known start."""
        return self._concurrency_limit.is_cold

    @property
    def incarnation(self) -> int:
        """Start number of the server's process, or 0 when unknown."""
        return self._incarnation

    @property
    def failure_share(self) -> float:
        """Share of recent outcomes that were failures."""
        return self._outlier_detector.failure_share

    def cost(self, slowness: float, now_s: float) -> float:
        """Returns the expected latency relative to the usual one, for ranking.

        Args:
            slowness: Result of `slowness` at the same time.
            now_s: Current monotonic time in seconds.
        """
        load = len(self.in_flight) + self._load_estimate.others_load(now_s)
        success = max(
            _MIN_SUCCESS_SHARE, 1.0 - self._outlier_detector.failure_share
        )
        return slowness * (1.0 + load / self.limit) / (success * success)

    def slowness(self, now_s: float) -> float:
        """Returns how many times slower than usual the server seems now.

        A request in flight that is late counts at once, by its age. The weight
        of older answers decays.
        """
        decay = math.exp(
            (self._latency_ratio_at_s - now_s) / _LATENCY_RATIO_DECAY_S
        )
        ratio = 1.0 + (self._latency_ratio - 1.0) * decay
        for oldest in self.in_flight:
            age_s = now_s - oldest.started_s
            if age_s > oldest.late_s:
                ratio = max(ratio, age_s / oldest.expected_s)
            break
        return ratio

    def needs_cold_dispatch(self, now_s: float) -> bool:
        """Returns whether a cold server needs a request to go on warming up."""
        if not self.is_cold:
            return False
        return (
            not self.in_flight
            and now_s - self.dispatched_s >= _COLD_DISPATCH_INTERVAL_S
        )

    def probe_need(self, now_s: float) -> probe_budget.ProbeNeed:
        """Returns how urgently the server needs a probe."""
        quiet_s = now_s - max(self.answered_s, self._last_probe_s)
        weight = (
            _EJECTED_PROBE_WEIGHT
            if self.life is life.LifecycleState.SUSPECT
            else 1.0
        )
        return probe_budget.ProbeNeed(self.server.server_id, quiet_s, weight)

    def on_probe_answer(self, now_s: float) -> None:
        """Records an answered probe.

        It readmits a server that was ejected for refusing connections.
        """
        self._last_probe_s = now_s
        if self.life is life.LifecycleState.SUSPECT and self._is_down:
            self._is_down = False
            self._readmit()

    def is_trial_due(self, now_s: float) -> bool:
        """Returns whether an ejected server is due for one trial request."""
        return not self.in_flight and self._outlier_detector.is_trial_due(now_s)

    def on_dispatch(
        self, route: str, usual: route_latency.RouteLatency, now_s: float
    ) -> sample.Dispatch:
        """Counts a request as in flight and returns its handle.

        Args:
            route: Name of the route.
            usual: Usual latency of the route in the server's data centre.
            now_s: Current monotonic time in seconds.
        """
        dispatch = sample.Dispatch(
            self.server.server_id,
            route,
            now_s,
            usual.expected_s,
            usual.late_s,
        )
        self.in_flight[dispatch] = None
        self.dispatched_s = now_s
        if self.life is life.LifecycleState.SUSPECT:
            self._outlier_detector.on_trial(now_s)
        return dispatch

    def on_end(self, dispatch: sample.Dispatch) -> None:
        """Removes a request that has ended from those in flight."""
        self.in_flight.pop(dispatch, None)
        if not self.in_flight:
            self._apply_event(life.LifecycleEvent.DRAINED)

    def on_served(self, ratio: float, now_s: float) -> None:
        """Records a served answer.

        Args:
            ratio: Latency of the answer divided by the usual one.
            now_s: Current monotonic time in seconds.
        """
        self.answered_s = now_s
        self._outlier_detector.on_success()
        self._add_latency_ratio(ratio, now_s)
        if self.life is life.LifecycleState.SUSPECT:
            self._readmit()
            return
        self._apply_event(life.LifecycleEvent.ANSWERED)
        if (
            self._slowdown_detector.add(ratio)
            and not self._concurrency_limit.follows_reported_limit
        ):
            self._concurrency_limit.on_slow(now_s)
        self._concurrency_limit.on_served(ratio, now_s)
        self._finish_warmup()

    def on_shed(self, now_s: float) -> None:
        """Records that the server refused a request for overload."""
        self.answered_s = now_s
        self._outlier_detector.on_failure()
        self._concurrency_limit.on_shed(len(self.in_flight) + 1, now_s)
        self._finish_warmup()

    def on_error(self, service_failure_share: float, now_s: float) -> None:
        """Records an answer in which the server failed the request.

        Args:
            service_failure_share: Recent share of failures over all servers of
                the service.
            now_s: Current monotonic time in seconds.
        """
        self.answered_s = now_s
        self._record_failure(service_failure_share, now_s)

    def on_timeout(
        self,
        ratio: float,
        started_s: float,
        service_failure_share: float,
        now_s: float,
    ) -> None:
        """Records a request that timed out.

        Requests that were in flight together, such as those on connections that
        stopped responding, count as one failure.

        Args:
            ratio: Duration of the request divided by the usual latency.
            started_s: Monotonic time in seconds at which it was sent.
            service_failure_share: Recent share of failures over all servers of
                the service.
            now_s: Current monotonic time in seconds.
        """
        if not self._is_new_failure(started_s, now_s):
            return
        self._add_latency_ratio(ratio, now_s)
        if self._slowdown_detector.add(ratio):
            self._concurrency_limit.on_slow(now_s)
        self._record_failure(service_failure_share, now_s)

    def on_connection_lost(
        self, started_s: float, service_failure_share: float, now_s: float
    ) -> None:
        """Records a connection that broke during a request.

        This may be the first sign of a restart, so the server is held at the
        cold limit until an answer shows the same incarnation. Connections that
        were busy together and break count as one failure.

        Args:
            started_s: Monotonic time in seconds at which the request was sent.
            service_failure_share: Recent share of failures over all servers of
                the service.
            now_s: Current monotonic time in seconds.
        """
        self.on_restart(now_s)
        if self._is_new_failure(started_s, now_s):
            self._record_failure(service_failure_share, now_s)

    def on_refused_connection(self, now_s: float) -> None:
        """Ejects a server that refuses connections; nothing listens there."""
        self.on_restart(now_s)
        self._is_down = True
        self._last_probe_s = now_s
        self._outlier_detector.on_failure()
        self._eject(now_s)

    def on_restart(self, now_s: float) -> None:
        """Falls back to the limit of a server that has just started."""
        if not self.is_cold:
            self._before_restart = (
                self._incarnation,
                self._concurrency_limit.limit,
            )
        self._concurrency_limit.restart(now_s)
        self._latency_ratio = 1.0
        self._slowdown_detector.reset()
        self._apply_event(life.LifecycleEvent.RESTARTED)

    def on_report(
        self,
        report: server.LoadReport,
        own_in_flight: int,
        now_s: float,
    ) -> None:
        """Applies a load report.

        Args:
            report: Load report of the server.
            own_in_flight: Requests of this instance in flight on the server
                when the report was made.
            now_s: Current monotonic time in seconds.
        """
        self._load_estimate.on_report(report, own_in_flight, now_s)
        self._update_incarnation(report.incarnation, now_s)
        trusted = self._load_estimate.trust >= _MIN_REPORT_TRUST
        if trusted:
            self._undo_assumed_restart(report.incarnation, now_s)
        self._concurrency_limit.on_reported_limit(
            report.limit if trusted else None
        )

    def on_state_update(
        self, state_update: sample.ServerStateUpdate, now_s: float
    ) -> None:
        """Applies the state that another instance shared.

        A state of an earlier incarnation is ignored.
        """
        if 0 < state_update.incarnation < self._incarnation:
            return
        self._update_incarnation(state_update.incarnation, now_s)
        if state_update.is_cold and not self.is_cold:
            self.on_restart(now_s)
        if self.is_cold:
            self._concurrency_limit.restore(state_update.limit, now_s)
            if not state_update.is_cold:
                self._concurrency_limit.mark_warm()
            self._finish_warmup()
        self._last_shared_update = self.state_update()

    def state_update(self) -> sample.ServerStateUpdate:
        """Returns the server's state for sharing with other instances."""
        return sample.ServerStateUpdate(
            self.server.server_id,
            self._incarnation,
            self._concurrency_limit.limit,
            self.is_cold,
        )

    def take_changed_state_update(self) -> sample.ServerStateUpdate | None:
        """Returns the state to share if it has changed, and marks it as shared.

        While a server stays warm, a change of its limit is not shared: the
        other instances observe by themselves how the server serves them.
        """
        state_update = self.state_update()
        last_shared = self._last_shared_update
        is_same = (
            last_shared is not None
            and last_shared.is_cold == state_update.is_cold
        )
        if is_same and (
            not state_update.is_cold or last_shared == state_update
        ):
            return None
        self._last_shared_update = state_update
        return state_update

    def on_listed(self, backend: server.BackendServer, *, live: bool) -> None:
        """Applies the platform's listing of the server.

        Args:
            backend: The server as listed.
            live: Whether it is listed as live.
        """
        self.server = backend
        if live:
            self._apply_event(life.LifecycleEvent.LIVE_LISTED)
        else:
            self.on_unlisted()

    def on_unlisted(self) -> None:
        """Records that the platform no longer lists the server as live."""
        self._apply_event(life.LifecycleEvent.LEAVE_LISTED)
        if not self.in_flight:
            self._apply_event(life.LifecycleEvent.DRAINED)

    def _update_incarnation(self, incarnation: int, now_s: float) -> None:
        """Sets the incarnation; a different one than before means a restart."""
        if incarnation == 0:
            return
        if self._incarnation not in (0, incarnation):
            self.on_restart(now_s)
        self._incarnation = incarnation

    def _undo_assumed_restart(self, incarnation: int, now_s: float) -> None:
        """Restores the limit if the process turns out not to have restarted."""
        before, self._before_restart = self._before_restart, None
        if before is None or incarnation == 0 or not self.is_cold:
            return
        if before[0] == incarnation:
            self._concurrency_limit.restore(before[1], now_s)
            self._concurrency_limit.mark_warm()
            self._finish_warmup()

    def _add_latency_ratio(self, ratio: float, now_s: float) -> None:
        """Adds a latency ratio to the smoothed one, which decays towards 1."""
        decay = math.exp(
            (self._latency_ratio_at_s - now_s) / _LATENCY_RATIO_DECAY_S
        )
        decayed_ratio = 1.0 + (self._latency_ratio - 1.0) * decay
        self._latency_ratio = (
            decayed_ratio + (ratio - decayed_ratio) * _LATENCY_RATIO_WEIGHT
        )
        self._latency_ratio_at_s = now_s

    def _is_new_failure(self, started_s: float, now_s: float) -> bool:
        """Returns whether a failed request was sent after the last failure."""
        if started_s < self._last_failure_s:
            return False
        self._last_failure_s = now_s
        return True

    def _record_failure(
        self, service_failure_share: float, now_s: float
    ) -> None:
        """Counts a failure and ejects the server if needed.

        A server is ejected if it failed too often or failed a trial request.
        """
        self._outlier_detector.on_failure()
        is_trial = self.life is life.LifecycleState.SUSPECT
        if is_trial or self._outlier_detector.should_eject(
            service_failure_share
        ):
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        self._outlier_detector.eject(now_s)
        self._apply_event(life.LifecycleEvent.EJECTED)

    def _readmit(self) -> None:
        self._outlier_detector.readmit()
        self._apply_event(life.LifecycleEvent.READMITTED)
        self._finish_warmup()

    def _finish_warmup(self) -> None:
        """Moves a server that is no longer cold to the ready state."""
        if not self._concurrency_limit.is_cold:
            self._outlier_detector.reset_backoff()
            self._apply_event(life.LifecycleEvent.RAMPED)

    def _apply_event(self, event: life.LifecycleEvent) -> None:
        self.life = life.next_state(self.life, event)
