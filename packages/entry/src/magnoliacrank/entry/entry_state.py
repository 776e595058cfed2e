"""EntryState: components and measurements that all requests share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import caller_access
from magnoliacrank.policy import crash_register
from magnoliacrank.policy import repeat_budget
from magnoliacrank.policy import return_register
from magnoliacrank.policy import service_load
from magnoliacrank.policy import stated_timeouts
from magnoliacrank.policy import weighted_round_robin

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from magnoliacrank.entry import entry_metrics
    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import placer as placers
    from magnoliacrank.entry import rollout_controller
    from magnoliacrank.entry import usage_counter
    from magnoliacrank.model import route_plan
    from magnoliacrank.platform import instance_settings
    from magnoliacrank.policy import drain_schedule
    from magnoliacrank.policy import instance_roster

_INITIAL_WORK_SHARE = 0.4
"""Expected execution time of a route before its first answer, as a share of
its latency objective."""

_SMOOTHING = 0.1
"""Weight of the newest answer in the moving averages."""


class EntryState:
    """State that the requests of one instance share.

    Holds the components that handle requests, the retry budgets, and moving
    averages of the execution time and answer size of each route.

    Args:
        clock: Returns the monotonic time in seconds.
        log: Log for decisions about requests.
        metrics: Metrics of requests and refusals.
        roster: Membership: instances that are alive, and their crews.
        placer: Chooses backend servers.
        trials: Controller of the rollouts in progress.
        usage: Counts the requests of customers.
        bounds: Operators' bounds on the whole system.
        drain: Decides which requests are started while the instance stops.
        rng: Random numbers for the start of weighted round robins.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        log: event_log.EventLog,
        metrics: entry_metrics.EntryMetrics,
        roster: instance_roster.InstanceRoster,
        placer: placers.Placer,
        trials: rollout_controller.RolloutController,
        usage: usage_counter.UsageCounter,
        bounds: instance_settings.SafetyBounds,
        drain: drain_schedule.DrainSchedule,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.roster = roster
        self.placer = placer
        self.trials = trials
        self.usage = usage
        self.drain = drain
        self.crashes = crash_register.CrashRegister()
        self.plan: route_plan.RoutePlan | None = None
        self.highest_priority = 0
        self.returns = return_register.ReturnRegister()
        self.load_meter = service_load.ServiceLoadMeter()
        self.peer_loads = service_load.ServiceLoadRegister()
        self._bounds = bounds
        self._rng = rng
        self._started_s = clock()
        self._repeat_budgets: dict[str, repeat_budget.RepeatBudget] = {}
        self._work_s: dict[str, float] = {}
        self._answer_bytes: dict[str, float] = {}
        self._timeouts: dict[str, stated_timeouts.StatedTimeouts] = {}
        self._cursors: dict[str, weighted_round_robin.WeightedRoundRobin] = {}

    def on_plan(self, plan: route_plan.RoutePlan) -> None:
        """Takes over a configuration that came into force."""
        self.plan = plan
        self.highest_priority = plan.highest_priority

    def access(
        self, rule: route_plan.RouteRule, api_key: str | None
    ) -> caller_access.Grant | caller_access.Denial:
        """Decides by the configuration in force who may use a route.

        Args:
            rule: Route of the request.
            api_key: API key that the caller sent, None if it sent none.
        """
        assert self.plan is not None, "the route is from a configuration"
        return caller_access.decide(self.plan, rule, api_key)

    def own_loads(self, now_s: float) -> list[service_load.ServiceLoad]:
        """Returns the loads of the services that have requests here.

        Args:
            now_s: Clock time in seconds.
        """
        loads = (
            self.own_load(service, now_s)
            for service in self.load_meter.services()
        )
        return [load for load in loads if load.demand_per_s or load.waiting]

    def agree_levels(self, now_s: float) -> None:
        """Renews what is known of each service at all instances.

        To be called with each heartbeat: without it, agreed levels lapse.

        Args:
            now_s: Clock time in seconds.
        """
        for service in self.load_meter.services():
            others = self.peer_loads.loads(service, now_s)
            self.placer.agree(
                self.own_load(service, now_s),
                [load for _, load in others],
                now_s,
            )

    def admitted_priority(self) -> int:
        """Returns the most urgent level at which any service is short."""
        now_s = self.clock()
        return min(
            (
                self.placer.level(service).level(now_s)
                for service in self.load_meter.services()
            ),
            default=service_load.LOWEST_PRIORITY,
        )

    def own_load(self, service: str, now_s: float) -> service_load.ServiceLoad:
        """Returns the load of a service at this instance.

        Args:
            service: Name of the service.
            now_s: Clock time in seconds.
        """
        return self.load_meter.load(
            service,
            self.placer.queue(service).length,
            now_s,
            self.placer.level(service).own_level(now_s),
        )

    def local_demand_slots(self, service: str, now_s: float) -> float:
        """Returns the slots that the data centre's requests need on average.

        Args:
            service: Name of the service.
            now_s: Clock time in seconds.
        """
        place = self.roster.own.data_centre
        loads = [self.own_load(service, now_s)]
        loads += [
            load
            for name, load in self.peer_loads.loads(service, now_s)
            if name == place
        ]
        return sum(load.demand_per_s * load.work_s for load in loads)

    def allowance(self, service: str) -> repeat_budget.RepeatBudget:
        """Returns the retry budget of a service, created on first use."""
        allowance = self._repeat_budgets.get(service)
        if allowance is None:
            bounds = self._bounds
            allowance = repeat_budget.RepeatBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._started_s,
            )
            self._repeat_budgets[service] = allowance
        return allowance

    def try_retry(
        self, service: str, urgency: repeat_budget.Urgency, priority: int
    ) -> bool:
        """Takes one retry from the retry budget of a service.

        Args:
            service: Name of the service.
            urgency: How much of the budget the retry may draw on.
            priority: Priority of the request; 0 is the most urgent.

        Returns:
            Whether the budget allows the retry.
        """
        now_s = self.clock()
        crew = self.roster.all_crews(now_s)
        ready_instances = self.roster.ready_instances(now_s)
        if self.roster.own in crew:
            share, instances = repeat_budget.SlackShare.CREW, len(crew)
        else:
            share = repeat_budget.SlackShare.OTHER
            instances = max(len(ready_instances) - len(crew), 1)
        return self.allowance(service).try_take(
            now_s, share, instances, urgency, priority
        )

    def work_s(self, rule: route_plan.RouteRule) -> float:
        """Returns the expected execution time of a route, in seconds.

        It applies to a server at its usual speed.
        """
        return self._work_s.get(
            rule.name, rule.target_latency_s * _INITIAL_WORK_SHARE
        )

    def may_start(self, rule: route_plan.RouteRule, deadline_s: float) -> bool:
        """Whether a request may be sent to a server before this one stops.

        Args:
            rule: Route of the request.
            deadline_s: Clock time in seconds at which it ends in any case.
        """
        return self.drain.may_start(self.clock(), self.work_s(rule), deadline_s)

    def latest_start_s(
        self, rule: route_plan.RouteRule, deadline_s: float
    ) -> float:
        """Returns the clock time in seconds up to which `may_start` holds."""
        return self.drain.latest_start_s(self.work_s(rule), deadline_s)

    def on_work_duration(
        self, rule: route_plan.RouteRule, duration_s: float
    ) -> None:
        """Records the duration of an answered request of a route.

        Args:
            rule: The route.
            duration_s: Duration in seconds, divided by the slowdown that the
                server reported.
        """
        known_s = self.work_s(rule)
        self._work_s[rule.name] = known_s + _SMOOTHING * (duration_s - known_s)

    def record_timeout(
        self, rule: route_plan.RouteRule, timeout_s: float
    ) -> float:
        """Records a timeout; returns the seconds since the caller first asked.

        Args:
            rule: Route of the request.
            timeout_s: Seconds that the caller still waits, as it states.
        """
        timeouts = self._timeouts_of(rule)
        timeouts.on_request(timeout_s, self.clock())
        return timeouts.elapsed_s(timeout_s)

    def on_refused(self, rule: route_plan.RouteRule) -> None:
        """Records that a caller of a route was refused and may come back."""
        self._timeouts_of(rule).on_refused(self.clock())

    def expected_answer_bytes(self, rule: route_plan.RouteRule) -> int:
        """Returns the expected size of a route's answers, in bytes."""
        return round(self._answer_bytes.get(rule.name, 0.0))

    def on_answer_size(self, rule: route_plan.RouteRule, size: int) -> None:
        """Records the size in bytes of an answer of a route."""
        known = self._answer_bytes.get(rule.name, float(size))
        self._answer_bytes[rule.name] = known + _SMOOTHING * (size - known)

    def choose_service(self, rule: route_plan.RouteRule) -> str:
        """Returns the service for the next request of a route, by weight."""
        if len(rule.shares) == 1:
            return rule.shares[0].service
        cursor = self._cursors.get(rule.name)
        if cursor is None or cursor.shares != rule.shares:
            cursor = weighted_round_robin.WeightedRoundRobin(
                rule.shares, self._rng.random()
            )
            self._cursors[rule.name] = cursor
        return cursor.next_service()

    def _timeouts_of(
        self, rule: route_plan.RouteRule
    ) -> stated_timeouts.StatedTimeouts:
        return self._timeouts.setdefault(
            rule.name, stated_timeouts.StatedTimeouts()
        )
