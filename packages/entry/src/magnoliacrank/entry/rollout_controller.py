"""RolloutController: evaluates rollouts and records their states."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import owned_task
from magnoliacrank.entry import rollout_records
from magnoliacrank.model import orders
from magnoliacrank.policy import version_trial

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import peer_records
    from magnoliacrank.entry import site_view
    from magnoliacrank.platform import instance_settings
    from magnoliacrank.platform import store_client
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import peer_status

_TICK_S = 0.1
"""Interval at which rollouts are evaluated."""

_TAKEOVER_STEP_S = 0.5
"""Further delay per position in the duty order, after which an instance records
a state that no instance before it has recorded."""

_MAX_RESTORERS = 3
"""Number of instances at the front of the duty order that record states again
which the store may have lost; each reads the recorded states once."""

_EVIDENCE_DELAY_S = 2.5
"""Time as a member of the mesh after which the evidence of all members has
arrived. Spans two heartbeat intervals between data centres, so that one
heartbeat may be lost."""

_REPORT_AFTER_DEADLINE_S = 15.0
"""Time after a rollout's deadline for which heartbeats still report it."""


@attrs.define
class _Rollout:
    """One rollout as this instance sees it."""

    trial: version_trial.VersionTrial
    """Evidence on the new version, and its share of requests."""

    decision: orders.RolloutState
    """State that this instance decided or adopted."""

    decided_s: float
    """Clock time in seconds of the decision."""

    follows_another: bool
    """Whether the order replaced an earlier one for the service."""

    recorded: orders.RolloutState | None = None
    """State known to have been recorded in the store; None if none was."""

    is_lost: bool = False
    """Whether the store may have lost the recorded state since then."""

    has_moved: bool = False
    """Whether the operators may have written the order again, so that other
    instances know it by another offset."""


class RolloutController:
    """Controls the rollouts of new versions, which are run as canary releases.

    Every member of the mesh evaluates the evidence (answers and failures of
    both versions) that all instances report in their heartbeats. The first
    instance in the duty order records the state in the store.

    Args:
        view: View to which states are applied.
        store: Store in which states are recorded for operators.
        roster: Membership, which determines the duty order.
        bounds: Operators' bounds on requests to a new version.
        log: Log for decisions and failed calls to the store.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        store: store_client.StoreClient,
        roster: instance_roster.InstanceRoster,
        bounds: instance_settings.SafetyBounds,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._roster = roster
        self._bounds = bounds
        self._log = log
        self._clock = clock
        self._rollouts: dict[str, _Rollout] = {}
        self._has_loaded_states = False
        self._records = rollout_records.RolloutRecords(store, log, clock)
        self._lost: dict[str, orders.RolloutStatus] = {}
        self._rewound_s = clock()
        store.add_era_listener(lambda _: self._on_store_rewound())
        self._member_since_s: float | None = None
        self._last_check_s = clock()
        self._task: asyncio.Task[None] | None = None
        self._on_urgent_change: Callable[[], None] = lambda: None

    def set_urgent_change_handler(self, handler: Callable[[], None]) -> None:
        """Sets the callback for changes to report to other instances at once.

        It is called after a failure of the new version, a rollback and the
        record of a final state.
        """
        self._on_urgent_change = handler

    async def start(self) -> None:
        """Starts the background task that evaluates and records rollouts."""
        self._task = owned_task.spawn_loop(self._run, "trials", self._log)

    async def close(self) -> None:
        """Stops the background task."""
        await owned_task.stop(self._task)

    async def load_states(self) -> bool:
        """Reads the recorded states from the store, unless they are loaded.

        Returns:
            Whether the states are loaded now.
        """
        if self._has_loaded_states:
            return True
        statuses = await self._records.read()
        if statuses is None:
            return False
        self._apply_statuses(statuses)
        return True

    def adopt_states(self, rows: list[peer_records.StateRow]) -> None:
        """Uses the states that another instance has read, if none are loaded.

        Args:
            rows: Service, target version and state of each rollout.
        """
        if self._has_loaded_states:
            return
        self._apply_statuses(
            [
                orders.RolloutStatus(
                    service, version, orders.RolloutState(state)
                )
                for service, version, state in rows
            ]
        )

    def states(self) -> list[peer_records.StateRow] | None:
        """Returns the states of rollouts, or None before they are loaded."""
        if not self._has_loaded_states:
            return None
        return [
            (status.service, status.target_version, status.state.value)
            for status in self._view.statuses.values()
        ]

    def _apply_statuses(self, statuses: list[orders.RolloutStatus]) -> None:
        self._has_loaded_states = True
        for status in statuses:
            rollout = self._rollouts.get(status.service)
            if rollout is None:
                self._view.apply_status(status)
            elif not rollout.follows_another:
                self._adopt(rollout, status)

    def trial(self, service: str) -> version_trial.VersionTrial | None:
        """Returns the trial of a service's new version during a rollout.

        Returns:
            The trial, or None if no rollout of the service is in progress.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or self._view.target_version(service) is None:
            return None
        return rollout.trial

    def on_rollout(
        self,
        order: orders.RolloutOrder,
        offset: int,
        *,
        follows_another: bool,
    ) -> None:
        """Starts a rollout, unless its outcome is already recorded.

        Args:
            order: Order of the operators.
            offset: Offset of the order's record.
            follows_another: Whether it replaces an earlier order that this
                instance has read, so that a recorded state belongs to that
                order.
        """
        status = self._view.statuses.get(order.service)
        if (
            status is not None
            and status.target_version == order.target_version
            and status.state is not orders.RolloutState.RUNNING
        ):
            return
        now_s = self._clock()
        trial = version_trial.VersionTrial(
            order,
            offset,
            now_s,
            self._bounds.exposure_share,
            self._bounds.exposure_slack,
        )
        self._rollouts[order.service] = _Rollout(
            trial, orders.RolloutState.RUNNING, now_s, follows_another
        )

    def on_failure(self) -> None:
        """Reports at once that a request to a new version failed."""
        self._on_urgent_change()

    def reports(self) -> list[heartbeat.TrialReport]:
        """Returns the reports on rollouts for the next heartbeat."""
        now_s = self._clock()
        return [
            self._report(rollout, now_s)
            for rollout in self._rollouts.values()
            if now_s < rollout.trial.deadline_s + _REPORT_AFTER_DEADLINE_S
        ]

    def on_heartbeat(
        self, sender: peer_status.PeerStatus, beat: heartbeat.Heartbeat
    ) -> None:
        """Merges the states and evidence that another instance reports.

        Args:
            sender: Identity of the other instance.
            beat: Heartbeat of the other instance.
        """
        source = f"{sender.node}/{sender.incarnation}"
        for report in beat.trials:
            rollout = self._rollouts.get(report.service)
            if rollout is None or not _is_same_order(rollout, report):
                continue
            trial = rollout.trial
            trial.adopt_earlier_start(self._clock() - report.age_ms / 1000)
            trial.merge(
                source,
                _evidence(report.rows),
                [version_trial.Evidence(*row) for row in report.load_tests],
            )
            state = orders.RolloutState(report.state)
            if state is orders.RolloutState.ROLLED_BACK:
                trial.mark_faulty()
                self._decide(rollout, state)
            elif state is orders.RolloutState.COMPLETED:
                rollout.decision = state
                rollout.recorded = state
                self._apply(rollout, state)

    async def _run(self) -> None:
        while True:
            if self._rollouts and not await self.load_states():
                # An earlier process may have recorded an outcome.
                await asyncio.sleep(_TICK_S)
                continue
            has_all_evidence = self._has_all_evidence()
            for rollout in list(self._rollouts.values()):
                if has_all_evidence:
                    self._evaluate(rollout)
                await self._record(rollout)
            for status in list(self._lost.values()):
                await self._restore(status)
            await asyncio.sleep(_TICK_S)

    def _evaluate(self, rollout: _Rollout) -> None:
        if rollout.decision is not orders.RolloutState.RUNNING:
            return
        phase = rollout.trial.phase(self._clock())
        if phase is version_trial.TrialPhase.FAULTY:
            self._decide(rollout, orders.RolloutState.ROLLED_BACK)
        elif phase is version_trial.TrialPhase.READY:
            self._decide(rollout, orders.RolloutState.COMPLETED)

    def _has_all_evidence(self) -> bool:
        """Whether the evidence of all members of the mesh has arrived.

        With a part of the evidence, chance failures may look like a fault. A
        follower receives heartbeats of its data centre only, so it doesn't
        evaluate rollouts itself but adopts the decision of the mesh.
        """
        now_s = self._clock()
        was_suspended = now_s - self._last_check_s > _EVIDENCE_DELAY_S
        self._last_check_s = now_s
        if self._roster.is_follower(now_s):
            self._member_since_s = None
            return False
        if self._member_since_s is None or was_suspended:
            self._member_since_s = now_s
        return now_s - self._member_since_s >= _EVIDENCE_DELAY_S

    def _decide(self, rollout: _Rollout, state: orders.RolloutState) -> None:
        """Sets the decided state, unless completion is already recorded.

        A rollback takes effect at once, before it is recorded.

        Args:
            rollout: The rollout.
            state: The decided state.
        """
        if rollout.decision is state:
            return
        if rollout.recorded is orders.RolloutState.COMPLETED:
            return
        rollout.decision = state
        rollout.decided_s = self._clock()
        total = rollout.trial.total()
        self._log.event(
            "rollout judged",
            service=rollout.trial.order.service,
            version=rollout.trial.order.target_version,
            state=state.value,
            age_s=round(self._clock() - rollout.trial.started_s, 2),
            new_answers=total.new.answers,
            new_failures=total.new.failures,
            old_answers=total.old.answers,
            old_failures=total.old.failures,
            load_tests=[
                (test.answers, test.failures)
                for test in rollout.trial.by_load_test()
            ],
        )
        if state is orders.RolloutState.ROLLED_BACK:
            self._apply(rollout, state)
            self._on_urgent_change()

    def _apply(self, rollout: _Rollout, state: orders.RolloutState) -> None:
        order = rollout.trial.order
        self._view.apply_status(
            orders.RolloutStatus(order.service, order.target_version, state)
        )

    def _on_store_rewound(self) -> None:
        """Marks all recorded states as to be recorded again."""
        self._rewound_s = self._clock()
        for rollout in self._rollouts.values():
            rollout.is_lost = rollout.recorded is not None
            rollout.has_moved = True
        self._lost = {
            service: status
            for service, status in self._view.statuses.items()
            if service not in self._rollouts
        }

    async def _record(self, rollout: _Rollout) -> None:
        is_recorded = rollout.recorded is rollout.decision
        if is_recorded and not rollout.is_lost:
            return
        place = self._roster.duty_order(self._clock())
        if is_recorded and place >= _MAX_RESTORERS:
            return
        if rollout.decision is orders.RolloutState.RUNNING and place:
            # Only the first in the duty order records the start.
            return
        if not self._is_turn(rollout.decided_s, place):
            return
        order = rollout.trial.order
        status = orders.RolloutStatus(
            order.service, order.target_version, rollout.decision
        )
        recorded = await self._records.write(
            status,
            may_restart=rollout.follows_another,
            was_recorded=is_recorded,
        )
        if recorded is None:
            return
        rollout.recorded = recorded.state
        rollout.is_lost = False
        if recorded.state is not orders.RolloutState.RUNNING:
            rollout.decision = recorded.state
            self._apply(rollout, recorded.state)
            self._on_urgent_change()

    async def _restore(self, status: orders.RolloutStatus) -> None:
        """Records a state again whose rollout ended before this process."""
        place = self._roster.duty_order(self._clock())
        if place >= _MAX_RESTORERS or not self._is_turn(0.0, place):
            return
        is_known = self._view.statuses.get(status.service) == status
        if not is_known or await self._records.write(
            status, may_restart=False, was_recorded=True
        ):
            self._lost.pop(status.service, None)

    def _is_turn(self, decided_s: float, place: int) -> bool:
        """Whether the instances before this one had time to record a state.

        Args:
            decided_s: Clock time of the decision, in seconds.
            place: Position of this instance in the duty order.
        """
        since_s = max(decided_s, self._rewound_s)
        return self._clock() >= since_s + _TAKEOVER_STEP_S * place

    def _adopt(self, rollout: _Rollout, status: orders.RolloutStatus) -> None:
        """Adopts a final state that was recorded for a rollout's order."""
        if (
            status.target_version != rollout.trial.order.target_version
            or status.state is orders.RolloutState.RUNNING
        ):
            return
        rollout.decision = status.state
        rollout.recorded = status.state
        self._apply(rollout, status.state)

    def _report(self, rollout: _Rollout, now_s: float) -> heartbeat.TrialReport:
        trial = rollout.trial
        state = rollout.decision
        if (
            state is orders.RolloutState.COMPLETED
            and rollout.recorded is not state
        ):
            state = orders.RolloutState.RUNNING
        return heartbeat.TrialReport(
            service=trial.order.service,
            order_offset=trial.order_offset,
            age_ms=round((now_s - trial.started_s) * 1000),
            state=state.value,
            target_version=trial.order.target_version,
            rows=[
                (
                    route,
                    pair.old.answers,
                    pair.old.failures,
                    pair.old.duration_s,
                    pair.new.answers,
                    pair.new.failures,
                    pair.new.duration_s,
                )
                for route, pair in trial.own_evidence.items()
            ],
            load_tests=[
                (test.answers, test.failures)
                for test in trial.own_load_evidence
            ],
        )


def _is_same_order(rollout: _Rollout, report: heartbeat.TrialReport) -> bool:
    trial = rollout.trial
    return trial.order_offset == report.order_offset or (
        rollout.has_moved
        and trial.order.target_version == report.target_version
    )


def _evidence(
    rows: list[heartbeat.EvidenceRow],
) -> dict[str, version_trial.EvidencePair]:
    return {
        route: version_trial.EvidencePair(
            version_trial.Evidence(old_answers, old_failures, old_s),
            version_trial.Evidence(new_answers, new_failures, new_s),
        )
        for (
            route,
            old_answers,
            old_failures,
            old_s,
            new_answers,
            new_failures,
            new_s,
        ) in rows
    }
