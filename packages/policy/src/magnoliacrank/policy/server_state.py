"""What one entry instance knows of one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliacrank.policy import life
from magnoliacrank.policy import load_estimate
from magnoliacrank.policy import outlier
from magnoliacrank.policy import probe_budget
from magnoliacrank.policy import ramp
from magnoliacrank.policy import sample
from magnoliacrank.policy import slow_alarm

if TYPE_CHECKING:
    from magnoliacrank.model import server
    from magnoliacrank.policy import route_latency

_RATIO_WEIGHT = 0.3
_RATIO_MEMORY_S = 1.0
_TRICKLE_S = 0.05
_TRUSTED = 0.5
_MIN_SUCCESS = 0.1
_OUT_WEIGHT = 4.0


class ServerState:
    """Evidence about one server and the limit and cost drawn from it."""

    __slots__ = (
        "_alarm",
        "_before",
        "_failed_s",
        "_incarnation",
        "_is_down",
        "_load",
        "_outlier",
        "_probed_s",
        "_ramp",
        "_ratio",
        "_ratio_s",
        "_told",
        "answered_s",
        "dispatched_s",
        "in_flight",
        "life",
        "server",
    )

    def __init__(self, backend: server.BackendServer, now_s: float) -> None:
        self.server = backend
        """The server as listed."""
        self.life = life.Life.COLD
        """State in the life cycle."""
        self.in_flight: dict[sample.Dispatch, None] = {}
        """Own requests in flight, oldest first."""
        self.dispatched_s = -math.inf
        """Monotonic time of the last dispatch in seconds."""
        self.answered_s = -math.inf
        """Monotonic time of the last answer in seconds."""
        self._ramp = ramp.Ramp(backend.slots, now_s)
        self._load = load_estimate.LoadEstimate()
        self._outlier = outlier.Outlier()
        self._ratio = 1.0
        self._ratio_s = now_s
        self._incarnation = 0
        self._probed_s = now_s
        self._failed_s = -math.inf
        self._is_down = False
        self._alarm = slow_alarm.SlowAlarm()
        self._before: tuple[int, int] | None = None
        self._told: sample.ServerSign | None = None

    @property
    def limit(self) -> int:
        """Requests that the server bears at once, over all instances."""
        return self._ramp.limit

    @property
    def is_cold(self) -> bool:
        """Whether it started lately or was never seen warm."""
        return self._ramp.is_cold

    @property
    def incarnation(self) -> int:
        """Start number of the server's process, or 0 when unknown."""
        return self._incarnation

    @property
    def failure_share(self) -> float:
        """Share of recent outcomes that were failures."""
        return self._outlier.failure_share

    def cost(self, slowness: float, now_s: float) -> float:
        """Returns the expected latency over the usual one, for ranking.

        Args:
            slowness: What `slowness` returned for this time.
            now_s: Monotonic time in seconds.
        """
        load = len(self.in_flight) + self._load.others(now_s)
        success = max(_MIN_SUCCESS, 1.0 - self._outlier.failure_share)
        return slowness * (1.0 + load / self.limit) / (success * success)

    def slowness(self, now_s: float) -> float:
        """Returns how many times slower than usual the server seems now.

        A request in flight beyond its time counts at once, by its age; old
        answers count less and less.
        """
        faded = math.exp((self._ratio_s - now_s) / _RATIO_MEMORY_S)
        ratio = 1.0 + (self._ratio - 1.0) * faded
        for oldest in self.in_flight:
            age_s = now_s - oldest.started_s
            if age_s > oldest.late_s:
                ratio = max(ratio, age_s / oldest.expected_s)
            break
        return ratio

    def wants_trickle(self, now_s: float) -> bool:
        """Returns whether a server that warms up lacks fresh evidence."""
        if not self.is_cold:
            return False
        return not self.in_flight and now_s - self.dispatched_s >= _TRICKLE_S

    def probe_need(self, now_s: float) -> probe_budget.ProbeNeed:
        """Returns how much it needs to be measured."""
        quiet_s = now_s - max(self.answered_s, self._probed_s)
        weight = _OUT_WEIGHT if self.life is life.Life.SUSPECT else 1.0
        return probe_budget.ProbeNeed(self.server.server_id, quiet_s, weight)

    def on_probe_answer(self, now_s: float) -> None:
        """Takes in that a probe was answered: the server is up again."""
        self._probed_s = now_s
        if self.life is life.Life.SUSPECT and self._is_down:
            self._is_down = False
            self._readmit()

    def may_try(self, now_s: float) -> bool:
        """Returns whether an ejected server is due for a single trial."""
        return not self.in_flight and self._outlier.may_try(now_s)

    def on_dispatch(
        self, route: str, usual: route_latency.RouteLatency, now_s: float
    ) -> sample.Dispatch:
        """Counts a request as in flight and returns its handle."""
        dispatch = sample.Dispatch(
            self.server.server_id,
            route,
            now_s,
            usual.expected_s,
            usual.late_s,
        )
        self.in_flight[dispatch] = None
        self.dispatched_s = now_s
        if self.life is life.Life.SUSPECT:
            self._outlier.on_trial(now_s)
        return dispatch

    def on_end(self, dispatch: sample.Dispatch) -> None:
        """Counts a request as ended."""
        self.in_flight.pop(dispatch, None)
        if not self.in_flight:
            self._move(life.Event.DRAINED)

    def on_served(self, ratio: float, now_s: float) -> None:
        """Takes in a served answer, slower than usual by a ratio."""
        self.answered_s = now_s
        self._outlier.on_success()
        self._add_ratio(ratio, now_s)
        if self.life is life.Life.SUSPECT:
            self._readmit()
            return
        self._move(life.Event.ANSWERED)
        if self._alarm.add(ratio) and not self._ramp.is_guided:
            self._ramp.on_slow(now_s)
        self._ramp.on_served(ratio, now_s)
        self._settle()

    def on_shed(self, now_s: float) -> None:
        """Takes in a refusal for load."""
        self.answered_s = now_s
        self._outlier.on_failure()
        self._ramp.on_shed(len(self.in_flight) + 1, now_s)
        self._settle()

    def on_error(self, peers_share: float, now_s: float) -> None:
        """Takes in an answer by which the server failed the request."""
        self.answered_s = now_s
        self._fail(peers_share, now_s)

    def on_timeout(
        self, ratio: float, started_s: float, peers_share: float, now_s: float
    ) -> None:
        """Takes in a request that ran out of time.

        Requests that were under way together, such as those on connections
        that fell silent, count as one failure.
        """
        if not self._is_news(started_s, now_s):
            return
        self._add_ratio(ratio, now_s)
        if self._alarm.add(ratio):
            self._ramp.on_slow(now_s)
        self._fail(peers_share, now_s)

    def on_break(
        self, started_s: float, peers_share: float, now_s: float
    ) -> None:
        """Takes in a connection that broke under a request.

        It may be the first sign of a restart, so the server is held back
        until an answer shows the same incarnation. Connections that were
        busy together and break count as one failure.
        """
        self.on_restart(now_s)
        if self._is_news(started_s, now_s):
            self._fail(peers_share, now_s)

    def on_refused_connection(self, now_s: float) -> None:
        """Takes in a refused connection: nothing listens there now."""
        self.on_restart(now_s)
        self._is_down = True
        self._probed_s = now_s
        self._outlier.on_failure()
        self._eject(now_s)

    def on_restart(self, now_s: float) -> None:
        """Falls back to what a server bears that has just started."""
        if not self.is_cold:
            self._before = (self._incarnation, self._ramp.limit)
        self._ramp.restart(now_s)
        self._ratio = 1.0
        self._alarm.clear()
        self._move(life.Event.RESTARTED)

    def on_report(
        self,
        report: server.LoadReport,
        own_in_flight: int,
        now_s: float,
    ) -> None:
        """Takes in a load report."""
        self._load.on_report(report, own_in_flight, now_s)
        self._on_incarnation(report.incarnation, now_s)
        trusted = self._load.trust >= _TRUSTED
        if trusted:
            self._refute_restart(report.incarnation, now_s)
        self._ramp.on_reported_limit(report.limit if trusted else None)

    def on_sign(self, sign: sample.ServerSign, now_s: float) -> None:
        """Takes in what another instance learned."""
        if 0 < sign.incarnation < self._incarnation:
            return
        self._on_incarnation(sign.incarnation, now_s)
        if sign.is_cold and not self.is_cold:
            self.on_restart(now_s)
        if self.is_cold:
            self._ramp.restore(sign.limit, now_s)
            if not sign.is_cold:
                self._ramp.end_cold()
            self._settle()
        self._told = self.sign()

    def sign(self) -> sample.ServerSign:
        """Returns what other instances should know."""
        return sample.ServerSign(
            self.server.server_id,
            self._incarnation,
            self._ramp.limit,
            self.is_cold,
        )

    def take_news(self) -> sample.ServerSign | None:
        """Returns the sign if others don't know it, and counts it as told.

        A limit that was cut while warm stays with this instance: the others
        see by themselves how the server serves them.
        """
        sign = self.sign()
        told = self._told
        is_same = told is not None and told.is_cold == sign.is_cold
        if is_same and (not sign.is_cold or told == sign):
            return None
        self._told = sign
        return sign

    def on_listed(self, backend: server.BackendServer, *, live: bool) -> None:
        """Takes in the platform's listing."""
        self.server = backend
        if live:
            self._move(life.Event.LIVE_LISTED)
        else:
            self.on_unlisted()

    def on_unlisted(self) -> None:
        """Takes in that the platform lists the server no longer as live."""
        self._move(life.Event.LEAVE_LISTED)
        if not self.in_flight:
            self._move(life.Event.DRAINED)

    def _on_incarnation(self, incarnation: int, now_s: float) -> None:
        if incarnation == 0:
            return
        if self._incarnation not in (0, incarnation):
            self.on_restart(now_s)
        self._incarnation = incarnation

    def _refute_restart(self, incarnation: int, now_s: float) -> None:
        """Takes back a supposed restart when the process is the same."""
        before, self._before = self._before, None
        if before is None or incarnation == 0 or not self.is_cold:
            return
        if before[0] == incarnation:
            self._ramp.restore(before[1], now_s)
            self._ramp.end_cold()
            self._settle()

    def _add_ratio(self, ratio: float, now_s: float) -> None:
        faded = math.exp((self._ratio_s - now_s) / _RATIO_MEMORY_S)
        kept = 1.0 + (self._ratio - 1.0) * faded
        self._ratio = kept + (ratio - kept) * _RATIO_WEIGHT
        self._ratio_s = now_s

    def _is_news(self, started_s: float, now_s: float) -> bool:
        """Returns whether a request was sent after the last failure."""
        if started_s < self._failed_s:
            return False
        self._failed_s = now_s
        return True

    def _fail(self, peers_share: float, now_s: float) -> None:
        self._outlier.on_failure()
        is_trial = self.life is life.Life.SUSPECT
        if is_trial or self._outlier.should_eject(peers_share):
            self._eject(now_s)

    def _eject(self, now_s: float) -> None:
        self._outlier.eject(now_s)
        self._move(life.Event.EJECTED)

    def _readmit(self) -> None:
        self._outlier.readmit()
        self._move(life.Event.READMITTED)
        self._settle()

    def _settle(self) -> None:
        if not self._ramp.is_cold:
            self._outlier.settle()
            self._move(life.Event.RAMPED)

    def _move(self, event: life.Event) -> None:
        self.life = life.next_life(self.life, event)
