"""Admission control for one service: a bounded, fair and deadline-aware queue.

A request is refused at once when its answer can't arrive by its deadline, so
that under overload the slots go to requests that can still succeed.
"""

from __future__ import annotations

import attrs

from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict
from magnoliacrank.policy import allowance_meter
from magnoliacrank.policy import fair_queue

_QUEUE_LIMIT_PER_SLOT = 8
_MIN_QUEUE_LIMIT = 24

_SMOOTHING_WEIGHT = 0.03
"""Weight of the newest answer in the moving averages of the service time."""

_DEADLINE_MARGIN_DEVIATIONS = 4.0
"""Mean absolute deviations of the service time that are kept as a margin before
the deadline of a queued request."""

_INITIAL_SERVICE_TIME_S = 0.005
"""Service time that is assumed before the first answer, in seconds."""

_PRIORITY_BY_CLASS = {
    request_model.RequestClass.AT_MOST_ONCE: 0,
    request_model.RequestClass.IDEMPOTENT: 0,
    request_model.RequestClass.DEFERRABLE: 1,
}
_LOWEST_PRIORITY = max(_PRIORITY_BY_CLASS.values())


@attrs.frozen
class Admitted:
    """Decision that a request may be dispatched now.

    The caller reports its end with `Admission.on_finished`.
    """

    place: fair_queue.Place
    """Handle of the request, to be passed to `Admission.on_finished`."""


@attrs.frozen
class Waiting:
    """Decision that a request is queued."""

    place: fair_queue.Place
    """Handle of the request.

    `Admission.admit_next` admits it later, `Admission.take_dropped` returns it
    when it is refused, and `Admission.cancel` removes it.
    """


@attrs.frozen
class Refused:
    """Decision that a request is refused without being dispatched or queued."""

    verdict: verdict.Verdict
    """Outcome and reason to return to the caller."""


@attrs.frozen
class Dropped:
    """A request that was queued and is now refused."""

    place: fair_queue.Place
    """Handle that the request had while it was queued."""

    verdict: verdict.Verdict
    """Outcome and reason to return to the caller."""


_OVERLOADED = verdict.not_run(verdict.Reason.OVERLOADED)
_EXPIRED = verdict.not_run(verdict.Reason.DEADLINE_EXPIRED)
_OVER_ALLOWANCE = verdict.not_run(verdict.Reason.ALLOWANCE_EXCEEDED)


class Admission:
    """Decides when one instance may dispatch the requests of one service.

    Requests beyond the capacity wait in one fair queue for each priority.
    """

    def __init__(self, allowances: allowance_meter.AllowanceMeter) -> None:
        """Creates an admission control without capacity.

        Args:
            allowances: Rate and concurrency limits of the customers, shared by
                all services on this instance.
        """
        self._allowances = allowances
        self._queues: list[fair_queue.FairQueue[fair_queue.Place]] = [
            fair_queue.FairQueue() for _ in range(_LOWEST_PRIORITY + 1)
        ]
        self._capacity = 0
        self._in_flight = 0
        self._mean_service_s = _INITIAL_SERVICE_TIME_S
        self._mean_deviation_s = 0.0
        self._mean_service_s_by_route: dict[str, float] = {}
        self._dropped: list[Dropped] = []

    @property
    def in_flight(self) -> int:
        """Number of requests that are admitted and not finished."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues)

    def set_capacity(self, slots: int) -> None:
        """Sets how many requests may be in flight from this instance.

        Args:
            slots: Number of requests; a negative number counts as 0.
        """
        self._capacity = max(0, slots)

    def offer(
        self, request: request_model.Request, now_s: float
    ) -> Admitted | Waiting | Refused:
        """Admits, queues or refuses a new request.

        Args:
            request: The request.
            now_s: Current monotonic time in seconds.

        Returns:
            The decision.
        """
        if self._misses_deadline(request, now_s):
            return Refused(_EXPIRED)
        if not self._allowances.take_token(request.customer, now_s):
            return Refused(_OVER_ALLOWANCE)
        place = fair_queue.Place(request, now_s)
        priority = _PRIORITY_BY_CLASS[request.request_class]
        if self._can_start_now(request, priority):
            return self._start(place, now_s)
        return self._enqueue(place, priority, now_s)

    def admit_next(self, now_s: float) -> Admitted | None:
        """Admits the next queued request if there is capacity.

        To be called until it returns None, after each end of a request and each
        increase of the capacity. Queued requests that would miss their deadline
        are skipped and returned by `take_dropped`.

        Args:
            now_s: Current monotonic time in seconds.

        Returns:
            The admitted request, or None if no queued request may start now.
        """
        while self._in_flight < self._capacity:
            place = self._pop_next()
            if place is None:
                return None
            if not self._misses_deadline(place.request, now_s):
                return self._start(place, now_s)
            self._dropped.append(Dropped(place, _EXPIRED))
        return None

    def take_dropped(self, now_s: float) -> list[Dropped]:
        """Removes and returns the queued requests that are refused.

        These are the ones that would miss their deadline, and those that were
        evicted from a full queue since the last call.

        Args:
            now_s: Current monotonic time in seconds.
        """
        for queue in self._queues:
            late = [
                place
                for place in queue
                if self._misses_deadline(place.request, now_s)
            ]
            for place in late:
                queue.remove(place)
                self._dropped.append(Dropped(place, _EXPIRED))
        dropped, self._dropped = self._dropped, []
        return dropped

    def cancel(self, place: fair_queue.Place) -> None:
        """Removes a queued request whose caller has left."""
        for queue in self._queues:
            queue.remove(place)

    def on_finished(
        self, place: fair_queue.Place, service_s: float | None
    ) -> None:
        """Frees the slot of an admitted request and records its service time.

        Args:
            place: Handle of the request; a second call for it has no effect.
            service_s: Seconds that a backend server took for the whole
                answer, or None when there was none.
        """
        if place.started_s is None:
            return
        place.started_s = None
        self._in_flight -= 1
        self._allowances.on_finished(place.request.customer)
        if service_s is not None:
            self._record_service_time(place.request.route, service_s)

    def _record_service_time(self, route: str, service_s: float) -> None:
        """Updates the moving averages with the service time of one answer."""
        self._mean_service_s += _SMOOTHING_WEIGHT * (
            service_s - self._mean_service_s
        )
        error_s = service_s - self._mean_service_s_by_route.get(
            route, service_s
        )
        self._mean_deviation_s += _SMOOTHING_WEIGHT * (
            abs(error_s) - self._mean_deviation_s
        )
        route_mean_s = self._mean_service_s_by_route.get(route, service_s)
        route_mean_s += _SMOOTHING_WEIGHT * (service_s - route_mean_s)
        self._mean_service_s_by_route[route] = route_mean_s

    def _expected_service_s(self, request: request_model.Request) -> float:
        """Returns the mean service time of a request's route.

        A route without an answer yet gets the mean over all routes.
        """
        return self._mean_service_s_by_route.get(
            request.route, self._mean_service_s
        )

    def _misses_deadline(
        self, request: request_model.Request, now_s: float
    ) -> bool:
        """Returns whether the answer can't arrive by the deadline.

        With nothing in flight, the estimated service time is ignored: only an
        admitted request can correct an estimate that is too high.
        """
        if not self._in_flight:
            return now_s >= request.deadline_s
        return now_s + self._expected_service_s(request) > request.deadline_s

    def _can_start_now(
        self, request: request_model.Request, priority: int
    ) -> bool:
        """Returns whether a new request can be admitted without queueing."""
        if self._in_flight >= self._capacity:
            return False
        if any(len(queue) for queue in self._queues[: priority + 1]):
            return False
        return self._allowances.can_start(request.customer)

    def _start(self, place: fair_queue.Place, now_s: float) -> Admitted:
        """Counts a request as in flight."""
        place.started_s = now_s
        self._in_flight += 1
        self._allowances.on_started(place.request.customer)
        return Admitted(place)

    def _pop_next(self) -> fair_queue.Place | None:
        """Removes and returns the next queued request, by priority."""
        for queue in self._queues:
            place = queue.next(self._allowances.can_start)
            if place is not None:
                return place
        return None

    def _enqueue(
        self, place: fair_queue.Place, priority: int, now_s: float
    ) -> Waiting | Refused:
        """Queues a request if it can finish in time and the queue has room."""
        if not self._can_finish_in_time(place, priority, now_s):
            return Refused(_OVERLOADED)
        if not self._make_room(place, priority):
            return Refused(_OVERLOADED)
        self._queues[priority].add(place)
        return Waiting(place)

    def _can_finish_in_time(
        self, place: fair_queue.Place, priority: int, now_s: float
    ) -> bool:
        """Returns whether a request is likely to meet its deadline if queued.

        For deferrable requests this is not estimated; they always pass.
        """
        if place.request.request_class is (
            request_model.RequestClass.DEFERRABLE
        ):
            return True
        ahead = self._estimate_position(place, priority)
        wait_s = ahead * self._mean_service_s / max(1, self._capacity)
        expected_s = self._expected_service_s(place.request)
        needed_s = (
            expected_s + _DEADLINE_MARGIN_DEVIATIONS * self._mean_deviation_s
        )
        return now_s + wait_s + needed_s <= place.request.deadline_s

    def _estimate_position(self, place: fair_queue.Place, priority: int) -> int:
        """Estimates the position of a new request in the order of service.

        Since customers are served in turn, the position is at most the number
        of requests of its customer times the number of waiting customers, plus
        all requests of higher priority.
        """
        queue = self._queues[priority]
        own_waiting = queue.waiting(place.request.customer) + 1
        fair_position = own_waiting * max(1, queue.customer_count)
        higher_priority = sum(len(other) for other in self._queues[:priority])
        return higher_priority + min(len(queue) + 1, fair_position)

    def _make_room(self, place: fair_queue.Place, priority: int) -> bool:
        """Evicts the least important queued request if the queue is full.

        Returns:
            Whether there is room for the new request.
        """
        queue_limit = max(
            _MIN_QUEUE_LIMIT, self._capacity * _QUEUE_LIMIT_PER_SLOT
        )
        if self.waiting < queue_limit:
            return True
        victim = self._choose_eviction(place, priority)
        if victim is None:
            return False
        self.cancel(victim)
        self._dropped.append(Dropped(victim, _OVERLOADED))
        return True

    def _choose_eviction(
        self, place: fair_queue.Place, priority: int
    ) -> fair_queue.Place | None:
        """Returns the queued request to evict for a new one, or None.

        Requests of lower priority go first. At the same priority, the customer
        with the most queued requests loses its newest one if it has more than
        the customer of the new request, counting the new one.
        """
        for lower in reversed(self._queues[priority + 1 :]):
            victim = lower.newest_of_longest()
            if victim is not None:
                return victim
        queue = self._queues[priority]
        victim = queue.newest_of_longest()
        if victim is None:
            return None
        own = queue.waiting(place.request.customer)
        theirs = queue.waiting(victim.request.customer)
        return victim if theirs > own + 1 else None
