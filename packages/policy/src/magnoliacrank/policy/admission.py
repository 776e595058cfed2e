"""Admission: bounded, fair and deadline-aware waiting for one service.

A request is refused at once when its answer can't come by its deadline, so
that at more than the capacity the slots go to requests that still count.
"""

from __future__ import annotations

import attrs

from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict
from magnoliacrank.policy import allowance_meter
from magnoliacrank.policy import fair_queue

_WAITING_PER_SLOT = 8
_LEAST_WAITING = 24
_SMOOTHING = 0.03
_DEVIATIONS = 4.0
_FIRST_SERVICE_S = 0.005

_PRIORITY = {
    request_model.RequestClass.AT_MOST_ONCE: 0,
    request_model.RequestClass.IDEMPOTENT: 0,
    request_model.RequestClass.DEFERRABLE: 1,
}
_LOWEST_PRIORITY = max(_PRIORITY.values())


@attrs.frozen
class Admitted:
    """The request may be dispatched; report its end."""

    place: fair_queue.Place
    """Place to finish."""


@attrs.frozen
class Waiting:
    """The request waits for its turn."""

    place: fair_queue.Place
    """Place that becomes ready, is dropped or is cancelled."""


@attrs.frozen
class Refused:
    """The request is refused without dispatch."""

    verdict: verdict.Verdict
    """What the caller is told."""


@attrs.frozen
class Dropped:
    """A request waited and is refused now."""

    place: fair_queue.Place
    """Its former place."""

    verdict: verdict.Verdict
    """What the caller is told."""


_OVERLOADED = verdict.not_run(verdict.Reason.OVERLOADED)
_EXPIRED = verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)
_OVER_ALLOWANCE = verdict.not_run(verdict.Reason.ALLOWANCE_EXCEEDED)


class Admission:
    """Requests of one service that wait on one instance."""

    def __init__(self, allowances: allowance_meter.AllowanceMeter) -> None:
        """Starts without capacity.

        Args:
            allowances: Meter shared by the services of this instance.
        """
        self._allowances = allowances
        self._queues = [
            fair_queue.FairQueue() for _ in range(_LOWEST_PRIORITY + 1)
        ]
        self._capacity = 0
        self._in_flight = 0
        self._service_s = _FIRST_SERVICE_S
        self._deviation_s = 0.0
        self._route_service_s: dict[str, float] = {}
        self._dropped: list[Dropped] = []

    @property
    def in_flight(self) -> int:
        """Requests admitted and not finished."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(len(queue) for queue in self._queues)

    def set_capacity(self, slots: int) -> None:
        """Changes how many requests may be in flight on this instance."""
        self._capacity = max(0, slots)

    def offer(
        self, request: request_model.Request, now_s: float
    ) -> Admitted | Waiting | Refused:
        """Admits a request, lets it wait or refuses it.

        Args:
            request: The request.
            now_s: Monotonic time in seconds.

        Returns:
            What becomes of it.
        """
        if self._is_late(request, now_s):
            return Refused(_EXPIRED)
        if not self._allowances.take_token(request.customer, now_s):
            return Refused(_OVER_ALLOWANCE)
        place = fair_queue.Place(request, now_s)
        priority = _PRIORITY[request.request_class]
        if self._can_start_now(request, priority):
            return self._start(place, now_s)
        return self._wait(place, priority, now_s)

    def next_ready(self, now_s: float) -> Admitted | None:
        """Admits the next waiting request if there is capacity.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The request admitted, or None. Call it until it is None after
            each end of a request and each growth of the capacity.
        """
        while self._in_flight < self._capacity:
            place = self._take_next()
            if place is None:
                return None
            if not self._is_late(place.request, now_s):
                return self._start(place, now_s)
            self._dropped.append(Dropped(place, _EXPIRED))
        return None

    def take_dropped(self, now_s: float) -> list[Dropped]:
        """Returns the waiting requests that are refused by now.

        Args:
            now_s: Monotonic time in seconds.
        """
        for queue in self._queues:
            late = [
                place for place in queue if self._is_late(place.request, now_s)
            ]
            for place in late:
                queue.remove(place)
                self._dropped.append(Dropped(place, _EXPIRED))
        dropped, self._dropped = self._dropped, []
        return dropped

    def cancel(self, place: fair_queue.Place) -> None:
        """Removes a waiting request whose caller is gone."""
        for queue in self._queues:
            queue.remove(place)

    def on_finished(
        self, place: fair_queue.Place, service_s: float | None
    ) -> None:
        """Notes the end of an admitted request.

        Args:
            place: Its place; a repeat does nothing.
            service_s: Seconds that a backend server took for the whole
                answer, or None when there was none.
        """
        if place.started_s is None:
            return
        place.started_s = None
        self._in_flight -= 1
        self._allowances.on_finished(place.request.customer)
        if service_s is not None:
            self._note_service(place.request.route, service_s)

    def _note_service(self, route: str, service_s: float) -> None:
        """Takes in the time of one whole answer."""
        self._service_s += _SMOOTHING * (service_s - self._service_s)
        error_s = service_s - self._route_service_s.get(route, service_s)
        self._deviation_s += _SMOOTHING * (abs(error_s) - self._deviation_s)
        usual_s = self._route_service_s.get(route, service_s)
        usual_s += _SMOOTHING * (service_s - usual_s)
        self._route_service_s[route] = usual_s

    def _usual_s(self, request: request_model.Request) -> float:
        """Returns the usual time of an answer on a request's route."""
        return self._route_service_s.get(request.route, self._service_s)

    def _is_late(self, request: request_model.Request, now_s: float) -> bool:
        """Returns whether the answer can't come by the deadline.

        With nothing in flight the estimate is not believed, since only a
        request that is admitted can correct it.
        """
        if not self._in_flight:
            return now_s >= request.deadline_s
        return now_s + self._usual_s(request) > request.deadline_s

    def _can_start_now(
        self, request: request_model.Request, priority: int
    ) -> bool:
        """Returns whether a new request need not wait."""
        if self._in_flight >= self._capacity:
            return False
        if any(len(queue) for queue in self._queues[: priority + 1]):
            return False
        return self._allowances.can_start(request.customer)

    def _start(self, place: fair_queue.Place, now_s: float) -> Admitted:
        """Counts a request in flight."""
        place.started_s = now_s
        self._in_flight += 1
        self._allowances.on_started(place.request.customer)
        return Admitted(place)

    def _take_next(self) -> fair_queue.Place | None:
        """Removes the waiting request whose turn it is."""
        for queue in self._queues:
            place = queue.next(self._allowances.can_start)
            if place is not None:
                return place
        return None

    def _wait(
        self, place: fair_queue.Place, priority: int, now_s: float
    ) -> Waiting | Refused:
        """Lets a request wait if its turn can come in time."""
        if not self._is_timely(place, priority, now_s):
            return Refused(_OVERLOADED)
        if not self._make_room(place, priority):
            return Refused(_OVERLOADED)
        self._queues[priority].add(place)
        return Waiting(place)

    def _is_timely(
        self, place: fair_queue.Place, priority: int, now_s: float
    ) -> bool:
        """Returns whether a request's turn is likely to come in time."""
        if place.request.request_class is (
            request_model.RequestClass.DEFERRABLE
        ):
            return True
        ahead = self._ahead(place, priority)
        wait_s = ahead * self._service_s / max(1, self._capacity)
        usual_s = self._usual_s(place.request)
        needed_s = usual_s + _DEVIATIONS * self._deviation_s
        return now_s + wait_s + needed_s <= place.request.deadline_s

    def _ahead(self, place: fair_queue.Place, priority: int) -> int:
        """Returns how many requests start before a new one, about."""
        queue = self._queues[priority]
        own = queue.waiting(place.request.customer) + 1
        fair = own * max(1, queue.customer_count)
        before = sum(len(other) for other in self._queues[:priority])
        return before + min(len(queue) + 1, fair)

    def _make_room(self, place: fair_queue.Place, priority: int) -> bool:
        """Keeps the waiting bounded; the least important gives way."""
        most = max(_LEAST_WAITING, self._capacity * _WAITING_PER_SLOT)
        if self.waiting < most:
            return True
        victim = self._victim(place, priority)
        if victim is None:
            return False
        self.cancel(victim)
        self._dropped.append(Dropped(victim, _OVERLOADED))
        return True

    def _victim(
        self, place: fair_queue.Place, priority: int
    ) -> fair_queue.Place | None:
        """Returns the waiting request that gives way to a new one."""
        for lower in reversed(self._queues[priority + 1 :]):
            victim = lower.last_of_longest()
            if victim is not None:
                return victim
        queue = self._queues[priority]
        victim = queue.last_of_longest()
        if victim is None:
            return None
        own = queue.waiting(place.request.customer)
        theirs = queue.waiting(victim.request.customer)
        return victim if theirs > own + 1 else None
