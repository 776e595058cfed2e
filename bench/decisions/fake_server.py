"""Simulated backend server on virtual time, with injectable faults."""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
import math
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import server

if TYPE_CHECKING:
    import random

    from bench.decisions import clock

_LATENCY_SIGMA = 0.5
_MAX_QUEUED_PER_SLOT = 8
_COLD_CAPACITY_SHARE = 0.25
_COLD_EXTRA_SLOWDOWN = 1.5
_WARMUP_ANSWERS_PER_SLOT = 40
_OVERLOAD_CRASH_DELAY_S = 0.2
_RESTART_DELAY_S = 0.5
_FAIL_FAST_LATENCY_S = 0.0005
_CRASH_REQUEST_DELAY_S = 0.005


class Status(enum.Enum):
    """How the server ended a request."""

    OK = "ok"
    """The server ran the request to its end."""

    ERROR = "error"
    """The server answered with an error."""

    SHED = "shed"
    """The server's queue was full, so it did not run the request."""

    RESET = "reset"
    """The server crashed or restarted before it had run the request."""

    REFUSED = "refused"
    """The server was down and accepted no connection."""


class ReportMode(enum.Enum):
    """What the server's load reports show."""

    HONEST = "honest"
    """The present load."""

    FROZEN = "frozen"
    """The load of the first report in this mode, repeated unchanged."""

    IDLE = "idle"
    """No load."""

    BUSY = "busy"
    """Four times as many running requests as the server has slots."""


@attrs.define(eq=False)
class ServerRequest:
    """One request as a simulated server receives it."""

    deadline_s: float
    """Virtual time in seconds from which a queued request isn't started."""

    crashes: bool
    """Whether running it crashes the server."""

    reply: Callable[[Status, server.LoadReport | None], None]
    """Called with the outcome and the load report, or None without a report."""


class FakeServer:
    """Runs as many requests at once as it has slots and queues some more.

    A server is cold from a restart until it has answered a number of requests.
    Until then it has the capacity for only a part of its slots, and crashes if
    its load stays above that capacity for some time. After a crash it starts
    again, cold and with a new incarnation. At the start of a run it is warm.
    """

    def __init__(
        self,
        listed: server.BackendServer,
        service_s: float,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.listed = listed
        self.report_mode = ReportMode.HONEST
        self.slowdown = 1.0
        self.slowed_since_s = math.inf
        self.fails_fast = False
        self.reports_limit = True
        self.crashes = 0
        self.peak_cold_load = 0.0
        self.served = 0
        self._median_s = service_s / math.exp(_LATENCY_SIGMA**2 / 2.0)
        self._clock = time
        self._rng = rng
        self._is_up = True
        self._incarnation = 1
        self._warmup_answers = _WARMUP_ANSWERS_PER_SLOT * listed.slots
        self._running: dict[ServerRequest, None] = {}
        self._queue: collections.deque[ServerRequest] = collections.deque()
        self._overloaded_since_s: float | None = None
        self._frozen_report: server.LoadReport | None = None

    @property
    def warmth(self) -> float:
        """Progress of the warm-up: 0 just after a start, 1 when warm."""
        return min(
            1.0,
            self._warmup_answers
            / (_WARMUP_ANSWERS_PER_SLOT * self.listed.slots),
        )

    @property
    def capacity(self) -> int:
        """Requests that it can hold at once now without an overload."""
        share = (
            _COLD_CAPACITY_SHARE + (1.0 - _COLD_CAPACITY_SHARE) * self.warmth
        )
        return max(1, int(self.listed.slots * share))

    @property
    def in_flight(self) -> int:
        """Number of requests that are running or queued."""
        return len(self._running) + len(self._queue)

    def receive(self, arrived: ServerRequest) -> None:
        """Runs, queues or rejects a request that arrived over the network."""
        if not self._is_up:
            arrived.reply(Status.REFUSED, None)
        elif self.fails_fast:
            self._clock.after(_FAIL_FAST_LATENCY_S, lambda: self._fail(arrived))
        elif len(self._running) < self.listed.slots:
            self._start(arrived)
        elif len(self._queue) < _MAX_QUEUED_PER_SLOT * self.listed.slots:
            self._queue.append(arrived)
        else:
            arrived.reply(Status.SHED, self.report())
        self._check_overload()

    def probe(self) -> server.LoadReport | None:
        """Returns the load report, or None while the server is down."""
        return self.report() if self._is_up else None

    def report(self) -> server.LoadReport:
        """Returns the load report, falsified if `report_mode` says so."""
        limit = self.capacity if self.reports_limit else None
        honest = server.LoadReport(
            len(self._running), len(self._queue), self._incarnation, limit
        )
        if self.report_mode is ReportMode.FROZEN:
            self._frozen_report = self._frozen_report or honest
            return self._frozen_report
        if self.report_mode is ReportMode.HONEST:
            return honest
        load = (
            0 if self.report_mode is ReportMode.IDLE else 4 * self.listed.slots
        )
        return server.LoadReport(load, 0, self._incarnation, self.listed.slots)

    def restart(self) -> None:
        """Restarts cold without downtime; resets all its requests."""
        self._reset_all()
        self._incarnation += 1
        self._warmup_answers = 0

    def crash(self) -> None:
        """Stops and resets all requests; starts again cold after a delay."""
        if not self._is_up:
            return
        self.crashes += 1
        self._is_up = False
        self._reset_all()
        self._clock.after(_RESTART_DELAY_S, self._start_again)

    def _start_again(self) -> None:
        self._is_up = True
        self._incarnation += 1
        self._warmup_answers = 0

    def _reset_all(self) -> None:
        dropped = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        self._overloaded_since_s = None
        for dropped_request in dropped:
            dropped_request.reply(Status.RESET, None)

    def _start(self, started: ServerRequest) -> None:
        self._running[started] = None
        if started.crashes:
            self._clock.after(_CRASH_REQUEST_DELAY_S, self.crash)
            return
        time_s = self._rng.lognormvariate(
            math.log(self._median_s), _LATENCY_SIGMA
        )
        time_s *= self.slowdown
        time_s *= 1.0 + _COLD_EXTRA_SLOWDOWN * (1.0 - self.warmth)
        self._clock.after(time_s, lambda: self._finish(started))

    def _finish(self, finished: ServerRequest) -> None:
        if finished not in self._running:
            return
        del self._running[finished]
        self._warmup_answers += 1
        self.served += 1
        finished.reply(Status.OK, self.report())
        self._start_queued()
        self._check_overload()

    def _fail(self, failed: ServerRequest) -> None:
        failed.reply(Status.ERROR, self.report())

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.listed.slots:
            next_request = self._queue.popleft()
            if next_request.deadline_s > self._clock.now_s:
                self._start(next_request)

    def _check_overload(self) -> None:
        if self.warmth >= 1.0 or not self._is_up:
            self._overloaded_since_s = None
            return
        load = self.in_flight / self.capacity
        self.peak_cold_load = max(self.peak_cold_load, load)
        if load <= 1.0:
            self._overloaded_since_s = None
        elif self._overloaded_since_s is None:
            since_s = self._overloaded_since_s = self._clock.now_s
            self._clock.after(
                _OVERLOAD_CRASH_DELAY_S,
                lambda: self._crash_if_still_overloaded(since_s),
            )

    def _crash_if_still_overloaded(self, overloaded_since_s: float) -> None:
        if self._overloaded_since_s == overloaded_since_s:
            self.crash()
