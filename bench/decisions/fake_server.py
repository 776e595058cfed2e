"""A small backend server on virtual time, with the faults of real ones."""

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

_SIGMA = 0.5
_QUEUE_PER_SLOT = 8
_COLD_SHARE = 0.25
_COLD_SLOWDOWN = 1.5
_ANSWERS_TO_WARM = 40
_STRAIN_S = 0.2
_DOWN_S = 0.5
_FAIL_FAST_S = 0.0005
_CRASH_S = 0.005


class Status(enum.Enum):
    """How the server ended a request."""

    OK = "ok"
    ERROR = "error"
    SHED = "shed"
    RESET = "reset"
    REFUSED = "refused"


class Reports(enum.Enum):
    """How truthful the server's load reports are."""

    HONEST = "honest"
    FROZEN = "frozen"
    IDLE = "idle"
    BUSY = "busy"


@attrs.define(eq=False)
class Work:
    """One request inside the server."""

    deadline_s: float
    """Virtual time after which it is not started any more."""

    crashes: bool
    """Whether it crashes the server that runs it."""

    reply: Callable[[Status, server.LoadReport | None], None]
    """Called when the server ends it."""


class FakeServer:
    """Runs up to its slots at once and queues some more.

    While cold it bears a part of its slots only: more than that for a while
    makes it crash. It comes back later, cold and with a new incarnation.
    """

    def __init__(
        self,
        listed: server.BackendServer,
        service_s: float,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.listed = listed
        self.reports = Reports.HONEST
        self.slowdown = 1.0
        self.slowed_s = math.inf
        self.fails_fast = False
        self.reports_limit = True
        self.crashes = 0
        self.peak_cold = 0.0
        self.served = 0
        self._median_s = service_s / math.exp(_SIGMA**2 / 2.0)
        self._clock = time
        self._rng = rng
        self._is_up = True
        self._incarnation = 1
        self._answers = _ANSWERS_TO_WARM * listed.slots
        self._running: dict[Work, None] = {}
        self._queue: collections.deque[Work] = collections.deque()
        self._strained_s: float | None = None
        self._frozen: server.LoadReport | None = None

    @property
    def warmth(self) -> float:
        """From 0 for just started to 1."""
        return min(1.0, self._answers / (_ANSWERS_TO_WARM * self.listed.slots))

    @property
    def bearable(self) -> int:
        """Requests that it bears at once now."""
        share = _COLD_SHARE + (1.0 - _COLD_SHARE) * self.warmth
        return max(1, int(self.listed.slots * share))

    @property
    def in_flight(self) -> int:
        """Requests inside, running or queued."""
        return len(self._running) + len(self._queue)

    def receive(self, work: Work) -> None:
        """Takes in a request that arrived over the network."""
        if not self._is_up:
            work.reply(Status.REFUSED, None)
        elif self.fails_fast:
            self._clock.after(_FAIL_FAST_S, lambda: self._fail(work))
        elif len(self._running) < self.listed.slots:
            self._start(work)
        elif len(self._queue) < _QUEUE_PER_SLOT * self.listed.slots:
            self._queue.append(work)
        else:
            work.reply(Status.SHED, self.report())
        self._check_strain()

    def probe(self) -> server.LoadReport | None:
        """Returns the load report, None while it is down."""
        return self.report() if self._is_up else None

    def report(self) -> server.LoadReport:
        """Returns what the server says about its load."""
        limit = self.bearable if self.reports_limit else None
        honest = server.LoadReport(
            len(self._running), len(self._queue), self._incarnation, limit
        )
        if self.reports is Reports.FROZEN:
            self._frozen = self._frozen or honest
            return self._frozen
        if self.reports is Reports.HONEST:
            return honest
        load = 0 if self.reports is Reports.IDLE else 4 * self.listed.slots
        return server.LoadReport(load, 0, self._incarnation, self.listed.slots)

    def restart(self) -> None:
        """Turns cold at once, ending what it runs."""
        self._drop_all()
        self._incarnation += 1
        self._answers = 0

    def crash(self) -> None:
        """Stops, and comes back cold after a while."""
        if not self._is_up:
            return
        self.crashes += 1
        self._is_up = False
        self._drop_all()
        self._clock.after(_DOWN_S, self._come_back)

    def _come_back(self) -> None:
        self._is_up = True
        self._incarnation += 1
        self._answers = 0

    def _drop_all(self) -> None:
        dropped = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        self._strained_s = None
        for work in dropped:
            work.reply(Status.RESET, None)

    def _start(self, work: Work) -> None:
        self._running[work] = None
        if work.crashes:
            self._clock.after(_CRASH_S, self.crash)
            return
        time_s = self._rng.lognormvariate(math.log(self._median_s), _SIGMA)
        time_s *= self.slowdown
        time_s *= 1.0 + _COLD_SLOWDOWN * (1.0 - self.warmth)
        self._clock.after(time_s, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        if work not in self._running:
            return
        del self._running[work]
        self._answers += 1
        self.served += 1
        work.reply(Status.OK, self.report())
        self._start_queued()
        self._check_strain()

    def _fail(self, work: Work) -> None:
        work.reply(Status.ERROR, self.report())

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.listed.slots:
            work = self._queue.popleft()
            if work.deadline_s > self._clock.now_s:
                self._start(work)

    def _check_strain(self) -> None:
        if self.warmth >= 1.0 or not self._is_up:
            self._strained_s = None
            return
        load = self.in_flight / self.bearable
        self.peak_cold = max(self.peak_cold, load)
        if load <= 1.0:
            self._strained_s = None
        elif self._strained_s is None:
            since_s = self._strained_s = self._clock.now_s
            self._clock.after(_STRAIN_S, lambda: self._break(since_s))

    def _break(self, since_s: float) -> None:
        if self._strained_s == since_s:
            self.crash()
